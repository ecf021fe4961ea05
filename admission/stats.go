package admission

import (
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

// shardCount is the number of shards of the counters. A pooled visit stays with
// its shard, and the pool returns visits to the processor that freed them, so
// that processors seldom write to the same cache line.
const shardCount = 16

// cacheLine is the size in bytes of the padding between fields written by
// different processors.
const cacheLine = 64

// reasons are the refusal reasons that a gate counts, in the order of its
// counters.
var reasons = [...]call.Reason{
	call.ReasonLevel,
	call.ReasonQueueFull,
	call.ReasonQueueWait,
	call.ReasonUpstreamLimit,
	call.ReasonDeadline,
	call.ReasonCancelled,
	call.ReasonDraining,
}

func reasonIndex(r call.Reason) int {
	for i, known := range reasons {
		if known == r {
			return i
		}
	}
	return 0
}

// statShard holds counters that are updated without a lock. At the end of a
// window the differences are read.
type statShard struct {
	arrivals [levels]atomic.Uint32
	admitted atomic.Uint64
	ok       atomic.Uint64
	failed   atomic.Uint64
	shed     atomic.Uint64
	ignored  atomic.Uint64
	refused  [len(reasons)]atomic.Uint64
	// reserve is the number of visits whose capacity is reserved for the next
	// calls of the shard; see capacity.go.
	reserve atomic.Int32
	_       [cacheLine]byte
}

// profileStats holds the measurements of one profile.
type profileStats struct {
	name   string
	shards [shardCount]profileShard
	// baseline is a slow moving average of the self time without overload, in
	// nanoseconds. The gate's lock guards it.
	baseline float64
	// mean is the moving mean of the total service time, in nanoseconds, and
	// lastDemand the value of demand when offered last read it. The gate's lock
	// guards both.
	mean       float64
	lastDemand uint64
	// demand counts the calls that the arrivals stand for, refused ones
	// included, in thousandths of a call; see demandOf.
	demand atomic.Uint64
	// service is a low estimate of the total service time, in nanoseconds.
	service atomic.Int64
}

type profileShard struct {
	count   atomic.Uint64
	self    atomic.Int64
	service atomic.Int64
	_       [cacheLine - 3*8]byte
}

func (s *profileShard) record(self, service time.Duration) {
	s.self.Add(int64(self))
	s.service.Add(int64(service))
	s.count.Add(1)
}

// take returns the measurements and resets them. A visit recorded at the same
// time may be split over two windows, which changes a mean by less than one
// sample.
func (p *profileStats) take() (count uint64, self, service time.Duration) {
	for i := range p.shards {
		s := &p.shards[i]
		if s.count.Load() == 0 {
			continue
		}
		count += s.count.Swap(0)
		self += time.Duration(s.self.Swap(0))
		service += time.Duration(s.service.Swap(0))
	}
	return count, self, service
}

func (p *profileStats) pending() uint64 {
	n := uint64(0)
	for i := range p.shards {
		n += p.shards[i].count.Load()
	}
	return n
}

// Parameters of the estimate of a profile's service time.
const (
	serviceRise = 0.1
	// serviceIdleDecay is the factor on the estimate after a window without
	// samples. Without the decay, an estimate that once rose above every
	// deadline would refuse all calls and never be corrected.
	serviceIdleDecay = 0.98
)

// learnService updates the low estimate of the service time: down at once, up
// slowly.
func (p *profileStats) learnService(mean time.Duration) {
	old := p.service.Load()
	if old != 0 && int64(mean) > old {
		mean = time.Duration(old) + time.Duration(serviceRise*float64(int64(mean)-old))
	}
	p.service.Store(int64(mean))
}

// learnMean moves the mean service time towards the mean of a window.
func (p *profileStats) learnMean(window float64) {
	if p.mean == 0 {
		p.mean = window
	}
	p.mean += meanWeight * (window - p.mean)
}

// demandOf returns the number of calls that an arrival stands for, in
// thousandths: the call itself, and its part of the calls whose requests were
// refused at their roots.
func demandOf(heldBack float64) uint64 {
	return uint64(thousand / (1 - min(max(heldBack, 0), maxPressure)))
}

// offered returns the demand since the previous call of offered, including requests
// refused at their roots: the number of calls, and their service time in seconds. The
// gate's lock is held.
func (p *profileStats) offered() (calls, seconds float64) {
	demand := p.demand.Load()
	fresh := demand - p.lastDemand
	p.lastDemand = demand
	calls = float64(fresh) / thousand
	return calls, calls * p.mean / float64(time.Second)
}

func (p *profileStats) decayService() {
	p.service.Store(int64(serviceIdleDecay * float64(p.service.Load())))
}
