package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A call made by a visit ends with the visit, with its own caller, or at the deadline
// that both share. The upstream learns which one it was: at the deadline it must read
// timeout and never cancelled, although the visit's context ends at the same moment
// and may end first.
func TestMergedContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, test := range []struct {
			end  func(caller, visit context.CancelFunc)
			want error
		}{
			{func(caller, _ context.CancelFunc) { caller() }, context.Canceled},
			{func(_, visit context.CancelFunc) { visit() }, context.Canceled},
			{func(_, _ context.CancelFunc) { time.Sleep(time.Second) }, context.DeadlineExceeded},
		} {
			deadline := time.Now().Add(time.Second)
			caller, endCaller := context.WithCancel(t.Context())
			visit, endVisit := context.WithDeadline(t.Context(), deadline)
			ctx, release := mergeContext(caller, visit, deadline, func() bool { return false })
			c.Check(ctx.Err(), qt.IsNil)
			test.end(endCaller, endVisit)
			synctest.Wait()
			c.Check(ctx.Err(), qt.Equals, test.want)
			release()
			endCaller()
			endVisit()
		}
	})
}

// An attempt needs no timer of its own under a context that ends by the deadline.
// Under any other context it must get one, or it would outlive its request.
func TestWithDeadline(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	outer, cancelOuter := context.WithDeadline(t.Context(), now.Add(time.Minute))
	defer cancelOuter()
	for _, deadline := range []time.Time{now.Add(time.Minute), now.Add(time.Hour)} {
		same, _ := withDeadline(outer, deadline)
		c.Check(same, qt.Equals, outer)
	}
	for _, ctx := range []context.Context{outer, t.Context()} {
		shorter, cancel := withDeadline(ctx, now.Add(time.Second))
		got, _ := shorter.Deadline()
		c.Check(got.Equal(now.Add(time.Second)), qt.IsTrue)
		cancel()
		c.Check(shorter.Err(), qt.IsNotNil)
	}
}
