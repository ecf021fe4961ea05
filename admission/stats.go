package admission

import (
	"math"
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
	// deviation is the standard deviation of the total service time, in nanoseconds.
	// The gate's lock guards it.
	deviation float64
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
	// squares is the sum of the squared total service times, in microseconds.
	squares atomic.Uint64
	_       [cacheLine - 4*8]byte
}

// maxSquared bounds the times whose squares are added, so that the sum of a window does
// not overflow.
const maxSquared = 100 * time.Second

func (s *profileShard) record(self, service time.Duration) {
	s.self.Add(int64(self))
	s.service.Add(int64(service))
	us := uint64(min(max(service, 0), maxSquared).Microseconds())
	s.squares.Add(us * us)
	s.count.Add(1)
}

// profileSums are the sums of a profile's measurements.
type profileSums struct {
	count         uint64
	self, service time.Duration
	// squares is in microseconds, squared.
	squares uint64
}

// take returns the measurements and resets them. A visit recorded at the same
// time may be split over two windows, which changes a mean by less than one
// sample.
func (p *profileStats) take() (sums profileSums) {
	for i := range p.shards {
		s := &p.shards[i]
		if s.count.Load() == 0 {
			continue
		}
		sums.count += s.count.Swap(0)
		sums.self += time.Duration(s.self.Swap(0))
		sums.service += time.Duration(s.service.Swap(0))
		sums.squares += s.squares.Swap(0)
	}
	return sums
}

// mean returns the mean of the total service times, in nanoseconds.
func (s profileSums) mean() float64 { return float64(s.service) / float64(s.count) }

// deviationFrom returns the root of the mean squared distance of the total service times
// from a value, in nanoseconds.
func (s profileSums) deviationFrom(value float64) float64 {
	const microsecond = float64(time.Microsecond)
	meanSquare := float64(s.squares) / float64(s.count) * microsecond * microsecond
	return math.Sqrt(max(meanSquare-2*value*s.mean()+value*value, 0))
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

// learnMean moves the mean service time and its deviation towards those of a window.
func (p *profileStats) learnMean(window profileSums) {
	mean := window.mean()
	if p.mean == 0 {
		p.mean = mean
		p.deviation = window.deviationFrom(mean)
	}
	p.mean += meanWeight * (mean - p.mean)
	p.deviation += meanWeight * (window.deviationFrom(p.mean) - p.deviation)
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
