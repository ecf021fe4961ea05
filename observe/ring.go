package observe

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"

	"pollengauge.dev/call"
)

const (
	ringShards = 16
	// DefaultRingSize is the default number of hops in a ring. A hop takes about
	// half a kilobyte, including the strings that it refers to.
	DefaultRingSize = 4096
)

// Ring is a ring buffer of the most recent hops of a node. The request id selects
// the shard of a hop, so all hops of one request share one lock and Find reads
// only one shard.
type Ring struct {
	seed   maphash.Seed
	shards [ringShards]ringShard
}

type ringShard struct {
	mu    sync.Mutex
	slots []Hop
	// next is the slot that the next hop overwrites.
	next int
	// used is the number of slots that hold a hop.
	used int
	// The padding keeps shards a cache line (64 bytes) apart and avoids false sharing.
	_ [64]byte
}

// NewRing returns a ring for about size hops (at least one per shard). It
// allocates all memory for the records.
func NewRing(size int) *Ring {
	r := &Ring{seed: maphash.MakeSeed()}
	perShard := max(1, (size+ringShards-1)/ringShards)
	for i := range r.shards {
		r.shards[i].slots = make([]Hop, perShard)
	}
	return r
}

// Add records a hop and overwrites the oldest one of its shard if that is full.
func (r *Ring) Add(h Hop) {
	s := r.shard(h.RequestID)
	s.mu.Lock()
	s.slots[s.next] = h
	s.next = (s.next + 1) % len(s.slots)
	s.used = min(s.used+1, len(s.slots))
	s.mu.Unlock()
}

func (r *Ring) shard(requestID string) *ringShard {
	return &r.shards[maphash.String(r.seed, requestID)%ringShards]
}

// Find returns the hops of one request that are still in the ring, oldest first.
func (r *Ring) Find(requestID string) []Hop {
	s := r.shard(requestID)
	hops := s.newest(len(s.slots), func(h *Hop) bool { return h.RequestID == requestID })
	slices.SortStableFunc(hops, func(a, b Hop) int { return a.At.Compare(b.At) })
	return hops
}

// Filter selects hops. A zero field matches all hops.
type Filter struct {
	Profile  string
	Decision Decision
	// Outcome is the name of an outcome, as returned by call.Outcome.String.
	Outcome string
	Reason  call.Reason
	Kind    Kind
}

func (f Filter) match(h *Hop) bool {
	return matches(f.Profile, h.Profile) &&
		matches(f.Decision, h.Decision) &&
		matches(f.Outcome, h.Outcome.String()) &&
		matches(f.Reason, h.Reason) &&
		matches(f.Kind, h.Kind)
}

func matches[T cmp.Ordered](want, got T) bool {
	var any T
	return want == any || want == got
}

// Recent returns at most n hops that match the filter, newest first.
func (r *Ring) Recent(filter Filter, n int) []Hop {
	var hops []Hop
	for i := range r.shards {
		hops = append(hops, r.shards[i].newest(n, filter.match)...)
	}
	slices.SortStableFunc(hops, func(a, b Hop) int { return b.At.Compare(a.At) })
	return hops[:min(max(n, 0), len(hops))]
}

// newest returns at most n matching hops of the shard, the most recently added
// first.
func (s *ringShard) newest(n int, match func(*Hop) bool) []Hop {
	var hops []Hop
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 1; i <= s.used && len(hops) < n; i++ {
		h := &s.slots[(s.next-i+len(s.slots))%len(s.slots)]
		if match(h) {
			hops = append(hops, *h)
		}
	}
	return hops
}
