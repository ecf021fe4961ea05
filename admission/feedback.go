package admission

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

// Default values for zero fields of FeedbackConfig.
const (
	DefaultFeedbackSmoothing  = 20 * time.Millisecond
	DefaultFeedbackHold       = 200 * time.Millisecond
	DefaultFeedbackRelease    = 800 * time.Millisecond
	DefaultFeedbackProbeEvery = 200
)

// FeedbackConfig configures a Feedback.
type FeedbackConfig struct {
	// Smoothing is the time constant of the average over responses, which come
	// from several instances with different levels. A short time follows a
	// raise fast; a long time doesn't follow a single instance. Zero means
	// 20 ms.
	Smoothing time.Duration
	// Hold is how long a level stays in force without any response. It must be
	// longer than the usual gap between responses. Zero means 200 ms.
	Hold time.Duration
	// Release is the time after Hold in which a level falls linearly to 0, so
	// that a root which refuses all its calls tries again. Zero means 800 ms.
	Release time.Duration
	// ProbeEvery admits one in this many calls below the level as a probe.
	// Probes show the downstream hops the demand that the root refuses, and
	// their responses report the current levels. A low value finds free
	// capacity sooner; a high value wastes less. Zero means 200.
	ProbeEvery int
}

// Feedback lets a root refuse a call that a downstream hop would refuse, before
// any work is done. It learns from the highest admission level that each
// response reports.
type Feedback struct {
	config   FeedbackConfig
	epoch    time.Time
	profiles profileMap[feedbackProfile]
}

// feedbackProfile is the state of one profile.
type feedbackProfile struct {
	// state packs the smoothed level (float32 bits, high half) and the time of
	// the last response (milliseconds since the epoch modulo 2^32, low half).
	state   atomic.Uint64
	refused atomic.Uint64
}

// NewFeedback returns a Feedback for the configuration, or a *ConfigError if
// the configuration is invalid.
func NewFeedback(config FeedbackConfig) (*Feedback, error) {
	fields := []struct {
		name     string
		value    *time.Duration
		fallback time.Duration
	}{
		{"Smoothing", &config.Smoothing, DefaultFeedbackSmoothing},
		{"Hold", &config.Hold, DefaultFeedbackHold},
		{"Release", &config.Release, DefaultFeedbackRelease},
	}
	for _, f := range fields {
		if *f.value < 0 {
			return nil, &ConfigError{Field: f.name, Value: f.value.String(), Want: "at least 0"}
		}
		if *f.value == 0 {
			*f.value = f.fallback
		}
	}
	if config.ProbeEvery < 0 {
		return nil, &ConfigError{Field: "ProbeEvery", Value: strconv.Itoa(config.ProbeEvery), Want: "at least 0"}
	}
	if config.ProbeEvery == 0 {
		config.ProbeEvery = DefaultFeedbackProbeEvery
	}
	return &Feedback{config: config}, nil
}

// Observe records the highest admission level that a response reported.
func (f *Feedback) Observe(profile string, worst call.Level, now time.Time) {
	p := f.profile(profile, now)
	at := f.clock(now)
	for {
		old := p.state.Load()
		level, observedAt := unpackFeedback(old)
		since := elapsed(observedAt, at)
		if since == 0 {
			at = observedAt
		}
		if p.state.CompareAndSwap(old, packFeedback(f.smooth(level, worst, since), at)) {
			return
		}
	}
}

// minResponseWeight is the smallest weight of one response, for roots that get so
// many responses that the time between two of them rounds to zero.
const minResponseWeight = 1.0 / 64

func (f *Feedback) smooth(level float32, worst call.Level, since time.Duration) float32 {
	level = f.decayed(level, since)
	weight := 1 - math.Exp(-float64(since)/float64(f.config.Smoothing))
	weight = math.Max(weight, minResponseWeight)
	return level + float32(weight)*(float32(worst)-level)
}

// decayed returns the level after this time without a response.
func (f *Feedback) decayed(level float32, since time.Duration) float32 {
	overdue := since - f.config.Hold
	if overdue <= 0 {
		return level
	}
	left := 1 - float64(overdue)/float64(f.config.Release)
	return level * float32(math.Max(left, 0))
}

// Admit reports whether a call of the profile should be admitted, and the level
// in force. A few calls below that level are admitted as probes.
func (f *Feedback) Admit(profile string, l call.Level, now time.Time) (ok bool, inForce call.Level) {
	p := f.profiles.find(profile)
	if p == nil {
		// If the profile map was full, Observe used the shared record.
		p = f.profiles.find(otherProfiles)
	}
	if p == nil {
		return true, 0
	}
	old := p.state.Load()
	level, observedAt := unpackFeedback(old)
	at := f.clock(now)
	inForce = call.Level(f.decayed(level, elapsed(observedAt, at)))
	if inForce == 0 && level != 0 {
		// The 32-bit time repeats after 49 days. A level that has decayed to 0
		// must not return with it.
		p.state.CompareAndSwap(old, packFeedback(0, at))
	}
	if l >= inForce {
		return true, inForce
	}
	probe := p.refused.Add(1)%uint64(f.config.ProbeEvery) == 0
	return probe, inForce
}

// clock returns the milliseconds since the first observation, modulo 2^32.
func (f *Feedback) clock(now time.Time) uint32 {
	return uint32(now.Sub(f.epoch).Milliseconds())
}

// elapsed returns the time from observedAt to at. Callers read their clocks before
// they call Observe or Admit, so observedAt may be slightly later than at; that
// counts as zero.
func elapsed(observedAt, at uint32) time.Duration {
	return time.Duration(max(int32(at-observedAt), 0)) * time.Millisecond
}

func (f *Feedback) profile(name string, now time.Time) *feedbackProfile {
	if p := f.profiles.find(name); p != nil {
		return p
	}
	return f.profiles.add(name, func(string) *feedbackProfile {
		if len(f.profiles.all()) == 0 {
			f.epoch = now
		}
		p := &feedbackProfile{}
		p.state.Store(packFeedback(0, f.clock(now)))
		return p
	})
}

func packFeedback(level float32, observedAt uint32) uint64 {
	return uint64(math.Float32bits(level))<<32 | uint64(observedAt)
}

func unpackFeedback(state uint64) (level float32, observedAt uint32) {
	return math.Float32frombits(uint32(state >> 32)), uint32(state)
}
