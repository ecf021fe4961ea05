package slotshare

import (
	"hash/maphash"
	"sync"
	"time"
)

// index is the place of an entry in a shard. It has room for MaxEntries.
type index int16

// none is the index of no entry.
const none index = -1

// shard is one part of a Table. Its entries are in a hash table with chains and in a list by the
// time at which they were last seen.
type shard struct {
	mu             sync.Mutex
	entries        []entry
	buckets        []index
	newest, oldest index
}

// entry is what a Table knows of a customer at a service.
type entry struct {
	customer string
	slotTime time.Duration
	refused  uint32
	// newer and older are neighbours in the list, next is the next entry of the same bucket.
	newer, older, next index
	// relative is the mean of the slot times of seen responses, each relative to the mean of its kind.
	// expected is the mean of those means, in milliseconds.
	relative, expected float32
	seen, service      uint8
}

// cost returns the cost at the service s of this entry.
func (e *entry) cost(s *service) float64 {
	if e.seen < minSeen {
		return 1
	}
	s.mu.Lock()
	all := s.all.value
	s.mu.Unlock()
	return costOf(float64(e.relative), float64(e.expected), float64(all))
}

// bucket returns the place in buckets for a hash. The lowest bits select the shard.
func (s *shard) bucket(hash uint64) uint64 { return hash / shardCount % uint64(len(s.buckets)) }

func (s *shard) find(hash uint64, customer string, service uint8) index {
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
func (s *shard) insert(seed maphash.Seed, hash uint64, e entry) index {
	s.grow(seed)
	i := index(len(s.entries))
	s.entries = append(s.entries, e)
	s.chain(hash, i)
	s.prepend(i)
	return i
}

// replaceOldest puts an entry in the place of the least recently seen one.
func (s *shard) replaceOldest(seed maphash.Seed, hash uint64, e entry) index {
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

func (s *shard) chain(hash uint64, i index) {
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
	s.buckets = make([]index, size)
	for i := range s.buckets {
		s.buckets[i] = none
	}
	for i := range s.entries {
		s.chain(hashOf(seed, s.entries[i].customer, s.entries[i].service), index(i))
	}
}

// touch makes an entry the most recently seen one.
func (s *shard) touch(i index) {
	if s.newest != i {
		s.detach(i)
		s.prepend(i)
	}
}

func (s *shard) prepend(i index) {
	e := &s.entries[i]
	e.newer, e.older = none, s.newest
	if s.newest != none {
		s.entries[s.newest].newer = i
	} else {
		s.oldest = i
	}
	s.newest = i
}

func (s *shard) detach(i index) {
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
