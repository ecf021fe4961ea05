package slotshare

import (
	"hash/maphash"
	"sync"
	"time"
)

// none stands for no entry in an index.
const none int32 = -1

// shard is one part of a Table. Its entries are in a hash table with chains and in a list by the
// time at which they were last seen.
type shard struct {
	mu             sync.Mutex
	entries        []entry
	buckets        []int32
	newest, oldest int32
}

// entry is what a Table knows of a customer at a service.
type entry struct {
	customer string
	slotTime time.Duration
	refused  uint32
	// newer and older are neighbours in the list, next is the next entry of the same bucket.
	newer, older, next int32
	// mean is the mean slot time in milliseconds, of seen responses.
	mean    float32
	seen    uint8
	service uint8
}

// cost returns the cost at the service s of this entry.
func (e *entry) cost(s *service) float64 {
	if e.seen < minSeen {
		return 1
	}
	s.mu.Lock()
	reference := s.mean
	s.mu.Unlock()
	return clampCost(float64(e.mean) / float64(reference))
}

// bucket returns the place in buckets for a hash. The lowest bits select the shard.
func (s *shard) bucket(hash uint64) uint64 { return hash / shardCount % uint64(len(s.buckets)) }

func (s *shard) find(hash uint64, customer string, service uint8) int32 {
	if len(s.buckets) == 0 {
		return none
	}
	i := s.buckets[s.bucket(hash)]
	for i != none && (s.entries[i].service != service || s.entries[i].customer != customer) {
		i = s.entries[i].next
	}
	return i
}

// insert adds an entry and returns its place.
func (s *shard) insert(seed maphash.Seed, hash uint64, e entry) int32 {
	s.grow(seed)
	i := int32(len(s.entries))
	s.entries = append(s.entries, e)
	s.chain(hash, i)
	s.prepend(i)
	return i
}

// replaceOldest puts an entry in the place of the least recently seen one.
func (s *shard) replaceOldest(seed maphash.Seed, hash uint64, e entry) int32 {
	i := s.oldest
	old := &s.entries[i]
	link := &s.buckets[s.bucket(hashOf(seed, old.customer, old.service))]
	for *link != i {
		link = &s.entries[*link].next
	}
	*link = old.next
	s.detach(i)
	s.entries[i] = e
	s.chain(hash, i)
	s.prepend(i)
	return i
}

func (s *shard) chain(hash uint64, i int32) {
	b := s.bucket(hash)
	s.entries[i].next, s.buckets[b] = s.buckets[b], i
}

// minEntries is the capacity of a shard that is not empty.
const minEntries = 8

// grow makes room for another entry. It grows by an eighth, so that the room that is not used stays
// small.
func (s *shard) grow(seed maphash.Seed) {
	if len(s.entries) < cap(s.entries) {
		return
	}
	size := max(len(s.entries)+len(s.entries)/8, minEntries)
	s.entries = append(make([]entry, 0, size), s.entries...)
	s.buckets = make([]int32, size)
	for i := range s.buckets {
		s.buckets[i] = none
	}
	for i := range s.entries {
		s.chain(hashOf(seed, s.entries[i].customer, s.entries[i].service), int32(i))
	}
}

// touch makes an entry the most recently seen one.
func (s *shard) touch(i int32) {
	if s.newest != i {
		s.detach(i)
		s.prepend(i)
	}
}

func (s *shard) prepend(i int32) {
	e := &s.entries[i]
	e.newer, e.older = none, s.newest
	if s.newest != none {
		s.entries[s.newest].newer = i
	} else {
		s.oldest = i
	}
	s.newest = i
}

func (s *shard) detach(i int32) {
	e := &s.entries[i]
	if e.newer != none {
		s.entries[e.newer].older = e.older
	} else {
		s.newest = e.older
	}
	if e.older != none {
		s.entries[e.older].newer = e.newer
	} else {
		s.oldest = e.newer
	}
}
