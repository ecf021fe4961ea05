package routing

import (
	"strconv"
	"time"
)

// Defaults of a Config, in the units of its fields.
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

// MaxSubset is the most targets of one service that a node may use: the
// choice keeps a bit for each in one word.
const MaxSubset = 64

// Config sets a Router. Zero fields get the default.
type Config struct {
	// Node is the id of this node. It decides which share of a large service
	// the node uses, so it must differ between nodes.
	Node string
	// Zone and Region are where this node runs.
	Zone   string
	Region string
	// Subset is how many targets of one service the node uses. More balance
	// the load better and survive more failures; each costs connections on
	// both sides. Half are of the node's own zone, the rest is dealt over the
	// other zones of the region. Default 12, at most MaxSubset.
	Subset int
	// SpillLoad is the load, in thousandths of a target's slots, from which
	// calls begin to leave the zone; 100 above it all do. Lower spends
	// cross-zone latency sooner; higher refuses more in the zone before calls
	// leave it. Default 800.
	SpillLoad int
	// SlowStart is how long a new or returning target takes to get its full
	// share. Longer is kinder to a cold cache and slower to use a new VM.
	// Default 10 s.
	SlowStart time.Duration
	// EjectBase and EjectMax bound how long a target is left out: the base
	// the first time, doubled each time it fails again. Long ones spare more
	// calls, short ones bring a healed target back sooner. Defaults 2 s, 30 s.
	EjectBase time.Duration
	EjectMax  time.Duration
	// Probe is the least time between two calls that are sent to a target
	// while it is left out. Each may fail. Default 500 ms.
	Probe time.Duration
	// Outlier is how many times the median latency of its peers makes a
	// target an outlier. Default 3.
	Outlier float64
	// DrainMemory is how long a refusal for draining keeps a target out
	// although the members still list it. It should outlast the time that
	// news takes to spread. Default 10 s.
	DrainMemory time.Duration
	// LastResort has a draining member picked where no other is left. It is for
	// members that refuse by themselves, as not run, what they no longer take:
	// one that restarts in turn with its peers still serves for a while.
	LastResort bool
	// Start is the time at which the node started. Times are measured from
	// it, by the monotonic clock where the values have one. Zero means the
	// Unix epoch.
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
