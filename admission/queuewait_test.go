package admission

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// measured returns a gate with a fixed limit of one visit, whose profile "read" takes 20 ms
// in the mean, with a deviation of 10 ms, and whose calls are dispatched every 20 ms.
func measured(c *qt.C, queueLimit int) *Gate {
	g := fixed(c, Config{Slots: 1, SlotShare: 1, InitialLimit: 1, QueueLimit: queueLimit, Preference: 1, MaxQueueWait: time.Hour})
	p := g.profile("read")
	for _, took := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond} {
		p.shards[0].record(took, took)
	}
	p.learnMean(p.take())
	g.window.spacing = float64(20 * time.Millisecond)
	return g
}

// Guards against a wait that leaves no time for the work, or for the other upstreams that may
// get the call.
func TestQueueShare(t *testing.T) {
	for _, test := range []struct {
		left, work time.Duration
		upstreams  int
		want       time.Duration
	}{
		{time.Second, 0, 0, time.Second},
		{time.Second, 100 * time.Millisecond, 1, 900 * time.Millisecond},
		{time.Second, 100 * time.Millisecond, 3, 300 * time.Millisecond},
		{50 * time.Millisecond, 50 * time.Millisecond, 2, 0},
		{10 * time.Millisecond, 50 * time.Millisecond, 2, -20 * time.Millisecond},
	} {
		qt.Check(t, queueShare(test.left, test.work, test.upstreams), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against a call that waits until its deadline has come too near for its work: it would
// start and fail. A call that may be sent to another upstream leaves in time for that.
func TestCallsLeaveTheQueueWhileTheirWorkFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := measured(c, 4)
		_, err := g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		arrived := time.Now()
		last := start(t.Context(), g, Request{Profile: "read", Deadline: arrived.Add(530 * time.Millisecond)})
		first := start(t.Context(), g, Request{Profile: "read", Level: 9, Deadline: arrived.Add(530 * time.Millisecond), Upstreams: 2})
		time.Sleep(250*time.Millisecond + 1)
		synctest.Wait()
		c.Check(first.reason(), qt.Equals, call.ReasonQueueWait)
		c.Check(g.Snapshot().Queued, qt.Equals, 1)
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		c.Check(last.reason(), qt.Equals, call.ReasonDeadline)
	})
}

// Guards against evicting the call that came first although another one has less time left.
func TestTheCallWithTheLeastTimeLeftIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := measured(c, 2)
		_, err := g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		now := time.Now()
		older := start(t.Context(), g, Request{Profile: "read", Deadline: now.Add(5 * time.Second)})
		shorter := start(t.Context(), g, Request{Profile: "read", Deadline: now.Add(200 * time.Millisecond)})
		start(t.Context(), g, Request{Profile: "read", Level: call.MaxLevel, Deadline: now.Add(5 * time.Second)})
		c.Check(shorter.reason(), qt.Equals, call.ReasonQueueFull)
		c.Check(older.ended, qt.IsFalse)
	})
}

// Guards against an order by arrival: of two calls of one level that both fit, the one whose
// deadline is nearer would be too late. In an overload only one of them fits, and the other one
// would waste the capacity.
func TestOrderWithinALevelFollowsTheTimeLeft(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			g := measured(c, 4)
			if overloaded {
				g.levelController.calmWindows = 0
			}
			busy, err := g.Acquire(t.Context(), Request{})
			c.Assert(err, qt.IsNil)
			now := time.Now()
			long := start(t.Context(), g, Request{Profile: "read", Deadline: now.Add(5 * time.Second)})
			short := start(t.Context(), g, Request{Profile: "read", Deadline: now.Add(300 * time.Millisecond)})
			busy.Release(Ignore)
			synctest.Wait()
			c.Check(long.ended, qt.Equals, overloaded)
			c.Check(short.ended, qt.Equals, !overloaded)
		})
	}
}

// Guards against calls that return to a queue before those ahead of them have left it.
func TestRetryAfterOfAQueueFollowsItsPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := measured(c, 16)
		g.config.Window = time.Millisecond
		g.nextTick.Store(int64(time.Hour))
		_, err := g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		deadline := time.Now().Add(10 * time.Second)
		for range 8 {
			start(t.Context(), g, Request{Profile: "read", Deadline: deadline})
		}
		refused := start(t.Context(), g, Request{Profile: "read", Deadline: time.Now().Add(100 * time.Millisecond)})
		c.Assert(refused.reason(), qt.Equals, call.ReasonQueueWait)
		var refusal *RefusedError
		c.Assert(errors.As(refused.err, &refusal), qt.IsTrue)
		c.Check(refusal.RetryAfter, qt.Equals, 8*20*time.Millisecond)
	})
}
