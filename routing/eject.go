package routing

import (
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// detectIntervalMillis is the minimum interval between two comparisons of
	// the targets of a service.
	detectIntervalMillis = 500
	// outlierMinExcessMicros is the excess over the median up to which a slow
	// target is not an outlier: a latency of three times a quarter of a
	// millisecond is no reason to eject.
	outlierMinExcessMicros = 5000
	// failingShare is the share of failed calls, in thousandths, from which a
	// target counts as failing.
	failingShare = 300
	// outlierRounds is the number of consecutive comparisons that must find a
	// target slow. When a shared dependency slows down, some averages rise
	// before others, and for a moment the first one looks like an outlier.
	outlierRounds = 3
)

// service is the state of one service. It outlives membership changes as long
// as the service has at least one member.
type service struct {
	view atomic.Pointer[view]
	// nextDetection is the earliest time of the next comparison of targets, in
	// milliseconds.
	nextDetection atomic.Int64
	// typical is the median latency of this region's targets as of the last
	// comparison, in microseconds.
	typical atomic.Int64
	// mu is held while a target is ejected, so that counting the ejected
	// targets and ejecting another one is one atomic step.
	mu sync.Mutex
	// spill is the share of calls that leave the zone by load reports.
	spill zoneSpill
}

// eject ejects the target, unless more than half of the service would then be
// ejected. If all other targets fail as well, it ends all ejections instead.
//
// An ejection assumes that the fault is the target's. When more than half of
// the targets fail, the cause is more likely this node's own network or a
// shared dependency; ejecting them all would make a slow service unavailable,
// and move the whole load to the last target.
func (s *service) eject(m *targetStats, at int64, config *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view.Load()
	if m.ejectedFor(at, config) > 0 || !v.contains(m) {
		return
	}
	if (v.ejected(at, config)+1)*2 > len(v.subset) {
		if v.allFailing(at, config) {
			v.endEjections()
		}
		return
	}
	m.beginEjection(at, config)
}

// beginEjection ejects m for a duration that doubles with each ejection and
// halves with each period of EjectMax without one.
func (m *targetStats) beginEjection(at int64, config *Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := config.EjectMax.Milliseconds()
	calmPeriods := (at - m.lastEjection) / limit
	m.ejections = int(max(int64(m.ejections)-max(calmPeriods, 0), 0))
	length := config.EjectBase.Milliseconds()
	for range m.ejections {
		length = min(length*2, limit)
	}
	m.ejections++
	m.lastEjection = at
	m.consecutiveFailures = 0
	m.nextProbe.Store(at + config.Probe.Milliseconds())
	m.ejectedUntil.Store(at + length)
	// After the ejection the target goes through slow start like a new one, so
	// that a VM that has only just recovered isn't overloaded at once.
	m.slowStartAt.Store(at + length)
}

// readmit ends an ejection after a successful probe. It replaces the earlier
// measurements, because they date from the time when the target was failing.
func (m *targetStats) readmit(f Feedback, at int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency.Store(max(f.Latency.Microseconds(), 1))
	m.latencyAt.Store(at)
	m.failed.store(0, at)
	m.refused.store(0, at)
	m.consecutiveFailures = 0
	m.ejectedUntil.Store(0)
	m.slowStartAt.Store(at)
}

// detectOutliers compares the targets of the service with each other and ejects
// the outliers. It runs at most once per detectIntervalMillis, in the first
// call of Done after that time.
func (s *service) detectOutliers(at int64, config *Config) {
	next := s.nextDetection.Load()
	if at < next && next-at <= detectIntervalMillis {
		return
	}
	if !s.nextDetection.CompareAndSwap(next, at+detectIntervalMillis) {
		return
	}
	v := s.view.Load()
	s.typical.Store(medianLatency(v.sameRegion, at))
	s.ejectOutliers(v.sameRegion, at, config)
	s.ejectOutliers(v.otherRegions, at, config)
}

// ejectOutliers compares targets at a similar distance, because targets of
// another region are slower by the network latency alone.
func (s *service) ejectOutliers(peers []*member, at int64, config *Config) {
	latency := medianLatency(peers, at)
	for _, peer := range peers {
		m := peer.stats
		if m.ejectedFor(at, config) > 0 {
			continue
		}
		if m.countSlowRound(isOutlier(m.decayedLatency(latency, at), latency, config)) {
			s.eject(m, at, config)
		}
	}
}

// countSlowRound counts the consecutive comparisons that found m slow, and
// reports whether they reach outlierRounds.
func (m *targetStats) countSlowRound(slow bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowRounds++
	if !slow {
		m.slowRounds = 0
	}
	return m.slowRounds >= outlierRounds
}

func isOutlier(latency, median int64, config *Config) bool {
	return median > 0 && latency-median > outlierMinExcessMicros && float64(latency) > config.Outlier*float64(median)
}

// medianLatency returns the lower median latency of the peers that were
// measured recently. Older measurements are left out because they describe the
// latency of another time.
func medianLatency(peers []*member, at int64) int64 {
	var values [MaxSubset]int64
	n := 0
	for _, peer := range peers {
		m := peer.stats
		latency := m.latency.Load()
		if latency > 0 && at-m.latencyAt.Load() < decayMillis {
			values[n] = latency
			n++
		}
	}
	return lowerMedian(values[:n])
}

func lowerMedian(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
