package upstream

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// faults holds the faults that are injected into an upstream's work.
type faults struct {
	// slowBits is the factor on service times, as IEEE 754 bits.
	slowBits atomic.Uint64

	mu sync.Mutex
	// thawed is closed when the freeze ends; nil while not frozen.
	thawed chan struct{}
}

func (f *faults) setSlow(factor float64) { f.slowBits.Store(math.Float64bits(factor)) }

func (f *faults) slowFactor() float64 { return math.Float64frombits(f.slowBits.Load()) }

// awaitThaw waits while the upstream is frozen. It returns false if ctx ended
// because the caller disconnected.
func (f *faults) awaitThaw(ctx context.Context) bool {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	if thawed == nil {
		return ctx.Err() == nil
	}
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetSlow multiplies all service times drawn from now on by factor; 1 is
// normal.
func (u *Server) SetSlow(factor float64) { u.faults.setSlow(factor) }

// Freeze stops all work, as a paused VM would, until Thaw.
func (u *Server) Freeze() {
	u.faults.mu.Lock()
	defer u.faults.mu.Unlock()
	if u.faults.thawed == nil {
		u.faults.thawed = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (u *Server) Thaw() {
	u.faults.mu.Lock()
	defer u.faults.mu.Unlock()
	if u.faults.thawed != nil {
		close(u.faults.thawed)
		u.faults.thawed = nil
	}
}

// Reporting defines how an upstream's reports deviate from its real load and
// health.
type Reporting struct {
	// Lag is the maximum age of the reported load.
	Lag time.Duration
	// Factor multiplies the load: 1 reports the real load, 0 reports none.
	Factor float64
	// Unhealthy makes the health endpoint report a failure although the
	// upstream works.
	Unhealthy bool
}

type reports struct {
	mu        sync.Mutex
	set       bool
	reporting Reporting
	taken     time.Time
	current   float64
}

// SetReporting sets how the health and load endpoints deviate from the truth.
func (u *Server) SetReporting(r Reporting) {
	u.reports.mu.Lock()
	defer u.reports.mu.Unlock()
	u.reports.set = true
	u.reports.reporting = r
}

func (r *reports) healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.reporting.Unhealthy
}

// report returns the load to report at now, given the real load.
func (r *reports) report(load float64, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.set {
		return load
	}
	if now.Sub(r.taken) >= r.reporting.Lag {
		r.taken = now
		r.current = load
	}
	return r.current * r.reporting.Factor
}
