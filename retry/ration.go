package retry

import (
	"math"
	"sync"
	"time"

	"pollengauge.dev/call"
)

// Tuning of a Ration.
const (
	// rationTick is how often the shares are set, a fraction of the time in which
	// a fault of a service shows.
	rationTick = 100 * time.Millisecond
	// rationWeight is the weight of one tick in what is wanted: half a second
	// counts, which evens out the arrivals of a tick.
	rationWeight = 0.2
	// rationHorizon is the time over which what is left is handed out. A longer one
	// keeps that much unspent at all times, with a shorter one the first to ask in
	// a tick get it.
	rationHorizon = DefaultCarry / 5
	// maxRemaining is the most calls that are told apart.
	maxRemaining = 8

	priorities   = int(call.MaxPriority) + 1
	rationPlaces = maxRemaining * priorities
)

// Benefit is what a retry is worth: the request that it helps to complete.
type Benefit struct {
	Priority call.Priority
	// Remaining is how many calls the run that makes the call still needs, this
	// one included. Below 1 counts as 1.
	Remaining int
}

// place orders benefits: those that need the fewest calls first, and of these the
// more important ones.
func (b Benefit) place() int {
	remaining := min(max(b.Remaining, 1), maxRemaining)
	priority := min(int(b.Priority), priorities-1)
	return (remaining-1)*priorities + priorities - 1 - priority
}

// Ration says who gets the retries of one service when more are wanted than its
// budget earns.
//
// Load pattern: a service that every request needs several times refuses half of
// all calls. With one retry for five calls, given to whoever asks first, nearly
// every request loses one call of four and each retry is wasted with it. A retry
// of the last call completes a request, one of the first of four completes one in
// four at best. So the retries go to the runs with the fewest calls left.
//
// It only chooses: the Bound bounds. All methods may be called concurrently.
type Ration struct {
	bound Bound

	mu     sync.Mutex
	until  time.Time
	wanted [rationPlaces]rationDemand
}

// rationDemand is what one place asks for, and the share of it that is granted.
type rationDemand struct {
	// asked counts the tick under way, usual is the average of a tick.
	asked, usual float64
	granted      float64
}

// NewRation returns a Ration of what a bound allows.
func NewRation(bound Bound) *Ration {
	r := &Ration{bound: bound}
	for i := range r.wanted {
		r.wanted[i].granted = 1
	}
	return r
}

// Admit tells whether a retry with this benefit is among those that the budget
// reaches for. draw is a random number from 0 to 1, exclusive.
func (r *Ration) Admit(b Benefit, draw float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until.IsZero() {
		r.until = now.Add(rationTick)
	}
	if !now.Before(r.until) {
		r.settle(now)
	}
	wanted := &r.wanted[b.place()]
	wanted.asked++
	return draw < wanted.granted
}

// settle ends the ticks that have passed and sets the shares for the next one. The
// lock is held.
func (r *Ration) settle(now time.Time) {
	ticks := int(now.Sub(r.until)/rationTick) + 1
	r.until = r.until.Add(time.Duration(ticks) * rationTick)
	left := float64(r.bound.Left(now)) * float64(rationTick) / float64(rationHorizon)
	// What was asked came in the first of these ticks; in the others nothing did.
	quiet := math.Pow(1-rationWeight, float64(ticks-1))
	for i := range r.wanted {
		w := &r.wanted[i]
		w.usual += rationWeight * (w.asked - w.usual)
		w.usual *= quiet
		w.asked = 0
		w.granted = 1
		if w.usual > left {
			w.granted = left / w.usual
		}
		left -= w.usual * w.granted
	}
}
