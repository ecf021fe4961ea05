package admission

import (
	"math"
	"time"
)

// Parameters of the limiter.
const (
	// latencyTolerance is the ratio of mean self time to the baseline above
	// which the limit falls. Ordinary variance stays below it.
	latencyTolerance = 1.5
	// minGradient is the smallest factor that one window may apply to the limit
	// because of latency.
	minGradient = 0.7
	// growthShare is the relative increase of the limit after a busy window
	// without excess latency.
	growthShare = 0.10
	// minSamples is the number of successful visits of a profile that a window
	// needs to use their mean; fewer are carried over to the next window.
	minSamples = 8
	// baselineFall and baselineRise are the weights of a new mean below and
	// above the baseline.
	baselineFall = 0.5
	baselineRise = 0.002
	// baselineRelearn is the weight of a new mean after a lower limit did not
	// help. The slowness is then not caused by concurrency, and the baseline
	// adapts to it.
	baselineRelearn = 0.3
	// shedFactor is the factor applied to the limit when the upstream itself shed
	// calls.
	shedFactor = 0.9
	// shedShare is the share of visits that the upstream must shed for the
	// limit to fall; it may shed a few for other reasons.
	shedShare = 0.01
	// busyShare is the share of the limit that must be in use for the limit to
	// grow.
	busyShare = 0.7
	// minReportedLoadFactor is the smallest factor that a reported load may
	// apply to the limit.
	minReportedLoadFactor = 0.5
	// reportedLoadTTL is how long a reported load is used. Reports lag behind
	// the real load.
	reportedLoadTTL = time.Second
)

// sample is the measurement of one profile in one window.
type sample struct {
	profile *profileStats
	count   uint64
	// self is the sum of the self times.
	self time.Duration
}

// measurement is the input of the limiter from one window.
type measurement struct {
	samples []sample
	// peakActive is the number of active visits at the end of the window, or
	// the limit if a call found no free capacity in the window.
	peakActive int
	ok         uint64
	shed       uint64
	elapsed    time.Duration
}

// limiter computes the adaptive limit on active visits. It is pure: time is
// passed in as an offset from the gate's creation. The caller must hold the
// gate's lock.
type limiter struct {
	slots     int
	minLimit  int
	initial   int
	ramp      time.Duration
	rampStart time.Duration
	limit     float64

	// share is Config.SlotShare.
	share float64

	reportedLoad      float64
	reportedLoadUntil time.Duration

	// The latency ratio and goodput before the last reduction of the limit, to
	// judge whether the reduction helped.
	cutRatio   float64
	cutGoodput float64
	cutPending bool
}

func newLimiter(c Config) *limiter {
	return &limiter{share: c.SlotShare, slots: c.Slots, minLimit: c.MinLimit, initial: c.InitialLimit, ramp: c.RampTime, limit: float64(c.InitialLimit)}
}

// rampLimit returns the upper bound that the ramp sets at this time.
func (l *limiter) rampLimit(now time.Duration) float64 {
	slots := float64(l.slots)
	since := now - l.rampStart
	if l.ramp <= 0 || since >= l.ramp {
		return slots
	}
	start := math.Min(float64(l.initial), slots)
	return start + (slots-start)*float64(since)/float64(l.ramp)
}

// effective returns the limit in force: the learned limit, bounded by the ramp
// and lowered by a recent load report.
func (l *limiter) effective(now time.Duration) int {
	if l.share > 0 {
		return min(max(int(l.share*float64(l.slots)), 1), max(l.slots, 1))
	}
	limit := math.Min(l.limit, l.rampLimit(now))
	// A late or wrong report must neither starve the upstream nor raise the
	// limit above the learned value. So a report only lowers the limit, at most
	// by half, and expires soon.
	if now < l.reportedLoadUntil && l.reportedLoad > 1 {
		limit *= math.Max(1/l.reportedLoad, minReportedLoadFactor)
	}
	return min(max(int(limit+0.5), l.minLimit), l.slots)
}

func (l *limiter) setSlots(n int, now time.Duration) {
	if l.slots == 0 && n > 0 {
		l.rampStart = now
		l.limit = math.Max(l.limit, float64(max(l.initial, l.minLimit)))
	}
	l.slots = n
	l.limit = math.Min(l.limit, float64(n))
}

func (l *limiter) setReportedLoad(load float64, now time.Duration) {
	l.reportedLoad = load
	l.reportedLoadUntil = now + reportedLoadTTL
}

// update adjusts the limit to the measurement of a window.
func (l *limiter) update(m measurement, now time.Duration) {
	ratio, measured := latencyRatio(m.samples)
	goodput := 0.0
	if m.elapsed > 0 {
		goodput = float64(m.ok) / m.elapsed.Seconds()
	}
	if measured && l.cutPending {
		l.evaluateCut(ratio, goodput, m.samples)
	}
	learnBaselines(m.samples)
	switch {
	case float64(m.shed) > shedShare*float64(m.ok+m.shed):
		l.limit *= shedFactor
	case measured && ratio > latencyTolerance:
		l.cut(ratio, goodput)
	case float64(m.peakActive) >= busyShare*l.limit:
		l.limit += math.Max(1, growthShare*l.limit)
	}
	l.limit = math.Max(l.limit, float64(l.minLimit))
	l.limit = math.Min(l.limit, math.Max(l.rampLimit(now), float64(l.minLimit)))
}

// cut lowers the limit in proportion to the excess latency.
func (l *limiter) cut(ratio, goodput float64) {
	gradient := math.Max(latencyTolerance/ratio, minGradient)
	l.limit *= gradient
	l.cutRatio = ratio
	l.cutGoodput = goodput
	l.cutPending = true
}

// evaluateCut checks whether the last reduction of the limit helped. If the
// latency ratio did not fall but goodput did, the upstream is slow for another
// reason than concurrency. Further reductions would only leave slots unused, so
// the baselines move towards the current self times.
func (l *limiter) evaluateCut(ratio, goodput float64, samples []sample) {
	l.cutPending = false
	const minImprovement = 0.95
	if ratio < l.cutRatio*minImprovement || goodput >= l.cutGoodput*minImprovement {
		return
	}
	for _, s := range samples {
		mean := float64(s.self) / float64(s.count)
		s.profile.baseline += baselineRelearn * (mean - s.profile.baseline)
	}
}

// latencyRatio returns the ratio of the window's total self time to the self
// time of the same visits at their baselines. It compares each profile with its
// own baseline, so that a shift of the mix towards slow profiles doesn't look
// like overload. It reports false if no profile has a baseline.
func latencyRatio(samples []sample) (float64, bool) {
	var actual, expected float64
	for _, s := range samples {
		if s.profile.baseline == 0 {
			continue
		}
		actual += float64(s.self)
		expected += s.profile.baseline * float64(s.count)
	}
	if expected == 0 {
		return 1, false
	}
	return actual / expected, true
}

func learnBaselines(samples []sample) {
	for _, s := range samples {
		mean := float64(s.self) / float64(s.count)
		b := &s.profile.baseline
		switch {
		case *b == 0:
			*b = mean
		case mean < *b:
			*b += baselineFall * (mean - *b)
		default:
			*b += baselineRise * (mean - *b)
		}
	}
}
