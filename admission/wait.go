package admission

import (
	"context"
	"time"

	"pollengauge.dev/call"
)

const (
	// minTimerDuration is the shortest duration passed to time.NewTimer. Under
	// testing/synctest, a timer that has already expired when it is created
	// runs on the thread of its creator, and two such timers at the same time
	// share one context of the race detector, which crashes the tests.
	minTimerDuration = time.Nanosecond
)

// acquireQueued implements Acquire for a call that found no free capacity.
func (g *Gate) acquireQueued(ctx context.Context, r Request, v *visit, p *profileStats, now time.Duration) (Ticket, error) {
	g.mu.Lock()
	shard := &g.shards[v.shard]
	if g.draining.Load() {
		// The gate was closed since precheck, and its queue may have been cleared.
		g.mu.Unlock()
		g.visits.Put(v)
		return Ticket{}, g.refuse(shard, call.ReasonDraining, r, 0)
	}
	g.reclaimReserves()
	if g.queue.size == 0 && g.takeQueuedCapacity(now) {
		g.mu.Unlock()
		shard.admitted.Add(1)
		return v.begin(p, now, 0), nil
	}
	if g.rate.untilDue(now) == 0 {
		g.window.capacityExhausted = true
	}
	w, refused := g.enqueue(ctx, r, p, now)
	g.reclaimReserves()
	g.dispatch(now)
	g.mu.Unlock()
	if w != nil {
		g.await(ctx, w, now)
		refused = w.refused
		g.recycle(w)
	}
	end := g.now()
	if refused.reason != call.ReasonNone {
		g.visits.Put(v)
		return Ticket{}, g.refuse(shard, refused.reason, r, refused.expectedWait)
	}
	shard.admitted.Add(1)
	return v.begin(p, end, end-now), nil
}

// queueRefusal is the reason for which the queue refused a call, ReasonNone if it did
// not, and the time in which the calls ahead of it are dispatched.
type queueRefusal struct {
	reason       call.Reason
	expectedWait time.Duration
}

// enqueue queues the call, or returns nil and why queueing it would be useless.
// The gate's lock is held.
func (g *Gate) enqueue(ctx context.Context, r Request, p *profileStats, now time.Duration) (*waiter, queueRefusal) {
	maxWait := g.config.queueWaitLimit(r.Preference)
	g.window.preferenceSum += r.Preference
	g.window.preferenceCount++
	switch {
	case r.IgnoreMaxQueueWait && r.MaxWait > 0:
		maxWait = r.MaxWait
	case r.MaxWait != 0:
		maxWait = min(maxWait, max(r.MaxWait, 0))
	}
	reason, expiryReason := call.ReasonQueueWait, call.ReasonQueueWait
	work := p.longWork()
	if !r.Deadline.IsZero() {
		share := queueShare(r.Deadline.Sub(g.epoch)-now, work, r.Upstreams)
		maxWait = min(maxWait, share)
		// Once no time is left beside the work, no other upstream can finish the call in
		// time either.
		if share <= 0 {
			reason = call.ReasonDeadline
		}
		if maxWait == share && r.Upstreams <= 1 {
			expiryReason = call.ReasonDeadline
		}
	}
	if g.rate.limited {
		// Another upstream may have no such limit, so the call is not refused for good.
		reason, expiryReason = call.ReasonUpstreamLimit, call.ReasonUpstreamLimit
	}
	c := classOf(r)
	expectedWait := g.expectedWait(c, now)
	if expectedWait >= maxWait {
		g.window.queueRefused++
		return nil, queueRefusal{reason, expectedWait}
	}
	w := g.newWaiter()
	w.class = c
	w.queuedAt = now
	w.expires = now + maxWait
	w.latestStart = g.latestStart(r, work)
	w.expiryReason = expiryReason
	w.ctx = ctx
	evicted, ok := g.queue.push(w)
	if !ok {
		g.window.queueRefused++
		g.waiters = append(g.waiters, w)
		return nil, queueRefusal{call.ReasonQueueFull, expectedWait}
	}
	if evicted != nil {
		g.resolve(evicted, call.ReasonQueueFull, now)
	}
	g.word.Or(queuedFlag)
	return w, queueRefusal{}
}

// expectedWait estimates how long a new call of class c has to wait for the
// calls that are dispatched before it.
//
// If the limit is fixed (SlotShare), the order within a group counts as well,
// so that a call which would wait too long is refused on arrival. With a
// learned limit the spacing of visits is too inaccurate for this: calls were
// refused that would have been dispatched in time.
//
// Under a rate, calls are dispatched no faster than that.
func (g *Gate) expectedWait(c class, now time.Duration) time.Duration {
	ahead := g.queue.countAhead(c, g.config.SlotShare > 0)
	if g.rate.limited {
		spacing := max(g.window.spacing, g.rate.spacing())
		return g.rate.untilDue(now) + time.Duration(float64(ahead)*spacing)
	}
	return time.Duration(float64(ahead) * g.window.spacing)
}

// await returns when w has left the queue.
func (g *Gate) await(ctx context.Context, w *waiter, now time.Duration) {
	timer := time.NewTimer(max(w.expires-now, minTimerDuration))
	defer timer.Stop()
	select {
	case <-w.done:
		return
	case <-ctx.Done():
		g.abandon(w, call.ReasonCancelled)
	case <-timer.C:
		g.abandon(w, w.expiryReason)
	}
	<-w.done
}

// abandon refuses w, unless w has already been dispatched or refused.
func (g *Gate) abandon(w *waiter, reason call.Reason) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.queued {
		return
	}
	g.queue.remove(w)
	g.resolve(w, reason, now)
	g.clearQueuedFlag()
}

// dispatch admits queued calls while there is free capacity. The gate's lock is
// held.
func (g *Gate) dispatch(now time.Duration) {
	// In an overload not all calls can start in time. Those that have waited longest
	// would each take the place of one that could still be finished.
	latestFirst := g.levelController.calmWindows == 0
	for {
		w := g.queue.mostImportant(latestFirst)
		if w == nil {
			break
		}
		if reason := w.wasteReason(now); reason != call.ReasonNone {
			g.queue.remove(w)
			g.resolve(w, reason, now)
			continue
		}
		if !g.takeQueuedCapacity(now) {
			if due := g.rate.untilDue(now); due > 0 {
				g.dispatchLater(due)
			}
			break
		}
		g.queue.remove(w)
		g.resolve(w, call.ReasonNone, now)
	}
	g.clearQueuedFlag()
}

// clearQueuedFlag clears queuedFlag if the queue is empty, so that new calls no
// longer take the lock. The gate's lock is held.
func (g *Gate) clearQueuedFlag() {
	if g.queue.size == 0 {
		g.word.And(^queuedFlag)
	}
}

// resolve notifies a waiter that has been removed from the queue; reason is
// ReasonNone if it was dispatched. The gate's lock is held.
func (g *Gate) resolve(w *waiter, reason call.Reason, now time.Duration) {
	g.window.waitSum += now - w.queuedAt
	g.window.waitCount++
	if reason == call.ReasonQueueFull || reason == w.expiryReason {
		g.window.queueRefused++
	}
	w.refused = queueRefusal{reason: reason}
	if reason != call.ReasonNone {
		w.refused.expectedWait = g.expectedWait(w.class, now)
	}
	w.done <- struct{}{}
}

// wasteReason returns the reason why running w would be wasted work, or ReasonNone.
func (w *waiter) wasteReason(now time.Duration) call.Reason {
	if w.ctx.Err() != nil {
		return call.ReasonCancelled
	}
	if now >= w.expires {
		return w.expiryReason
	}
	return call.ReasonNone
}

// newWaiter returns an unused waiter from the free list, or a new one. The
// gate's lock is held.
func (g *Gate) newWaiter() *waiter {
	if n := len(g.waiters); n > 0 {
		w := g.waiters[n-1]
		g.waiters = g.waiters[:n-1]
		return w
	}
	return &waiter{done: make(chan struct{}, 1)}
}

// recycle returns a resolved waiter to the free list.
func (g *Gate) recycle(w *waiter) {
	w.ctx = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiters) < g.queue.limit {
		g.waiters = append(g.waiters, w)
	}
}
