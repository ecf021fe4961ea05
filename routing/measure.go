package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

const (
	// thousand represents 100 % in shares and loads.
	thousand = 1000
	// shareDivisor and latencyDivisor are the divisors of the moving averages:
	// each attempt moves the average by the difference divided by the divisor.
	shareDivisor   = 8
	latencyDivisor = 8
	// maxConsecutiveFailures is the number of consecutive failures that eject a
	// target at once. A single failure may be chance, and three are few enough
	// calls to lose.
	maxConsecutiveFailures = 3
	// decayMillis is the time, in milliseconds, after which a failure or
	// refusal no longer counts unless another one follows.
	decayMillis = 5000
)

// targetStats holds what this node has measured of one target by its own calls.
// It outlives views: a change of the member list elsewhere must not discard it.
//
// Pick reads the atomic fields. Done writes them under mu, except inFlight.
type targetStats struct {
	service *service
	// slowStartAt is the time when slow start began, in milliseconds; 0 until
	// the target is first picked.
	slowStartAt atomic.Int64

	inFlight atomic.Int64
	// latency is the moving average in microseconds, 0 when not measured.
	// latencyAt is the time of its last sample in milliseconds.
	latency   atomic.Int64
	latencyAt atomic.Int64
	refused   decayingValue
	failed    decayingValue
	load      decayingValue
	level     atomic.Int32
	reported  reportedLoad

	// ejectedUntil, drainedUntil and nextProbe are times in milliseconds.
	ejectedUntil atomic.Int64
	drainedUntil atomic.Int64
	nextProbe    atomic.Int64
	// availableRevision is the revision of the latest announcement in which the
	// member did not drain. drainRefusedRevision is the latest revision that
	// this node knew when it sent a call that the target refused because it
	// drains.
	availableRevision    atomic.Uint64
	drainRefusedRevision atomic.Uint64

	mu sync.Mutex
	// consecutiveFailures and slowRounds determine whether to eject the target,
	// ejections and lastEjection (in milliseconds) for how long.
	consecutiveFailures int
	slowRounds          int
	ejections           int
	lastEjection        int64
}

// addFeedback records the result of one attempt that was sent when the member
// had the given revision, and reports whether the target should be ejected at
// once.
func (m *targetStats) addFeedback(f Feedback, revision uint64, at int64, config *Config) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := f.verdict()
	if result == verdictGood || result == verdictRefused || f.Load > 0 {
		m.load.store(int64(f.Load), at)
		m.level.Store(int32(min(f.Level, call.MaxLevel+1)))
	}
	switch result {
	case verdictGood:
		m.consecutiveFailures = 0
		m.addLatency(f.Latency, at)
		m.addSample(&m.failed, 0, at)
		m.addSample(&m.refused, 0, at)
	case verdictRefused:
		m.consecutiveFailures = 0
		m.addSample(&m.failed, 0, at)
		m.addSample(&m.refused, thousand, at)
	case verdictFailed:
		m.consecutiveFailures++
		if f.Reason == call.ReasonTimeout {
			// The answer would have taken at least this long.
			m.addLatency(max(f.Latency, m.averageLatency()), at)
		}
		m.addSample(&m.failed, thousand, at)
		return m.consecutiveFailures >= maxConsecutiveFailures
	case verdictDraining:
		m.drainRefusedRevision.Store(max(m.drainRefusedRevision.Load(), revision))
		m.drainedUntil.Store(at + config.DrainMemory.Milliseconds())
	}
	return false
}

func (m *targetStats) averageLatency() time.Duration {
	return time.Duration(m.latency.Load()) * time.Microsecond
}

func (m *targetStats) addLatency(took time.Duration, at int64) {
	m.latencyAt.Store(at)
	sample := max(took.Microseconds(), 1)
	old := m.latency.Load()
	if old == 0 {
		m.latency.Store(sample)
		return
	}
	m.latency.Store(max(old+(sample-old)/latencyDivisor, 1))
}

// decayedLatency returns the average in microseconds, which approaches typical
// while there are no new samples. Otherwise a target that was slow once, and
// got no calls because of it, would count as slow for ever.
func (m *targetStats) decayedLatency(typical, at int64) int64 {
	latency := m.latency.Load()
	if latency == 0 || typical == 0 {
		return max(latency, typical)
	}
	age := min(max(at-m.latencyAt.Load(), 0), decayMillis)
	return latency + (typical-latency)*age/decayMillis
}

// addSample adds one sample, 0 or thousand, to a decaying share.
func (m *targetStats) addSample(share *decayingValue, sample, at int64) {
	old := share.load(at, decayMillis)
	share.store(old+(sample-old)/shareDivisor, at)
}

// ejectedFor returns the remaining time of the target's ejection, in
// milliseconds. An end that is further away than the longest ejection comes
// from a clock that was set back and is ignored; it would eject the target for
// as long as the clock's step.
func (m *targetStats) ejectedFor(at int64, config *Config) int64 {
	left := m.ejectedUntil.Load() - at
	if left <= 0 || left > config.EjectMax.Milliseconds() {
		return 0
	}
	return left
}

// recordAnnouncement records the revision of an announcement if the member does
// not drain.
func (m *targetStats) recordAnnouncement(t Target) {
	if !t.Draining {
		m.availableRevision.Store(max(m.availableRevision.Load(), t.Revision))
	}
}

// drained reports whether the target's refusal because of a drain still
// applies.
//
// An announcement without a drain that the member made after the call was sent
// is newer than the refusal and cancels it. Otherwise, after a cancelled drain,
// callers would avoid the node for all of DrainMemory; if the other members
// drained meanwhile, the callers would get no-target. If the node began to
// drain again between its announcement and the refusal, that costs one more
// refused call, whose refusal then applies.
func (m *targetStats) drained(at int64, config *Config) bool {
	if m.availableRevision.Load() > m.drainRefusedRevision.Load() {
		return false
	}
	left := m.drainedUntil.Load() - at
	return left > 0 && left <= config.DrainMemory.Milliseconds()
}

// slowStartShare returns the share of calls that slow start admits, in
// thousandths.
func (m *targetStats) slowStartShare(at int64, config *Config) int64 {
	const first = thousand / 10
	duration := config.SlowStart.Milliseconds()
	slowStartAt := m.slowStartAt.Load()
	if slowStartAt == 0 {
		return first
	}
	age := at - slowStartAt
	if age >= duration || age < 0 {
		return thousand
	}
	return first + (thousand-first)*age/duration
}

// beginSlowStart starts slow start with the first call.
func (m *targetStats) beginSlowStart(at int64) {
	if m.slowStartAt.Load() == 0 {
		m.slowStartAt.CompareAndSwap(0, at)
	}
}

// release decrements the in-flight count and returns the new count. It never
// goes below 0, so a second Done for one Pick can't make the target look idle
// for ever.
func (m *targetStats) release() int64 {
	for {
		old := m.inFlight.Load()
		if old <= 0 {
			return 0
		}
		if m.inFlight.CompareAndSwap(old, old-1) {
			return old - 1
		}
	}
}
