package hop

import (
	"context"
	"sync"
	"time"

	"pollengauge.dev/bench/internal/machine"
)

// Run builds two nodes with their upstreams on loopback and measures. The
// error is a *ConfigError or a *SetupError; calls that fail are counted in the
// Result.
func Run(ctx context.Context, cfg Config) (Result, error) {
	if err := cfg.Check(); err != nil {
		return Result{}, err
	}
	r, err := newRig(ctx, cfg.Body)
	if err != nil {
		return Result{}, err
	}
	defer r.close()
	m := &measurement{cfg: cfg, rig: r}
	before := machine.LoadAverage()
	if err := r.inVisits(ctx, m.run); err != nil {
		return Result{}, err
	}
	result := m.result()
	result.Machine.LoadBefore = before
	result.Machine.LoadAfter = machine.LoadAverage()
	return result, nil
}

// The ways to make a call.
const (
	direct = iota
	plain
	through
	ways
)

// measurement collects the slices of a run.
type measurement struct {
	cfg    Config
	rig    *rig
	addr   [ways]string
	slices [ways][]slice
	cold   [ways]slice
}

// slice is a number of calls made one way.
type slice struct {
	latency []time.Duration
	// late is how long after its intended time a call was begun.
	late     []time.Duration
	cost     Cost
	writes   int64
	dials    int64
	failures []Failure
}

// newSlice makes room before the clock runs.
func newSlice(calls int) slice {
	return slice{latency: make([]time.Duration, 0, calls), late: make([]time.Duration, 0, calls)}
}

// run makes the warm-up, the rounds of slices and the calls on new
// connections. Each round begins with another way.
func (m *measurement) run(v *visits) {
	m.addr = [ways]string{direct: m.rig.deepVM, plain: m.rig.plainAddr, through: m.rig.through()}
	for _, addr := range m.addr {
		m.slice(v, addr)
	}
	for round := range m.cfg.Repeats {
		if v.ctx.Err() != nil {
			return
		}
		for i := range m.addr {
			way := (round + i) % ways
			m.slices[way] = append(m.slices[way], m.slice(v, m.addr[way]))
		}
	}
	for way, addr := range m.addr {
		m.cold[way] = m.coldCalls(v, addr)
	}
}

// slice makes Calls calls to addr at the fixed rate. A call starts at its
// intended time however many are still out.
func (m *measurement) slice(v *visits, addr string) slice {
	s := newSlice(m.cfg.Calls)
	var mu sync.Mutex
	var done sync.WaitGroup
	writes, dials := m.rig.network.writes.Load(), m.rig.network.dials.Load()
	before := readUsage()
	start := time.Now()
	for i := range m.cfg.Calls {
		intended := start.Add(time.Duration(i) * time.Second / time.Duration(m.cfg.Rate))
		sleepUntil(intended)
		s.late = append(s.late, time.Since(intended))
		visit := v.next()
		done.Go(func() {
			failure := m.rig.callOnce(visit, addr)
			took := time.Since(intended)
			mu.Lock()
			defer mu.Unlock()
			s.add(took, failure)
		})
	}
	done.Wait()
	s.cost = costOf(before, readUsage(), m.cfg.Calls)
	s.writes = m.rig.network.writes.Load() - writes
	s.dials = m.rig.network.dials.Load() - dials
	return s
}

// coldCalls makes calls one after the other, each on new connections only.
func (m *measurement) coldCalls(v *visits, addr string) slice {
	s := newSlice(m.cfg.Cold)
	for range m.cfg.Cold {
		if v.ctx.Err() != nil {
			break
		}
		m.rig.dropConnections()
		start := time.Now()
		failure := m.rig.callOnce(v.next(), addr)
		s.add(time.Since(start), failure)
	}
	return s
}

func (s *slice) add(took time.Duration, failure string) {
	s.latency = append(s.latency, took)
	if failure != "" {
		s.failures = addFailure(s.failures, failure, 1)
	}
}
