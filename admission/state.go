package admission

import (
	"time"

	"pollengauge.dev/call"
)

// AdmitLevel is the level below which new calls are refused; 0 takes all.
func (g *Gate) AdmitLevel() call.Level {
	g.tickIfDue(g.now())
	return call.Level(g.level.Load())
}

// Pressure is the share of the requests leading here that should not begin, in
// thousandths.
func (g *Gate) Pressure() int {
	g.tickIfDue(g.now())
	return int(g.pressed.Load())
}

// loadLife is how long a computed load is given out. Every answer reports it,
// and to compute it reads what all processors write.
const loadLife = time.Millisecond

// Load is the use of the limit, or of the slots if they are nearer their end,
// queued calls included, in thousandths. It may be a millisecond old.
func (g *Gate) Load() int {
	now := int64(g.now())
	if now < g.loadUntil.Load() {
		return int(g.load.Load())
	}
	load := g.currentLoad()
	g.load.Store(int32(load))
	g.loadUntil.Store(now + int64(loadLife))
	return load
}

func (g *Gate) currentLoad() int {
	queued := g.queued()
	active, inflight := g.counts()
	byLimit := (active + queued) * thousand / max(int(g.limit.Load()), 1)
	bySlots := (inflight + queued) * thousand / max(int(g.slots.Load()), 1)
	return max(byLimit, bySlots)
}

// queued is how many calls wait. The lock is taken only while some do.
func (g *Gate) queued() int {
	if g.word.Load()&queuedFlag == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.size
}

// SetSlots takes a newly announced number of slots. Visits over a smaller
// number run to their end.
func (g *Gate) SetSlots(n int) {
	n = min(max(n, 0), maxSlots)
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.setSlots(n, now)
	g.slots.Store(int32(n))
	g.limit.Store(int32(g.limiter.effective(now)))
	g.dispatch(now)
}

// Hint takes the load that the upstream reports, where 1 is full. Reports lag
// or mislead: one over 1 lowers the limit for a second, by half at most, and
// nothing reported ever raises it.
func (g *Gate) Hint(reportedLoad float64) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.setHint(reportedLoad, now)
	g.limit.Store(int32(g.limiter.effective(now)))
}

// Drain refuses every call that comes from now on. Visits that hold a ticket
// go on, and so do calls already queued: their wait is short, and refusing
// them would cost their requests an attempt each.
func (g *Gate) Drain() { g.draining.Store(true) }

// Undrain takes calls again.
func (g *Gate) Undrain() { g.draining.Store(false) }

// InFlight is how many visits hold a ticket, blocked ones included.
func (g *Gate) InFlight() int {
	_, inflight := g.counts()
	return inflight
}
