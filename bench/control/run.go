package control

import (
	"context"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"pollengauge.dev/bench/internal/machine"
	"pollengauge.dev/observe"
)

// Run measures all sizes, one after the other. A wrong Config is a
// *ConfigError, a fleet that can't be run a *FleetError.
func Run(ctx context.Context, cfg Config) (Result, error) {
	if err := cfg.Check(); err != nil {
		return Result{}, err
	}
	defer spaceCollections()()
	result := Result{CPUs: runtime.NumCPU(), GoVersion: runtime.Version()}
	// The lines are fitted through what there is, also after an error.
	finish := func(err error) (Result, error) {
		result.Fits = FitAll(Medians(result.Sizes))
		return result, err
	}
	for _, size := range cfg.Sizes {
		if err := cfg.room(size); err != nil {
			return finish(err)
		}
		measured, err := runSize(ctx, cfg, size)
		if err != nil {
			return finish(err)
		}
		result.Sizes = append(result.Sizes, measured)
	}
	return finish(nil)
}

func runSize(ctx context.Context, cfg Config, size int) (SizeResult, error) {
	debug.FreeOSMemory() // what the size before left
	result := SizeResult{Members: size, LoadBefore: machine.LoadAverage()}
	fleet, err := newFleet(cfg)
	if err != nil {
		return result, err
	}
	defer fleet.close()
	r := &runner{fleet: fleet, cfg: cfg, size: size}
	add := func(phase PhaseResult, err error) error {
		result.Phases = append(result.Phases, phase)
		return err
	}
	if err := add(r.phase(ctx, Start, func() (time.Duration, bool, error) { return r.begin(ctx) })); err != nil {
		return result, err
	}
	if !result.Phases[0].Reached {
		// The nodes that are missing would bend each figure of one node.
		return result, nil
	}
	if err := add(r.steady(ctx)); err != nil {
		return result, err
	}
	result.weigh(fleet)
	for _, name := range Phases {
		if !cfg.runs(name) {
			continue
		}
		if err := add(r.step(ctx, name)); err != nil {
			return result, err
		}
	}
	result.LoadAfter = machine.LoadAverage()
	return result, nil
}

// waveRest is the pause between two waves of a start.
const waveRest = 500 * time.Millisecond

// begin starts all nodes, wave by wave.
func (r *runner) begin(ctx context.Context) (time.Duration, bool, error) {
	begin := time.Now()
	for len(r.members) < r.size {
		if err := roomInMemory(); err != nil {
			return 0, false, err
		}
		if err := r.start(ctx, min(r.cfg.Wave, r.size-len(r.members))); err != nil {
			return 0, false, err
		}
		known := len(r.members) + r.cfg.Others
		_, reached := r.await(ctx, time.Now(), r.cfg.Limit, sees(known))
		if !reached {
			return time.Since(begin), false, nil
		}
		if err := rest(ctx, waveRest); err != nil {
			return 0, false, err
		}
	}
	return time.Since(begin), true, nil
}

// aloneOnly are the phases that need all members, or the platform, in here.
var aloneOnly = []Phase{Late, Outage, Cut, Heal}

// runs tells whether a phase after the steady window was asked for.
func (c Config) runs(name Phase) bool {
	switch {
	case name == Start, name == Steady:
		return false
	case c.Others > 0 && slices.Contains(aloneOnly, name):
		return false
	case name == Heal:
		return slices.Contains(c.Phases, Cut)
	default:
		return slices.Contains(c.Phases, name)
	}
}

// weigh reads what the fleet holds.
func (s *SizeResult) weigh(f *fleet) {
	if used, err := observe.ReadProcessUsage(); err == nil {
		s.Resident = used.ResidentBytes
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s.HeapInUse = int64(memory.HeapInuse)
	s.Goroutines = runtime.NumGoroutine()
	s.Connections = f.fabric.connections()
	s.OpenFiles = openFiles()
}

// Fleet is a fleet that stands still.
type Fleet struct {
	// Gossip is a gossip address to join, Platform the platform's URL.
	Gossip, Platform string
	fleet            *fleet
	restore          func()
}

// Hold starts a fleet of the first size and returns once each node knows all,
// or the limit is over. Close it afterwards.
func Hold(ctx context.Context, cfg Config) (*Fleet, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if err := cfg.room(cfg.Sizes[0]); err != nil {
		return nil, err
	}
	f, err := newFleet(cfg)
	if err != nil {
		return nil, err
	}
	restore := spaceCollections()
	r := &runner{fleet: f, cfg: cfg, size: cfg.Sizes[0]}
	_, reached, err := r.begin(ctx)
	if err == nil && !reached {
		err = &FleetError{Step: "start", Cause: &NotKnownError{Members: len(f.members)}}
	}
	if err != nil {
		f.close()
		restore()
		return nil, err
	}
	held := &Fleet{Gossip: f.members[0].Addr("gossip"), Platform: f.store.url, fleet: f, restore: restore}
	if cfg.Join.Platform != "" {
		held.Platform = cfg.Join.Platform
	}
	return held, nil
}

// NotKnownError means that nodes that were started did not come to know all.
type NotKnownError struct {
	// Members were started until then.
	Members int
}

// Error implements error.
func (e *NotKnownError) Error() string {
	return "not every one of " + strconv.Itoa(e.Members) + " nodes came to know all"
}

// Members returns how many members a node of the fleet knows, itself included.
func (f *Fleet) Members() int { return f.fleet.members[0].GossipStats().Alive }

// Close ends all nodes.
func (f *Fleet) Close() {
	f.fleet.close()
	f.restore()
}
