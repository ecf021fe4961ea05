package node

import (
	"context"
	"errors"
	"time"
)

// withDeadline returns ctx bounded by deadline. A context that expires no later than
// deadline is returned unchanged, without a timer of its own.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if current, ok := ctx.Deadline(); ok && !current.After(deadline) {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// afterContext is context.AfterFunc, with fewer allocations for a context that has the method
// itself.
func afterContext(ctx context.Context, f func()) (stop func() bool) {
	if own, ok := ctx.(interface{ AfterFunc(func()) func() bool }); ok {
		return own.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}

// mergeContext returns a context that ends with either parent, and at the deadline,
// which is also the deadline of b.
//
// b may reach the deadline a moment before the timer of the merged context fires. If
// the merged context were cancelled then, a call that timed out would be reported as
// cancelled. At the deadline it therefore expires by itself.
//
// When b ends and ignored returns true, the merged context continues.
func mergeContext(a, b context.Context, deadline time.Time, ignored func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(a, deadline)
	stop := context.AfterFunc(b, func() {
		if !errors.Is(b.Err(), context.DeadlineExceeded) && !ignored() {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}
