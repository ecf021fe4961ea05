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
// in the mean, and whose calls are dispatched every 20 ms.
func measured(c *qt.C, queueLimit int) *Gate {
	g := fixed(c, Config{Slots: 1, SlotShare: 1, InitialLimit: 1, QueueLimit: queueLimit, Preference: 1, MaxQueueWait: time.Hour})
	g.profile("read").learnMean(float64(20 * time.Millisecond))
	g.window.spacing = float64(20 * time.Millisecond)
	return g
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
		c.Assert(refused.reason(), qt.Equals, call.ReasonDeadline)
		var refusal *RefusedError
		c.Assert(errors.As(refused.err, &refusal), qt.IsTrue)
		c.Check(refusal.RetryAfter, qt.Equals, 8*20*time.Millisecond)
	})
}
