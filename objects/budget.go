package objects

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// budgetChangeInterval is the minimum time between two changes of a budget's
	// rate. A shorter time adapts faster, but overshoots more when many clients
	// adapt at the same time.
	budgetChangeInterval = time.Second
	// A rate is multiplied by budgetGrowthFactor when it grows, and by
	// budgetReductionFactor when the platform responds with 429.
	budgetGrowthFactor    = 2
	budgetReductionFactor = 0.5
	// minBudgetGrowth is the minimum increase of a rate, in calls a second. A
	// rate below one call a second that only doubled would take many seconds to
	// reach a useful value.
	minBudgetGrowth = 5
)

// budget limits the rate of a client's reads or of its writes.
//
// Fixed equal shares waste the capacity that most clients leave unused: a few
// nodes that claim idempotency keys for their callers would be limited to a
// fraction of a write a second on an idle platform. The rate of a budget
// therefore starts at its share and grows up to its maximum while the budget is
// used up and the platform accepts the calls. When the platform responds with
// 429 the rate is halved, but never to less than the share.
type budget struct {
	limiter *rate.Limiter
	// share and maximum are the lower and upper bounds of the limiter's rate.
	share   rate.Limit
	maximum rate.Limit

	// mu guards lastChange, the time of the last rate change, and serializes rate
	// changes.
	mu         sync.Mutex
	lastChange time.Time
}

// newBudget returns a budget whose rate starts at share. A maximum below share,
// such as 0, makes the rate fixed.
func newBudget(share, maximum rate.Limit, burst int) *budget {
	return &budget{limiter: rate.NewLimiter(share, burst), share: share, maximum: max(maximum, share)}
}

// spend takes one call from the budget and returns 0. If the budget is used up,
// spend takes nothing, increases the rate and returns the time until a call
// would have been available at the previous rate.
func (b *budget) spend(now time.Time) (wait time.Duration) {
	reservation := b.limiter.ReserveN(now, 1)
	wait = reservation.DelayFrom(now)
	if wait == 0 {
		return 0
	}
	reservation.CancelAt(now)
	b.setRate(now, max(b.limiter.Limit()*budgetGrowthFactor, b.limiter.Limit()+minBudgetGrowth))
	return wait
}

// chargeUnchecked deducts a call that was made without calling spend first.
func (b *budget) chargeUnchecked() { b.limiter.Reserve() }

// reduce lowers the rate after the platform has responded with 429.
func (b *budget) reduce(now time.Time) { b.setRate(now, b.limiter.Limit()*budgetReductionFactor) }

// setRate sets the rate within its bounds, at most once per
// budgetChangeInterval.
func (b *budget) setRate(now time.Time, limit rate.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastChange) < budgetChangeInterval {
		return
	}
	b.lastChange = now
	b.limiter.SetLimitAt(now, min(max(limit, b.share), b.maximum))
}

// isTooManyRequests reports whether the platform rejected a call with 429 because
// its rate limit was exceeded.
func isTooManyRequests(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusTooManyRequests
}
