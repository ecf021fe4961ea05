package slotshare

import (
	"hash/maphash"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxEntries bounds the pairs of customer and service that a Table knows.
	MaxEntries = 20_000
	// MaxServices bounds the services that a Table knows. Those with too few slots at one time
	// are a few.
	MaxServices = 64
	// maxKinds bounds the kinds of requests to a service whose slot times are told apart.
	maxKinds = 64
	// minSeen is how many responses of a customer must have been seen for its cost to be used. The
	// mean of fewer differs too much from that of its next requests.
	minSeen = 8
	// customerWindow and serviceWindow are how many responses a mean covers. If the deviation of
	// slot times equals their mean, 32 give a customer's mean within about a fifth (1/sqrt(32)). The
	// means of a service are the reference of all customers and must vary less.
	customerWindow = 32
	serviceWindow  = 255
	// maxSlotTime bounds a single slot time. No request may last longer.
	maxSlotTime = 10 * time.Minute

	shardCount = 16
)

// Table knows what the requests of customers cost at services. It is safe for concurrent use.
type Table struct {
	seed   maphash.Seed
	shards [shardCount]shard
	count  atomic.Int32
	// evicted is the slot time of the entries that were evicted.
	evicted atomic.Int64
	ignored atomic.Uint64

	mu       sync.RWMutex
	services map[string]*service
}

type service struct {
	name  string
	index uint8
	mu    sync.Mutex
	// all is the mean slot time of all requests, kinds that of the requests of each kind.
	all   runningMean
	kinds map[string]*runningMean
}

// runningMean is a mean of slot times in milliseconds, of seen responses.
type runningMean struct {
	value float32
	seen  uint8
}

func (m *runningMean) add(slotTime float32) {
	m.seen = min(m.seen, serviceWindow-1) + 1
	m.value = addToMean(m.value, slotTime, m.seen)
}

// add records the slot time of a request and returns the mean of its kind. If there are too many
// kinds, it is the mean of all requests.
func (s *service) add(kind string, slotTime float32) (expected float32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.add(slotTime)
	m := s.kinds[kind]
	if m == nil {
		if len(s.kinds) >= maxKinds {
			return s.all.value
		}
		m = &runningMean{}
		s.kinds[strings.Clone(kind)] = m
	}
	m.add(slotTime)
	return m.value
}

// NewTable returns a Table that knows no customers.
func NewTable() *Table {
	t := &Table{seed: maphash.MakeSeed(), services: make(map[string]*service)}
	for i := range t.shards {
		t.shards[i].newest, t.shards[i].oldest = none, none
	}
	return t
}

// Observe records the slot time of a completed request. kind is the name of its profile. It must not
// be called for requests that were refused or failed: a customer could lower its cost with them. A
// slot time that is not positive is ignored.
func (t *Table) Observe(customer, serviceName, kind string, slotTime time.Duration) {
	if slotTime <= 0 {
		t.ignored.Add(1)
		return
	}
	slotTime = min(slotTime, maxSlotTime)
	s := t.service(serviceName)
	if s == nil {
		t.ignored.Add(1)
		return
	}
	took := milliseconds(slotTime)
	expected := s.add(kind, took)
	t.update(customer, s, func(e *entry) {
		e.seen = min(e.seen, customerWindow-1) + 1
		e.relative = addToMean(e.relative, min(took/expected, maxRelative), e.seen)
		e.expected = addToMean(e.expected, expected, e.seen)
		e.slotTime += slotTime
	})
}

// Refuse counts a request that was refused under pressure.
func (t *Table) Refuse(customer, serviceName string) {
	if s := t.service(serviceName); s != nil {
		t.update(customer, s, func(e *entry) { e.refused++ })
		return
	}
	t.ignored.Add(1)
}

// Cost returns the slot time of a customer's requests at a service relative to that of all requests
// there, from MinCost to MaxCost. The part that comes from the kinds of its requests is bounded
// further. It is 1 for a customer of which too few responses were seen.
func (t *Table) Cost(customer, serviceName string) float64 {
	t.mu.RLock()
	s := t.services[serviceName]
	t.mu.RUnlock()
	if s == nil {
		return 1
	}
	hash := t.hash(customer, s)
	shard := &t.shards[hash%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	i := shard.find(hash, customer, s.index)
	if i == none {
		return 1
	}
	shard.touch(i)
	return shard.entries[i].cost(s)
}

// Ignored returns how many reports were ignored: slot times that are not positive, and reports of
// further services or customers when the table is full.
func (t *Table) Ignored() uint64 { return t.ignored.Load() }

// Usage is what a customer took of a service since the node knows it.
type Usage struct {
	Customer, Service string
	// SlotTime is the sum over completed requests, and Refused the number of requests that were
	// refused under pressure.
	SlotTime time.Duration
	Refused  uint64
	Cost     float64
}

// Usages returns the usage of all customers known, in no particular order, and the slot time of
// those that were evicted.
func (t *Table) Usages() (known []Usage, evicted time.Duration) {
	t.mu.RLock()
	services := make([]*service, len(t.services))
	for _, s := range t.services {
		services[s.index] = s
	}
	t.mu.RUnlock()
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for j := range shard.entries {
			e := &shard.entries[j]
			// A service may have been added since the list of services was made.
			if int(e.service) >= len(services) {
				continue
			}
			s := services[e.service]
			known = append(known, Usage{Customer: e.customer, Service: s.name, SlotTime: e.slotTime, Refused: uint64(e.refused), Cost: e.cost(s)})
		}
		shard.mu.Unlock()
	}
	return known, time.Duration(t.evicted.Load())
}

// service returns the service with this name, and adds it if there is room. It returns nil if there
// is none.
func (t *Table) service(name string) *service {
	t.mu.RLock()
	s := t.services[name]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.services[name]; s == nil && len(t.services) < MaxServices {
		s = &service{name: strings.Clone(name), index: uint8(len(t.services)), kinds: make(map[string]*runningMean)}
		t.services[s.name] = s
	}
	return s
}

// update changes the entry of a customer at a service, which it adds if there is none.
func (t *Table) update(customer string, s *service, change func(*entry)) {
	hash := t.hash(customer, s)
	shard := &t.shards[hash%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	i := shard.find(hash, customer, s.index)
	if i == none {
		if i = t.add(shard, hash, customer, s.index); i == none {
			t.ignored.Add(1)
			return
		}
	}
	shard.touch(i)
	change(&shard.entries[i])
}

// add adds an entry to a shard, in place of the least recently seen one of the shard if the table is
// full. It returns none if the table is full and the shard empty.
func (t *Table) add(shard *shard, hash uint64, customer string, service uint8) index {
	fresh := entry{customer: strings.Clone(customer), service: service, newer: none, older: none, next: none}
	if t.count.Add(1) <= MaxEntries {
		return shard.insert(t.seed, hash, fresh)
	}
	t.count.Add(-1)
	if shard.oldest == none {
		return none
	}
	t.evicted.Add(int64(shard.entries[shard.oldest].slotTime))
	return shard.replaceOldest(t.seed, hash, fresh)
}

func (t *Table) hash(customer string, s *service) uint64 { return hashOf(t.seed, customer, s.index) }

// hashOf returns a hash that callers can't predict, so that they can't choose names that share a
// shard or a bucket.
func hashOf(seed maphash.Seed, customer string, service uint8) uint64 {
	const golden = 0x9e3779b97f4a7c15
	return maphash.String(seed, customer) ^ uint64(service)*golden
}
