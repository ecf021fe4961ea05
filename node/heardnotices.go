package node

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

const (
	heardShards = 16
	// heardNoticeTTL is how long a notice is remembered after the upstream last stated
	// it.
	heardNoticeTTL = time.Minute
)

// heardNotices remembers what the upstreams beside other nodes have stated in responses
// that this node passed on, by the address of the node. This node states it in its calls
// to them, so that it binds the upstream's own node even after that node has restarted.
type heardNotices struct {
	seed maphash.Seed
	// known counts the notices, so that calls cost nothing while there are none.
	known  atomic.Int64
	shards [heardShards]heardShard
}

type heardShard struct {
	mu     sync.Mutex
	byAddr map[string]heardNotice
}

type heardNotice struct {
	call.UpstreamNotice
	at time.Time
}

func newHeardNotices() *heardNotices {
	h := &heardNotices{seed: maphash.MakeSeed()}
	for i := range h.shards {
		h.shards[i].byAddr = make(map[string]heardNotice)
	}
	return h
}

func (h *heardNotices) shard(addr string) *heardShard {
	return &h.shards[maphash.String(h.seed, addr)%heardShards]
}

// forCall returns what a call to the node at addr states.
func (h *heardNotices) forCall(addr string, now time.Time) call.UpstreamNotice {
	if h.known.Load() == 0 {
		return call.UpstreamNotice{}
	}
	s := h.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	heard, ok := s.byAddr[addr]
	if !ok {
		return call.UpstreamNotice{}
	}
	if now.Sub(heard.at) > heardNoticeTTL {
		h.forget(s, addr)
		return call.UpstreamNotice{}
	}
	return heard.UpstreamNotice
}

// record records what a response from the node at addr states. Only a response of the
// upstream itself shows that it no longer states something.
func (h *heardNotices) record(addr string, r call.Report, now time.Time) {
	stated := r.Upstream
	if stated == (call.UpstreamNotice{}) && (h.known.Load() == 0 || r.Outcome != call.Complete) {
		return
	}
	s := h.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if stated == (call.UpstreamNotice{}) {
		h.forget(s, addr)
		return
	}
	if _, known := s.byAddr[addr]; !known {
		h.known.Add(1)
	}
	s.byAddr[addr] = heardNotice{UpstreamNotice: stated, at: now}
}

// forget removes a notice. The shard's lock is held.
func (h *heardNotices) forget(s *heardShard, addr string) {
	if _, known := s.byAddr[addr]; known {
		delete(s.byAddr, addr)
		h.known.Add(-1)
	}
}
