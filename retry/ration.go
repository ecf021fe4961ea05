package retry

import (
	"math"
	"sync"
	"time"

	"pollengauge.dev/call"
)

// Parameters of Ration.
const (
	// rationTick is the interval at which the granted shares are updated. It is
	// a fraction of the time in which a fault of a service becomes visible.
	rationTick = 100 * time.Millisecond
	// rationSmoothing is the weight of one tick in the moving average of
	// demand. The average covers about half a second, which evens out the
	// random arrivals of a single tick.
	rationSmoothing = 0.2
	// rationHorizon is the time over which the available retries are handed
	// out. With a longer horizon that many retries stay unspent at all times;
	// with a shorter one the first requests in a tick get them all.
	rationHorizon = DefaultCarry / 5
	// maxRemaining is the largest number of remaining calls that is
	// distinguished; larger numbers count as this one.
	maxRemaining = 8

	priorities  = int(call.MaxPriority) + 1
	rationRanks = maxRemaining * priorities
)

// Benefit describes the value of a retry by the request that it helps to
// complete.
type Benefit struct {
	Priority call.Priority
	// Remaining is the number of calls that the calling run still needs,
	// including this one. Values below 1 count as 1.
	Remaining int
}

// rank returns the rank of a benefit: runs that need the fewest calls come
// first, and among these the ones of higher priority.
func (b Benefit) rank() int {
	remaining := min(max(b.Remaining, 1), maxRemaining)
	priority := min(int(b.Priority), priorities-1)
	return (remaining-1)*priorities + priorities - 1 - priority
}

// Ration decides which requests get the retries of one service when more are
// requested than its budget earns.
//
// It is made for services that every request calls several times, at a time
// when they refuse half of all calls. With one retry for five calls, given to
// the first that request it, nearly every request loses one call of four, and
// each of its earlier retries is wasted. A retry of the last call completes a
// request; a retry of the first of four calls completes one request in four at
// best. So the retries go to the runs with the fewest calls left.
//
// A Ration only chooses among requests; its Limiter limits the number of retries.
// All methods may be called concurrently.
type Ration struct {
	bound Limiter

	mu      sync.Mutex
	tickEnd time.Time
	demand  [rationRanks]rationDemand
}

// rationDemand is the demand for retries at one rank, and the share of it that
// is granted.
type rationDemand struct {
	// requested counts the requests in the current tick, average is the moving
	// average of requests per tick.
	requested, average float64
	grantedShare       float64
}

// NewRation returns a Ration that hands out the retries that bound allows.
func NewRation(bound Limiter) *Ration {
	r := &Ration{bound: bound}
	for i := range r.demand {
		r.demand[i].grantedShare = 1
	}
	return r
}

// Admit reports whether a retry with this benefit is among those that the
// budget suffices for. draw is a random number in [0, 1).
func (r *Ration) Admit(b Benefit, draw float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tickEnd.IsZero() {
		r.tickEnd = now.Add(rationTick)
	}
	if !now.Before(r.tickEnd) {
		r.closeTicks(now)
	}
	demand := &r.demand[b.rank()]
	demand.requested++
	return draw < demand.grantedShare
}

// closeTicks closes the ticks that have passed and sets the granted shares for
// the next one. The caller holds r.mu.
func (r *Ration) closeTicks(now time.Time) {
	ticks := int(now.Sub(r.tickEnd)/rationTick) + 1
	r.tickEnd = r.tickEnd.Add(time.Duration(ticks) * rationTick)
	available := float64(r.bound.Left(now)) * float64(rationTick) / float64(rationHorizon)
	// All counted requests came in the first of these ticks; the others had
	// none.
	idleDecay := math.Pow(1-rationSmoothing, float64(ticks-1))
	for i := range r.demand {
		w := &r.demand[i]
		w.average += rationSmoothing * (w.requested - w.average)
		w.average *= idleDecay
		w.requested = 0
		w.grantedShare = 1
		if w.average > available {
			w.grantedShare = available / w.average
		}
		available -= w.average * w.grantedShare
	}
}
