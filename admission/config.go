package admission

import (
	"strconv"
	"time"
)

// Default values for zero fields of Config.
const (
	DefaultMinLimit     = 2
	DefaultMaxQueueWait = 100 * time.Millisecond
	DefaultTargetWait   = 5 * time.Millisecond
	DefaultWindow       = 50 * time.Millisecond
	minWindow           = time.Millisecond
	initialLimitShare   = 4
	// minQueueWaitShare is the share of MaxQueueWait that applies at Preference 0.
	minQueueWaitShare = 0.25
)

// Config configures a Gate.
type Config struct {
	// Slots is the number of visits that the upstream can hold at once, as the
	// upstream announced it. Blocked visits count. Slots bounds all visits in
	// flight. If it is too high, calls queue inside the upstream, which knows
	// neither their importance nor their deadlines.
	Slots int
	// InitialLimit is the limit on active visits at the start, before anything
	// has been measured. A low value protects a cold upstream; a high value
	// avoids refusals during the ramp. Zero means a quarter of Slots.
	InitialLimit int
	// MinLimit is the lowest limit on active visits. It must let through enough
	// calls to notice that the upstream has recovered. Zero means 2.
	MinLimit int
	// QueueLimit is the maximum number of queued calls. A long queue absorbs
	// bursts but delays recovery. Zero means twice Slots, at least 1; a
	// negative value disables the queue.
	QueueLimit int
	// MaxQueueWait is the longest that any call may be queued at Preference 1,
	// whatever its profile allows; at Preference 0 it is a quarter of that. A
	// long wait completes more calls of a burst; a short wait leaves less
	// backlog after it. Zero means 100 ms.
	MaxQueueWait time.Duration
	// TargetWait is the mean queue wait of a window above which the window
	// counts as overloaded, before it is scaled by Preference. A low value
	// sheds early; a high value keeps the upstream busier. Zero means 5 ms.
	TargetWait time.Duration
	// Window is the interval at which the limit and the admission level are
	// updated. A short window reacts and recovers faster; a long window
	// measures with less noise. Zero means 50 ms.
	Window time.Duration
	// RampTime is how long a cold upstream takes to warm up. During this time
	// the upper bound of the limit rises linearly from InitialLimit to Slots.
	// Zero means no ramp.
	RampTime time.Duration
	// Preference weighs goodput (1) against recovery time (0) for calls that
	// don't set a preference themselves. Towards 1, calls may be queued for
	// longer, a longer standing queue is tolerated before calls are shed, and
	// refused calls get a longer RetryAfter: more calls of a burst or surge
	// succeed. Towards 0, the queue is kept short and refused calls may retry
	// soon: after a surge callers are served sooner, but more of them have
	// given up.
	Preference float64
	// DepthAware excludes the time blocked in downstream calls from the
	// measurements and from the limit, so that a slow downstream service
	// doesn't lower the limits of the upstreams that call it. If it is false, a
	// blocked visit counts as an active one.
	DepthAware bool
	// SlotShare, if positive, fixes the limit at that share of Slots. The limit
	// then doesn't adapt and no call is refused by level; the roots refuse
	// calls by Pressure instead. It is meant for an upstream that announces
	// exactly how many calls it runs at once and receives all its calls through
	// this gate. A share below 1 protects upstreams that slow down when nearly
	// full, at the cost of the unused slots.
	SlotShare float64
	// Clock replaces time.Now. Nil means time.Now.
	Clock func() time.Time
}

// withDefaults returns c with its zero fields set to the defaults, or a
// *ConfigError if a field is out of range.
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

// fillDurations sets zero durations to their defaults and checks the ranges.
func (c *Config) fillDurations() error {
	fields := []struct {
		name     string
		value    *time.Duration
		fallback time.Duration
		minimum  time.Duration
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
		if *f.value < f.minimum {
			return &ConfigError{Field: f.name, Value: f.value.String(), Want: "at least " + f.minimum.String()}
		}
	}
	return nil
}

func intError(field string, value int, want string) *ConfigError {
	return &ConfigError{Field: field, Value: strconv.Itoa(value), Want: want}
}

// queueWaitLimit returns the longest time that a call with this preference may be
// queued. Calls that waited for long are the backlog that the upstream still
// has to work off after a surge.
func (c Config) queueWaitLimit(preference float64) time.Duration {
	share := minQueueWaitShare + preference*(1-minQueueWaitShare)
	return time.Duration(share * float64(c.MaxQueueWait))
}
