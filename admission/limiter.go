package admission

import (
	"math"
	"time"
)

// Tuning of the limiter.
const (
	// latencyTolerance is how far mean self time may rise above its baseline
	// before the limit falls. Below it lies ordinary variance.
	latencyTolerance = 1.5
	// minGradient bounds how much one window may take off the limit.
	minGradient = 0.7
	// growthShare is how much a busy window without strain adds to the limit.
	growthShare = 0.10
	// minSamples is how many ended visits a profile needs for its mean to
	// count; fewer are carried over into the next window.
	minSamples = 8
	// baselineFall and baselineRise are the weights of a new mean that is
	// under or over the baseline.
	baselineFall = 0.5
	baselineRise = 0.002
	// baselineRelearn is the weight when a smaller limit did not help, so
	// that slowness which concurrency did not cause is accepted.
	baselineRelearn = 0.3
	// shedCut is the factor on the limit when the upstream itself shed.
	shedCut = 0.9
	// shedShare of the ended visits must be shed for the limit to fall; a few
	// may have reasons of their own.
	shedShare = 0.01
	// busyShare of the limit must be in use before the limit may grow.
	busyShare = 0.7
	// hintFloorShare: a reported load may take off at most this share.
	hintFloorShare = 0.5
	// hintLife is how long a reported load counts; reports lag.
	hintLife = time.Second
)

// sample is what one window measured for one profile.
type sample struct {
	profile *profileStats
	count   uint64
	// self is the sum of self times.
	self time.Duration
}

// measurement is what one window measured.
type measurement struct {
	samples []sample
	// peakActive is the most visits that were active at once.
	peakActive int
	ok         uint64
	shed       uint64
	elapsed    time.Duration
}

// limiter holds the adaptive limit on active visits. It is pure: time comes in
// as an offset from the gate's start. Its owner locks.
type limiter struct {
	slots     int
	minLimit  int
	initial   int
	ramp      time.Duration
	rampStart time.Duration
	limit     float64

	// share is Config.SlotShare.
	share float64

	hint      float64
	hintUntil time.Duration

	// The state before the last cut, to judge whether the cut helped.
	cutRatio   float64
	cutGoodput float64
	cutPending bool
}

func newLimiter(c Config) *limiter {
	return &limiter{share: c.SlotShare, slots: c.Slots, minLimit: c.MinLimit, initial: c.InitialLimit, ramp: c.RampTime, limit: float64(c.InitialLimit)}
}

// ceiling is what the ramp allows now.
func (l *limiter) ceiling(now time.Duration) float64 {
	slots := float64(l.slots)
	since := now - l.rampStart
	if l.ramp <= 0 || since >= l.ramp {
		return slots
	}
	start := math.Min(float64(l.initial), slots)
	return start + (slots-start)*float64(since)/float64(l.ramp)
}

// effective is the limit in force: measured, under the ramp, lowered by a
// fresh hint.
func (l *limiter) effective(now time.Duration) int {
	if l.share > 0 {
		return min(max(int(l.share*float64(l.slots)), 1), max(l.slots, 1))
	}
	limit := math.Min(l.limit, l.ceiling(now))
	// A report that lags or lies must not starve the upstream, and must not
	// raise the limit above what was measured. So a hint only lowers, by half
	// at most, and is forgotten soon.
	if now < l.hintUntil && l.hint > 1 {
		limit *= math.Max(1/l.hint, hintFloorShare)
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

func (l *limiter) setHint(load float64, now time.Duration) {
	l.hint = load
	l.hintUntil = now + hintLife
}

// update sets the limit from what a window measured.
func (l *limiter) update(m measurement, now time.Duration) {
	ratio, measured := latencyRatio(m.samples)
	goodput := 0.0
	if m.elapsed > 0 {
		goodput = float64(m.ok) / m.elapsed.Seconds()
	}
	if measured && l.cutPending {
		l.judgeCut(ratio, goodput, m.samples)
	}
	learnBaselines(m.samples)
	switch {
	case float64(m.shed) > shedShare*float64(m.ok+m.shed):
		l.limit *= shedCut
	case measured && ratio > latencyTolerance:
		l.cut(ratio, goodput)
	case float64(m.peakActive) >= busyShare*l.limit:
		l.limit += math.Max(1, growthShare*l.limit)
	}
	l.limit = math.Max(l.limit, float64(l.minLimit))
	l.limit = math.Min(l.limit, math.Max(l.ceiling(now), float64(l.minLimit)))
}

// cut lowers the limit in proportion to the strain.
func (l *limiter) cut(ratio, goodput float64) {
	gradient := math.Max(latencyTolerance/ratio, minGradient)
	l.limit *= gradient
	l.cutRatio = ratio
	l.cutGoodput = goodput
	l.cutPending = true
}

// judgeCut asks whether the last cut helped. If self time did not fall but
// goodput did, concurrency is not what made the upstream slow; cutting on
// would only waste its slots, so the baseline moves to the new normal.
func (l *limiter) judgeCut(ratio, goodput float64, samples []sample) {
	l.cutPending = false
	const useful = 0.95
	if ratio < l.cutRatio*useful || goodput >= l.cutGoodput*useful {
		return
	}
	for _, s := range samples {
		mean := float64(s.self) / float64(s.count)
		s.profile.baseline += baselineRelearn * (mean - s.profile.baseline)
	}
}

// latencyRatio is how much longer the window's visits took than the same mix
// would take at the baselines. Comparing each profile with itself keeps a
// shift of the mix towards slow profiles from reading as overload.
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
