package routing

import (
	"strconv"
	"time"
)

// Defaults for Config, in the units of its fields.
const (
	DefaultSubset      = 12
	DefaultSpillLoad   = 800
	DefaultSlowStart   = 10 * time.Second
	DefaultEjectBase   = 2 * time.Second
	DefaultEjectMax    = 30 * time.Second
	DefaultProbe       = 500 * time.Millisecond
	DefaultOutlier     = 3.0
	DefaultDrainMemory = 10 * time.Second
)

// MaxSubset is the maximum number of targets of one service that a node may
// use: a choice represents the set of usable targets as bits of one 64-bit
// word.
const MaxSubset = 64

// Config configures a Router. Zero fields get the default.
type Config struct {
	// Node is the id of this node. It determines which subset of a large
	// service the node uses, so it must differ between nodes.
	Node string
	// Zone and Region are the location of this node.
	Zone   string
	Region string
	// Subset is the number of targets of one service that the node uses. More
	// targets balance the load better and survive more failures; each costs
	// connections on both sides. Half of the subset comes from the node's own
	// zone, and the rest is distributed over the other zones of the region.
	// Default 12, at most MaxSubset.
	Subset int
	// SpillLoad is the load, in thousandths of a target's slots, above which
	// calls begin to leave the zone; at 100 more, all of them do. A lower value
	// accepts cross-zone latency sooner; a higher value refuses more calls in
	// the zone before calls leave it. Default 800.
	SpillLoad int
	// SlowStart is the time that a new or returning target takes to reach its
	// full share of calls. A longer time gives a cold cache more time to fill
	// and delays the use of a new VM. Default 10 s.
	SlowStart time.Duration
	// EjectBase and EjectMax bound the duration of an ejection: EjectBase the
	// first time, doubled with each further ejection up to EjectMax. Longer
	// ejections expose fewer calls to a failing target, shorter ones return a
	// recovered target to use sooner. Defaults 2 s and 30 s.
	EjectBase time.Duration
	EjectMax  time.Duration
	// Probe is the minimum interval between two calls that probe an ejected
	// target. Each of these calls may fail. Default 500 ms.
	Probe time.Duration
	// Outlier is the factor by which a target's latency must exceed the median
	// of its peers for the target to count as an outlier. Default 3.
	Outlier float64
	// DrainMemory is how long a target that refused a call because it drains
	// gets no calls, even if the member list still shows it as available. It
	// should be longer than the time in which a membership update reaches all
	// nodes. Default 10 s.
	DrainMemory time.Duration
	// PickDraining allows Pick to return a draining member when no other target
	// is left. It is for members that themselves refuse, as not-run, the calls
	// that they no longer accept: during a rolling restart a draining member
	// still serves calls for a while.
	PickDraining bool
	// Start is the time at which the node started. Times are measured from it,
	// by the monotonic clock where the values have one. Zero means the Unix
	// epoch.
	Start time.Time
}

// Validate returns a *ConfigError for the first setting out of range.
func (c Config) Validate() error {
	switch {
	case c.Node == "":
		return &ConfigError{Field: "Node", Want: "an id"}
	case c.Zone == "":
		return &ConfigError{Field: "Zone", Want: "an availability zone"}
	case c.Subset < 0 || c.Subset > MaxSubset:
		return &ConfigError{Field: "Subset", Want: "0 to " + strconv.Itoa(MaxSubset)}
	case c.SpillLoad < 0:
		return &ConfigError{Field: "SpillLoad", Want: "at least 0"}
	case c.Outlier != 0 && c.Outlier <= 1:
		return &ConfigError{Field: "Outlier", Want: "more than 1"}
	case min(c.SlowStart, c.EjectBase, c.EjectMax, c.Probe, c.DrainMemory) < 0:
		return &ConfigError{Field: "SlowStart, EjectBase, EjectMax, Probe, DrainMemory", Want: "at least 0"}
	}
	return nil
}

func (c Config) withDefaults() Config {
	c.Subset = min(orDefault(c.Subset, DefaultSubset), MaxSubset)
	c.SpillLoad = orDefault(c.SpillLoad, DefaultSpillLoad)
	c.SlowStart = orDefault(c.SlowStart, DefaultSlowStart)
	c.EjectBase = orDefault(c.EjectBase, DefaultEjectBase)
	c.EjectMax = max(orDefault(c.EjectMax, DefaultEjectMax), c.EjectBase)
	c.Probe = orDefault(c.Probe, DefaultProbe)
	c.DrainMemory = orDefault(c.DrainMemory, DefaultDrainMemory)
	if c.Outlier <= 1 {
		c.Outlier = DefaultOutlier
	}
	if c.Start.IsZero() {
		c.Start = time.Unix(0, 0)
	}
	return c
}

func orDefault[T int | time.Duration](value, byDefault T) T {
	if value <= 0 {
		return byDefault
	}
	return value
}
