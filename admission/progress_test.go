package admission

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// Filings alone exceed the capacity of the downstream service, so its queue is
// full of filings that have just begun. Another filing arrives for its last
// call, with all its other work done and a lower tie-break. If it were refused,
// its work would be lost and the fate of its keyed calls unknown; it must
// replace a queued call that loses no work.
func TestCallWithProgressGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := fixed(c, Config{Slots: 1, InitialLimit: 1, QueueLimit: 2, Preference: 1})
		busy, err := g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		high, low := call.MakeLevel(12, 100), call.MakeLevel(12, 1)
		older := start(t.Context(), g, Request{Level: high, Inherited: true, MaxWait: time.Minute})
		newer := start(t.Context(), g, Request{Level: high - 1, Inherited: true, MaxWait: time.Minute})
		last := start(t.Context(), g, Request{Level: low, Inherited: true, Progress: 1, MaxWait: time.Minute})
		c.Check(newer.reason(), qt.Equals, call.ReasonQueueFull)
		busy.Release(OK)
		synctest.Wait()
		c.Check(last.ended && last.err == nil, qt.IsTrue)
		c.Check(older.ended, qt.IsFalse)
		// A more important call is still served first.
		payment := start(t.Context(), g, Request{Level: call.MakeLevel(13, 0), MaxWait: time.Minute})
		last.ticket.Release(OK)
		synctest.Wait()
		c.Check(payment.ended && payment.err == nil, qt.IsTrue)
		payment.ticket.Release(OK)
		synctest.Wait()
		older.ticket.Release(OK)
	})
}

// Between two calls of a filing, the level rises above the filing's level. New
// filings are refused; this one has work to lose and is admitted.
func TestRaisedLevelAdmitsCallWithProgress(t *testing.T) {
	c := qt.New(t)
	g := fixed(c, Config{Slots: 1, InitialLimit: 1})
	g.level.Store(uint32(call.MakeLevel(13, 0)))
	g.inherited.Store(g.level.Load())
	filing := Request{Level: call.MakeLevel(12, 0), Inherited: true}
	_, err := g.Acquire(t.Context(), filing)
	c.Check(err, qt.ErrorMatches, "admission refused: level .*")
	filing.Progress = 1
	ticket, err := g.Acquire(t.Context(), filing)
	c.Check(err, qt.IsNil)
	ticket.Release(OK)
}
