package control

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"pollengauge.dev/bench/internal/check"
)

// Phase is one part of a run.
type Phase string

// The phases, in the order in which they run.
const (
	// Start starts the nodes in waves, until each knows all.
	Start Phase = "start"
	// Steady is a window in which nothing happens.
	Steady Phase = "steady"
	// Change applies a configuration, until it is in force on all.
	Change Phase = "change"
	// Late is a Change that the platform's watches deliver late.
	Late Phase = "late"
	// Outage is a Change with a platform that goes down as soon as one node
	// has heard of it.
	Outage Phase = "outage"
	// Drain drains one node, until all know it.
	Drain Phase = "drain"
	// Kill ends one node without a word, until all take it for dead.
	Kill Phase = "kill"
	// Restart replaces nodes at once (48 at the design size), until all know
	// the new ones and that the old ones are gone.
	Restart Phase = "restart"
	// Cut parts one availability zone from the others, until each side has
	// taken the other for dead.
	Cut Phase = "cut"
	// Heal ends the cut, until all know all again.
	Heal Phase = "heal"
)

// Phases lists all of them. Start always runs; Heal runs with Cut.
var Phases = []Phase{Start, Steady, Change, Late, Outage, Drain, Kill, Restart, Cut, Heal}

// Config is one run.
type Config struct {
	// Sizes are the fleets, in members. More members need more memory and
	// open files of this one process; see filesPerMember.
	Sizes []int
	// Phases are the parts to run. Start and Steady are always run.
	Phases []Phase
	// Wave is how many nodes are started at once; the next ones wait until all
	// know these. Many nodes that start at once in one process want more than
	// its processors have, and then take each other for dead.
	Wave int
	// Settle is the pause before the steady window, so that what the start
	// left over doesn't count. Longer than the membership's sync interval.
	Settle time.Duration
	// Window is the steady window. It should hold several sync intervals.
	Window time.Duration
	// Tail is how long a phase is measured on after its end, since news are
	// still told when everybody has them.
	Tail time.Duration
	// Hold is how long a cut lasts after both sides have noticed it.
	Hold time.Duration
	// Late is how late watches deliver in the phase of that name.
	Late time.Duration
	// InMemory replaces TCP between nodes by connections in memory, which
	// need no open files. The CPU time then lacks the system's part.
	InMemory bool
	// Others is the number of members in other processes, and Join how to
	// find them. Times are then those until the members in here know, and the
	// platform's calls aren't seen; Late, Outage, Cut and Heal are left out.
	Others int
	Join   Join
	// Limit ends a phase that does not come to its end; it counts as failed.
	Limit time.Duration
}

// DefaultConfig returns a run over sizes that one process holds on TCP. The
// design's size needs more files and one shared collector for 10 GB.
func DefaultConfig() Config {
	return Config{
		Sizes:  []int{10, 40, 160},
		Phases: slices.Clone(Phases),
		Wave:   20,
		Settle: 12 * time.Second,
		Window: 20 * time.Second,
		Tail:   2 * time.Second,
		Hold:   5 * time.Second,
		Late:   3 * time.Second,
		Limit:  40 * time.Second,
	}
}

// Join names a fleet of another process: a gossip address and the platform.
type Join struct{ Gossip, Platform string }

const (
	// DesignSize is the number of nodes that the project designs for.
	DesignSize = 560
	// designRestarts are the nodes restarted or replaced on an ordinary day,
	// here all at once.
	designRestarts = 48
	minSize        = 3
	maxSize        = 600
	maxDuration    = 10 * time.Minute
)

// FieldError and ConfigError tell of fields that can't be used.
type (
	FieldError  = check.FieldError
	ConfigError = check.ConfigError
)

// Check returns a *ConfigError that lists every wrong field, or nil.
func (c Config) Check() error {
	problems := &ConfigError{}
	if len(c.Sizes) == 0 {
		problems.Add("sizes", "", "at least one")
	}
	for _, size := range c.Sizes {
		problems.Number("sizes", size, minSize, maxSize)
	}
	for _, phase := range c.Phases {
		if !slices.Contains(Phases, phase) {
			problems.Add("phases", string(phase), "one of "+phaseNames())
		}
	}
	if c.Wave < 1 {
		problems.Add("wave", strconv.Itoa(c.Wave), "at least 1")
	}
	problems.Number("others", c.Others, 0, maxSize)
	if c.Others > 0 && (c.Join.Gossip == "" || c.Join.Platform == "") {
		problems.Add("join", c.Join.Gossip, "gossip address and platform of the others")
	}
	c.durations(problems)
	return problems.Result()
}

func (c Config) durations(problems *ConfigError) {
	between := func(field string, value, low time.Duration) {
		if value < low || value > maxDuration {
			problems.Add(field, value.String(), low.String()+" to "+maxDuration.String())
		}
	}
	between("settle", c.Settle, 0)
	between("window", c.Window, 100*time.Millisecond)
	between("tail", c.Tail, 0)
	between("hold", c.Hold, 0)
	between("late", c.Late, 0)
	between("limit", c.Limit, time.Second)
}

func phaseNames() string {
	names := make([]string, len(Phases))
	for i, phase := range Phases {
		names[i] = string(phase)
	}
	return strings.Join(names, ", ")
}

// FleetError means that the fleet could not be started or changed.
type FleetError struct {
	// Step is what was being done.
	Step  string
	Cause error
}

// Error implements error.
func (e *FleetError) Error() string { return "fleet: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FleetError) Unwrap() error { return e.Cause }
