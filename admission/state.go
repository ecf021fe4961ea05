package admission

import (
	"time"

	"pollengauge.dev/call"
)

// AdmitLevel returns the level below which new calls are refused. 0 admits all
// calls.
func (g *Gate) AdmitLevel() call.Level {
	g.tickIfDue(g.now())
	return call.Level(g.level.Load())
}

// Pressure returns the share of requests leading to this upstream that the
// roots should refuse, in thousandths.
func (g *Gate) Pressure() int {
	g.tickIfDue(g.now())
	return int(g.pressurePerMille.Load())
}

// loadTTL is how long a computed load is reused. Every response reports the
// load, and computing it reads memory that all processors write to.
const loadTTL = time.Millisecond

// Load returns the utilization in thousandths, queued calls included: that of
// the limit, that of the slots or that of the rate set by SetRate, whichever is
// highest. The value may be a millisecond old.
func (g *Gate) Load() int {
	now := int64(g.now())
	if now < g.loadUntil.Load() {
		return int(g.load.Load())
	}
	load := g.currentLoad()
	g.load.Store(int32(load))
	g.loadUntil.Store(now + int64(loadTTL))
	return load
}

func (g *Gate) currentLoad() int {
	queued := g.queued()
	active, inflight := g.counts()
	byLimit := (active + queued) * thousand / max(int(g.limit.Load()), 1)
	bySlots := (inflight + queued) * thousand / max(int(g.slots.Load()), 1)
	return max(byLimit, bySlots, int(g.rateLoad.Load()))
}

// queued returns the number of queued calls. It takes the lock only if there
// are any.
func (g *Gate) queued() int {
	if g.word.Load()&queuedFlag == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.size
}

// SetSlots applies a newly announced number of slots. Visits in excess of a
// lower number run to their end.
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

// ReportLoad records the load that the upstream reports, where 1 means full. Reports
// may be late or wrong, so a load above 1 lowers the limit for one second, by
// half at most, and no report ever raises it.
func (g *Gate) ReportLoad(reportedLoad float64) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.setReportedLoad(reportedLoad, now)
	g.limit.Store(int32(g.limiter.effective(now)))
}

// Drain refuses all calls from now on. Visits with a ticket continue, and so do
// the calls already queued: their wait is short, and refusing them would cost
// their requests an attempt each.
func (g *Gate) Drain() { g.draining.Store(true) }

// RefuseQueued refuses the calls that are queued, with call.ReasonDraining. After Drain no
// further call is queued.
func (g *Gate) RefuseQueued() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := g.queue.leastImportant(); w != nil; w = g.queue.leastImportant() {
		g.queue.remove(w)
		g.resolve(w, call.ReasonDraining, now)
	}
	g.clearQueuedFlag()
}

// Undrain admits calls again after Drain.
func (g *Gate) Undrain() { g.draining.Store(false) }

// InFlight returns the number of visits that hold a ticket, including blocked
// ones.
func (g *Gate) InFlight() int {
	_, inflight := g.counts()
	return inflight
}
