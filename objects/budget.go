package objects

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// budgetStep is the least time between two changes of a budget. Shorter
	// adapts faster, and overshoots the more the more clients adapt at once.
	budgetStep = time.Second
	// budgetGrowth and budgetCut multiply a rate when it grows and when the
	// platform says 429.
	budgetGrowth = 2
	budgetCut    = 0.5
	// minBudgetGrowth is the least growth, in calls a second. Doubling a share
	// of less than one a second would take many seconds to become of use.
	minBudgetGrowth = 5
)

// budget bounds the calls of one kind, reads or writes.
//
// A fixed share for each of many clients wastes what most of them leave: a
// few nodes that claim keys for their callers would be held to a fraction of
// a write a second on an idle platform. A budget therefore grows, up to its
// maximum, while it is used up and the platform takes the calls, and is halved
// when the platform says 429, never below its share.
type budget struct {
	limiter *rate.Limiter
	// share and maximum bound the limiter's rate.
	share   rate.Limit
	maximum rate.Limit

	// mu is held while the rate is changed; changed is when it last was.
	mu      sync.Mutex
	changed time.Time
}

// newBudget returns a budget that starts at share. A maximum below it, such
// as 0, keeps the budget fixed.
func newBudget(share, maximum rate.Limit, burst int) *budget {
	return &budget{limiter: rate.NewLimiter(share, burst), share: share, maximum: max(maximum, share)}
}

// spend takes one call and returns 0, or takes none, lets the budget grow and
// returns the time until there would have been one.
func (b *budget) spend(now time.Time) (wait time.Duration) {
	reservation := b.limiter.ReserveN(now, 1)
	wait = reservation.DelayFrom(now)
	if wait == 0 {
		return 0
	}
	reservation.CancelAt(now)
	b.change(now, max(b.limiter.Limit()*budgetGrowth, b.limiter.Limit()+minBudgetGrowth))
	return wait
}

// charge takes a call that was made without asking.
func (b *budget) charge() { b.limiter.Reserve() }

// refused notes that the platform said it gets too many calls.
func (b *budget) refused(now time.Time) { b.change(now, b.limiter.Limit()*budgetCut) }

// change sets the rate, at most once each budgetStep.
func (b *budget) change(now time.Time, limit rate.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.changed) < budgetStep {
		return
	}
	b.changed = now
	b.limiter.SetLimitAt(now, min(max(limit, b.share), b.maximum))
}

// tooMany reports whether err is the platform's own refusal for its rates.
func tooMany(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusTooManyRequests
}
