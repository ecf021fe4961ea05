package admission

import (
	"strconv"
	"time"
)

// Defaults for the fields of Config that are left at zero.
const (
	DefaultMinLimit     = 2
	DefaultMaxQueueWait = 100 * time.Millisecond
	DefaultTargetWait   = 5 * time.Millisecond
	DefaultWindow       = 50 * time.Millisecond
	minWindow           = time.Millisecond
	initialLimitShare   = 4
	// leastPatience is the share of MaxQueueWait at Preference 0.
	leastPatience = 0.25
)

// Config configures a Gate.
type Config struct {
	// Slots is how many visits the upstream can hold at once, blocked ones
	// included, as it announced. It is the ceiling of everything in flight.
	// Too high a value moves the queue into the upstream, where importance
	// and deadlines are not seen.
	Slots int
	// InitialLimit is the limit on active visits at the start, before
	// anything was measured. Low protects a cold upstream, high avoids
	// refusals while the ramp runs. Zero means a quarter of Slots.
	InitialLimit int
	// MinLimit is the lowest limit on active visits. It must leave enough
	// samples to notice that the upstream got well. Zero means 2.
	MinLimit int
	// QueueLimit bounds how many calls may wait. Long queues absorb bursts
	// and delay recovery. Zero means half of Slots, at least 1; a negative
	// value means no queue.
	QueueLimit int
	// MaxQueueWait is the longest that any call may wait at Preference 1,
	// whatever its profile allows; at Preference 0 it is a quarter. Long
	// completes more of a burst, short leaves less behind it. Zero means
	// 100 ms.
	MaxQueueWait time.Duration
	// TargetWait is the queue wait, averaged over a window, above which the
	// window counts as overloaded. Low sheds early, high keeps the upstream
	// busier. Preference scales it. Zero means 5 ms.
	TargetWait time.Duration
	// Window is how often limit and admission level are set. Short reacts
	// and recovers faster, long measures steadier. Zero means 50 ms.
	Window time.Duration
	// RampTime is how long a cold upstream takes to warm up: the ceiling of
	// the limit rises evenly from InitialLimit to Slots over it. Zero means
	// no ramp.
	RampTime time.Duration
	// Preference weighs goodput (1) against recovery time (0), for calls that
	// bring none of their own. Towards 1 calls
	// may be queued for longer, a longer standing queue is tolerated before
	// shedding, and refused calls are told to come back late: more of the
	// calls in a burst or surge end well. Towards 0 the queue is kept short
	// and refused calls come back soon: after a surge callers are answered
	// sooner, but more of them have given up.
	Preference float64
	// DepthAware takes time blocked in calls below out of what is measured
	// and limited, so that a slow deep service does not lower the limits
	// above it. Off, a blocked visit counts as an active one.
	DepthAware bool
	// SlotShare, if above 0, sets the limit to that share of the slots, and
	// nothing is learnt or refused by level: for an upstream that announces
	// exactly how many calls it runs at once and gets every call through this
	// gate. Then roots refuse by Pressure. Less than 1 spares upstreams that
	// become slow when nearly full, at the cost of the slots left out.
	SlotShare float64
	// Clock replaces time.Now; nil means time.Now.
	Clock func() time.Time
}

// withDefaults returns c with zero fields filled in, or a *ConfigError.
func (c Config) withDefaults() (Config, error) {
	if c.Slots < 0 || c.Slots > maxSlots {
		return c, intError("Slots", c.Slots, "0 to "+strconv.Itoa(maxSlots))
	}
	if c.InitialLimit < 0 || c.InitialLimit > c.Slots {
		return c, intError("InitialLimit", c.InitialLimit, "0 to Slots")
	}
	if c.MinLimit < 0 || c.MinLimit > max(c.Slots, DefaultMinLimit) {
		return c, intError("MinLimit", c.MinLimit, "0 to Slots")
	}
	if c.Preference < 0 || c.Preference > 1 || c.Preference != c.Preference {
		return c, &ConfigError{Field: "Preference", Value: strconv.FormatFloat(c.Preference, 'g', -1, 64), Want: "0 to 1"}
	}
	if !(c.SlotShare >= 0 && c.SlotShare <= 1) {
		return c, &ConfigError{Field: "SlotShare", Value: strconv.FormatFloat(c.SlotShare, 'g', -1, 64), Want: "0 to 1"}
	}
	if c.QueueLimit > maxSlots {
		return c, intError("QueueLimit", c.QueueLimit, "at most "+strconv.Itoa(maxSlots))
	}
	if err := c.fillDurations(); err != nil {
		return c, err
	}
	if c.MinLimit == 0 {
		c.MinLimit = DefaultMinLimit
	}
	if c.InitialLimit == 0 {
		c.InitialLimit = max(c.Slots/initialLimitShare, c.MinLimit)
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = max(2*c.Slots, 1)
	}
	c.QueueLimit = max(c.QueueLimit, 0)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return c, nil
}

// fillDurations checks the durations and fills in their defaults.
func (c *Config) fillDurations() error {
	fields := []struct {
		name     string
		value    *time.Duration
		fallback time.Duration
		least    time.Duration
	}{
		{"MaxQueueWait", &c.MaxQueueWait, DefaultMaxQueueWait, 0},
		{"TargetWait", &c.TargetWait, DefaultTargetWait, 0},
		{"Window", &c.Window, DefaultWindow, minWindow},
		{"RampTime", &c.RampTime, 0, 0},
	}
	for _, f := range fields {
		if *f.value == 0 {
			*f.value = f.fallback
		}
		if *f.value < f.least {
			return &ConfigError{Field: f.name, Value: f.value.String(), Want: "at least " + f.least.String()}
		}
	}
	return nil
}

func intError(field string, value int, want string) *ConfigError {
	return &ConfigError{Field: field, Value: strconv.Itoa(value), Want: want}
}

// patience is how long a call may be queued. Calls that waited long are what
// the upstream still works on when a surge is over.
func (c Config) patience(preference float64) time.Duration {
	share := leastPatience + preference*(1-leastPatience)
	return time.Duration(share * float64(c.MaxQueueWait))
}
