package objects

import (
	"context"
	"math/rand/v2"
	"time"
)

// Defaults of Backoff.
const (
	DefaultBackoffBase = 200 * time.Millisecond
	DefaultBackoffMax  = 30 * time.Second
)

// Backoff computes exponential delays with full jitter. It is a plain value
// without state, and only Wait uses the clock; the zero value uses the
// defaults.
type Backoff struct {
	// Base bounds the first delay. Lower finds a short outage's end sooner;
	// higher spares a struggling platform. Zero means DefaultBackoffBase.
	Base time.Duration
	// Max bounds every delay. With n callers waiting, the platform sees about
	// 2n/Max calls a second in a long outage, and recovery is noticed Max/2
	// late on average. Zero means DefaultBackoffMax.
	Max time.Duration
}

// Ceiling returns the upper bound of the delay after the given number of
// failures in a row, counted from 0.
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

// Delay draws a delay uniformly between 0 and the ceiling. Half-fixed delays
// would keep callers that failed together in step; full jitter spreads their
// return over the whole interval.
func (b Backoff) Delay(attempt int, r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(b.Ceiling(attempt)) + 1))
}

// Wait waits for one Delay and returns true, or false as soon as ctx ends.
func (b Backoff) Wait(ctx context.Context, attempt int, r *rand.Rand) bool {
	return Pause(ctx, b.Delay(attempt, r))
}

// Pause waits for d and returns true, or false as soon as ctx ends.
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
