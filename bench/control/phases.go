package control

import (
	"context"
	"math"
	"strconv"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// runner runs the phases on one fleet.
type runner struct {
	*fleet
	cfg     Config
	size    int
	version uint64
}

// total is the number of members, those of other processes included.
func (r *runner) total() int { return r.size + r.cfg.Others }

// phase measures run, which returns how long the phase took and whether it
// came to its end.
func (r *runner) phase(ctx context.Context, name Phase, run func() (time.Duration, bool, error)) (PhaseResult, error) {
	stop := r.observe(ctx)
	took, reached, err := run()
	if err == nil {
		err = rest(ctx, r.cfg.Tail)
	}
	usage := usageOf(stop(), r.size)
	return PhaseResult{Phase: name, Took: took, Reached: reached, Usage: usage}, err
}

// steady measures a window in which nothing happens.
func (r *runner) steady(ctx context.Context) (PhaseResult, error) {
	if err := rest(ctx, r.cfg.Settle); err != nil {
		return PhaseResult{}, err
	}
	stop := r.observe(ctx)
	err := rest(ctx, r.cfg.Window)
	return PhaseResult{Phase: Steady, Took: r.cfg.Window, Reached: err == nil, Usage: usageOf(stop(), r.size)}, err
}

func rest(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return &FleetError{Step: "wait", Cause: ctx.Err()}
	case <-time.After(d):
		return nil
	}
}

// step runs one phase after the start.
func (r *runner) step(ctx context.Context, name Phase) (PhaseResult, error) {
	run := map[Phase]func(context.Context) (time.Duration, bool, error){
		Change:  r.change,
		Late:    r.late,
		Outage:  r.outage,
		Drain:   r.drain,
		Kill:    r.kill,
		Restart: r.restart,
		Cut:     r.cut,
		Heal:    r.heal,
	}[name]
	return r.phase(ctx, name, func() (time.Duration, bool, error) { return run(ctx) })
}

// change applies a configuration and waits until it is in force on all. The
// time is taken from before the change is sent.
func (r *runner) change(ctx context.Context) (time.Duration, bool, error) {
	return r.changed(ctx, func(uint64) {})
}

// late has the platform's watches deliver the change late.
func (r *runner) late(ctx context.Context) (time.Duration, bool, error) {
	r.store.SetFaults(standin.Faults{LateNext: 1, LateMillis: int(r.cfg.Late.Milliseconds())})
	defer r.store.SetFaults(standin.Faults{})
	return r.changed(ctx, func(uint64) {})
}

// outage takes the platform down as soon as one node has the change. When it
// went down right after it had accepted the change, it depended on chance
// whether any watch had been answered, and else no node can have it.
func (r *runner) outage(ctx context.Context) (time.Duration, bool, error) {
	defer r.store.SetFaults(standin.Faults{})
	return r.changed(ctx, func(version uint64) {
		r.awaitOne(ctx, r.cfg.Limit, func(m *member) bool { return m.ConfigVersion() >= version })
		r.store.SetFaults(standin.Faults{Down: true})
	})
}

func (r *runner) changed(ctx context.Context, accepted func(version uint64)) (time.Duration, bool, error) {
	begin := time.Now()
	result, err := config.Apply(ctx, r.client, designSet(r.version), config.ApplyOptions{ExpectVersion: r.version, Now: begin})
	if err != nil {
		return 0, false, &FleetError{Step: "apply", Cause: err}
	}
	accepted(result.Version)
	r.version = result.Version
	took, reached := r.await(ctx, begin, r.cfg.Limit, func(m *member) bool { return m.ConfigVersion() >= result.Version })
	return took, reached, nil
}

// drain drains one node until all know it, and takes it back.
func (r *runner) drain(ctx context.Context) (time.Duration, bool, error) {
	drained := r.members[0]
	begin := time.Now()
	drained.SetDraining(true)
	defer drained.SetDraining(false)
	took, reached := r.await(ctx, begin, r.cfg.Limit, func(m *member) bool {
		seen, _, known := m.Member(drained.ID())
		return known && seen.Draining
	})
	return took, reached, nil
}

// kill ends one node without a word. Another takes its place afterwards.
func (r *runner) kill(ctx context.Context) (time.Duration, bool, error) {
	victims := r.take(1)
	begin := time.Now()
	r.fleet.kill(victims[0])
	took, reached := r.await(ctx, begin, r.cfg.Limit, holds(membership.Dead, idsOf(victims)...))
	if err := r.start(ctx, 1); err != nil {
		return 0, false, err
	}
	r.await(ctx, time.Now(), r.cfg.Limit, sees(r.total()))
	return took, reached, nil
}

// restart replaces as large a part of the fleet as on an ordinary day, at once.
func (r *runner) restart(ctx context.Context) (time.Duration, bool, error) {
	count := restarts(r.total())
	begin := time.Now()
	old := r.take(count)
	leave(ctx, old)
	if err := r.start(ctx, count); err != nil {
		return 0, false, err
	}
	fresh := r.members[len(r.members)-count:]
	known := both(sees(r.total()), holds(membership.Alive, idsOf(fresh)...))
	took, reached := r.await(ctx, begin, r.cfg.Limit, known)
	return took, reached, nil
}

// restarts keeps to the design's share of the fleet.
func restarts(size int) int {
	return max(1, int(math.Round(designRestarts*float64(size)/DesignSize)))
}

// cut parts a zone until both sides have noticed, and then some time more.
func (r *runner) cut(ctx context.Context) (time.Duration, bool, error) {
	inside := 0
	for _, m := range r.members {
		if m.host.zone == cutZone {
			inside++
		}
	}
	begin := time.Now()
	r.fabric.part(cutZone)
	took, reached := r.await(ctx, begin, r.cfg.Limit, func(m *member) bool {
		if m.host.zone == cutZone {
			return sees(inside)(m)
		}
		return sees(r.size - inside)(m)
	})
	return took, reached, rest(ctx, r.cfg.Hold)
}

func (r *runner) heal(ctx context.Context) (time.Duration, bool, error) {
	begin := time.Now()
	r.fabric.part("")
	took, reached := r.await(ctx, begin, r.cfg.Limit, sees(r.size))
	return took, reached, nil
}

// designSet is a configuration as large as that of 25 services, each with two
// assignments.
func designSet(version uint64) config.Set {
	set := config.Default()
	set.Comment = "change after version " + strconv.FormatUint(version, 10)
	for i := range services {
		name := "service-" + strconv.Itoa(i)
		set.Assignments = append(set.Assignments,
			config.Assignment{Service: name, PathPrefix: "/browse", Profile: config.DefaultProfileName},
			config.Assignment{Service: name, Method: "POST", PathPrefix: "/file", Profile: "default-write"})
	}
	return set
}

// callsOf sums the platform's reads and writes.
func callsOf(calls map[objects.Op]uint64) (reads, writes uint64) {
	for op, count := range calls {
		if op.Writes() {
			writes += count
		} else {
			reads += count
		}
	}
	return reads, writes
}
