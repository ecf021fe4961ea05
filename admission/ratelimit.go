package admission

import (
	"math"
	"time"
)

// Parameters of a rateLimit.
const (
	// rateBurstTime is the time for which unused dispatches are kept for a burst. It
	// evens out random arrivals, and keeps the sum over any second close to the rate.
	rateBurstTime = 250 * time.Millisecond
	// minRateBurst lets a dispatch become due however low the rate is.
	minRateBurst = 1
	// minRate is the lowest rate of dispatches, in calls a second: only the responses
	// to calls show that the upstream takes more again.
	minRate = 0.5
	// maxRate bounds rates that limit nothing, so that they can't overflow.
	maxRate = 1e9
	// rateLoadWeight is the weight of one pressure window in the load of the rate.
	rateLoadWeight = 0.3
)

// rateLimit paces dispatches to an upstream that takes a limited number of calls a second.
// It is pure: time is passed in as an offset from the gate's creation. The caller must hold
// the gate's lock.
//
// Load pattern: an upstream responds as fast as ever, has free slots, and states that it
// takes only a few calls a second. Limits on concurrency don't notice that. Within any time
// T at most rate × T + burst calls are dispatched, so the sum holds whichever nodes they
// come from, and a node that restarts adds one call at the most: a new rateLimit starts
// without a burst.
type rateLimit struct {
	limited bool
	// rate is in calls a second.
	rate float64
	// tokens is the number of dispatches that are due, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
	// load is the smoothed number of calls that arrive, as a share of the rate.
	load float64
}

// set changes the rate to perSecond.
func (l *rateLimit) set(perSecond float64, now time.Duration) {
	rate := min(max(perSecond, minRate), maxRate)
	if !l.limited {
		*l = rateLimit{limited: true, rate: rate, tokens: minRateBurst, refilledAt: now}
		return
	}
	l.refill(now)
	l.rate = rate
	l.tokens = min(l.tokens, l.burst())
}

// clear ends the limit.
func (l *rateLimit) clear() { *l = rateLimit{} }

func (l *rateLimit) burst() float64 {
	return max(l.rate*rateBurstTime.Seconds(), minRateBurst)
}

func (l *rateLimit) refill(now time.Duration) {
	elapsed := max(now-l.refilledAt, 0)
	l.tokens = min(l.tokens+l.rate*elapsed.Seconds(), l.burst())
	l.refilledAt = max(l.refilledAt, now)
}

// untilDue returns the time until a call may be dispatched, 0 if one may be dispatched now.
func (l *rateLimit) untilDue(now time.Duration) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	return max(time.Duration(math.Ceil((1-l.tokens)/l.rate*float64(time.Second))), 1)
}

// take records a dispatch. untilDue must have returned 0.
func (l *rateLimit) take() {
	if l.limited {
		l.tokens--
	}
}

// spacing returns the time between two dispatches in nanoseconds, 0 without a limit.
func (l *rateLimit) spacing() float64 {
	if !l.limited {
		return 0
	}
	return float64(time.Second) / l.rate
}

// observe updates the load with the calls that arrived in a time.
func (l *rateLimit) observe(arrived int, elapsed time.Duration) {
	if !l.limited || elapsed <= 0 {
		return
	}
	l.load += rateLoadWeight * (float64(arrived)/(elapsed.Seconds()*l.rate) - l.load)
}

// SetRate limits the calls that are dispatched to perSecond in each second, on average
// over any time and up to a short burst. Rates below 0.5 count as 0.5, so that the gate
// still learns from responses when the limit ends. Calls that are not due are queued in
// the usual order, or refused if they would wait too long.
func (g *Gate) SetRate(perSecond float64) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate.set(perSecond, now)
	g.rateLimited.Store(true)
	g.dispatch(now)
}

// ClearRate ends the limit of SetRate.
func (g *Gate) ClearRate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate.clear()
	g.rateLimited.Store(false)
	g.rateLoad.Store(0)
	g.dispatch(g.now())
}

// dispatchLater dispatches queued calls once the rate allows it. The gate's lock is held.
func (g *Gate) dispatchLater(after time.Duration) {
	after = max(after, minTimerDuration)
	if g.rateTimer == nil {
		g.rateTimer = time.AfterFunc(after, g.dispatchDue)
		return
	}
	g.rateTimer.Reset(after)
}

func (g *Gate) dispatchDue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.now())
}
