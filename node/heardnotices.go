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
	// heardNoticeTTL is how long a notice is remembered after the node beside the
	// upstream last confirmed it.
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

// heardNotice is the latest notice of one upstream.
type heardNotice struct {
	call.UpstreamNotice
	// leavingSince is when the upstream first stated that it leaves, at when the notice
	// was last confirmed.
	leavingSince, at time.Time
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
		h.set(s, addr, heardNotice{})
		return call.UpstreamNotice{}
	}
	return heard.forCall(now)
}

// forCall returns the part of the notice that a call states. The node beside the upstream
// refuses calls that state a departure, so they do so only once it has had the time to
// spread.
func (k heardNotice) forCall(now time.Time) call.UpstreamNotice {
	stated := k.UpstreamNotice
	stated.Leaving = stated.Leaving && now.Sub(k.leavingSince) >= drainSpreadTime
	if !stated.Limited && !stated.Leaving {
		return call.UpstreamNotice{}
	}
	return stated
}

// record records the report on a call to the node at addr that stated sent.
func (h *heardNotices) record(addr string, sent call.UpstreamNotice, r call.Report, now time.Time) {
	if r.Upstream == (call.UpstreamNotice{}) && h.known.Load() == 0 {
		return
	}
	s := h.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.set(s, addr, s.byAddr[addr].after(sent, r, now))
}

// after returns the notice after the report on a call that stated sent. Only a response of
// the upstream itself shows that a limit has ended, or, if the call stated a departure,
// that another incarnation has taken the place.
func (k heardNotice) after(sent call.UpstreamNotice, r call.Report, now time.Time) heardNotice {
	stated := r.Upstream
	answered := r.Outcome == call.Complete
	if stated.Instance != "" && stated.Instance != k.Instance || answered && sent.Leaving {
		k = heardNotice{}
	}
	if stated.Instance != "" {
		k.Instance, k.at = stated.Instance, now
	}
	if sent.Leaving && r.Reason == call.ReasonDraining {
		k.at = now
	}
	if stated.Limited || answered {
		k.Limit, k.Limited = stated.Limit, stated.Limited
	}
	if stated.Leaving && !k.Leaving {
		k.Leaving, k.leavingSince = true, now
	}
	return k
}

// set replaces the notice of addr, or removes it if it states nothing. The shard's lock is
// held.
func (h *heardNotices) set(s *heardShard, addr string, k heardNotice) {
	before := len(s.byAddr)
	if k.Limited || k.Leaving {
		s.byAddr[addr] = k
	} else {
		delete(s.byAddr, addr)
	}
	h.known.Add(int64(len(s.byAddr) - before))
}
