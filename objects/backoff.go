package objects

import (
	"context"
	"math/rand/v2"
	"time"
)

// Default values of the fields of Backoff.
const (
	DefaultBackoffBase = 200 * time.Millisecond
	DefaultBackoffMax  = 30 * time.Second
)

// Backoff computes exponential delays with full jitter. It has no state, and
// only its method Wait uses the clock. The zero value uses the defaults.
type Backoff struct {
	// Base is the upper bound of the first delay. A lower value detects the end
	// of a short outage sooner; a higher value reduces the load on an overloaded
	// platform. Zero means DefaultBackoffBase.
	Base time.Duration
	// Max is the upper bound of every delay. With n callers waiting in a long
	// outage, the platform receives about 2n/Max calls a second, and a caller
	// detects the recovery Max/2 late on average. Zero means DefaultBackoffMax.
	Max time.Duration
}

// Ceiling returns the upper bound of the delay before a retry. The attempt counts
// the consecutive failures from 0, so it is 0 after the first failure.
func (b Backoff) Ceiling(attempt int) time.Duration {
	ceiling := b.Base
	if ceiling <= 0 {
		ceiling = DefaultBackoffBase
	}
	limit := b.Max
	if limit <= 0 {
		limit = DefaultBackoffMax
	}
	for range attempt {
		if ceiling >= limit/2 {
			return limit
		}
		ceiling *= 2
	}
	return min(ceiling, limit)
}

// Delay returns a random delay, uniform between 0 and Ceiling(attempt). Full
// jitter spreads the retries of callers that failed at the same time over the
// whole interval; with a partly fixed delay they would stay synchronized.
func (b Backoff) Delay(attempt int, r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(b.Ceiling(attempt)) + 1))
}

// Wait sleeps for one Delay and returns true, or returns false as soon as ctx
// is done.
func (b Backoff) Wait(ctx context.Context, attempt int, r *rand.Rand) bool {
	return Pause(ctx, b.Delay(attempt, r))
}

// Pause sleeps for d and returns true, or returns false as soon as ctx is done.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
