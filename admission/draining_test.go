package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// Guards against queued calls that are dispatched to an upstream after it may get none, and
// against calls that are queued after the queue was cleared and that nobody refuses.
func TestQueuedCallsAreRefusedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, err := NewGate(Config{Slots: 1, MinLimit: 1, InitialLimit: 1, QueueLimit: 10, MaxQueueWait: time.Minute})
		c.Assert(err, qt.IsNil)
		held, err := g.Acquire(context.Background(), Request{Level: call.MaxLevel})
		c.Assert(err, qt.IsNil)
		refused := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := g.Acquire(context.Background(), Request{Level: call.MaxLevel})
				refused <- err
			}()
		}
		synctest.Wait()
		c.Assert(g.Snapshot().Queued, qt.Equals, 3)
		g.Drain()
		synctest.Wait()
		c.Assert(g.Snapshot().Queued, qt.Equals, 3, qt.Commentf("Drain alone lets them wait"))
		g.RefuseQueued()
		for range 3 {
			var refusal *RefusedError
			c.Assert(errors.As(<-refused, &refusal), qt.IsTrue)
			c.Check(refusal.Reason, qt.Equals, call.ReasonDraining)
		}
		held.Release(OK)
		g.Undrain()
		next, err := g.Acquire(context.Background(), Request{Level: call.MaxLevel})
		c.Assert(err, qt.IsNil, qt.Commentf("the capacity is free again"))
		next.Release(OK)
	})
}
