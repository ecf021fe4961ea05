package atmostonce

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

const suppliedKey = "case-4711-filing"

// A client supplies its own key, and two nodes receive it at the same time.
// Each of them tries to become the owner. One create in the store succeeds; the
// other node forwards the call to the node that succeeded.
func TestTwoNodesClaimOneSuppliedKey(t *testing.T) {
	store := newFakeStore()
	c, ctx, a, b := twoNodes(t, withStore(store))
	run := mustRun(c, a, suppliedKey)
	mustForward(c, b, suppliedKey, a.Incarnation())
	finish(c, run, "filed")
	mustReplay(c, a, suppliedKey, "filed")
	// Another caller chose the same key for another request.
	v, err := a.Begin(ctx, Presentation{Key: suppliedKey, Fingerprint: 7})
	c.Assert(err, qt.IsNil, qt.Commentf("the first had no fingerprint"))
	c.Assert(v.Kind, qt.Equals, Replay)
	v, err = a.Begin(ctx, Presentation{Key: "k", Fingerprint: 1})
	c.Assert(err, qt.IsNil)
	defer v.Run.Close()
	for _, node := range []*Table{a, b} {
		_, err = node.Begin(ctx, Presentation{Key: "k", Fingerprint: 2})
		checkRefused(c, err, "k", call.Unknown, call.ReasonKeyReused)
	}
}

// The store's response to a claim is lost, whether the claim was written, will
// be written later, or is never written. The node must find out which before it
// runs the filing. Exactly one node may become the owner, and a rejected caller
// must not be told not-run as long as the store can't prove it.
func TestAmbiguousClaim(t *testing.T) {
	cases := map[string]struct {
		faults []fault
		runs   bool
	}{
		"written, answer lost":            {[]fault{lostAfter}, true},
		"not written, answer lost":        {[]fault{lostBefore}, true},
		"written late":                    {[]fault{appliedLater}, true},
		"written, then the store is down": {[]fault{lostAfter, down}, false},
		"written late, store down":        {[]fault{appliedLater, down}, false},
		"store down":                      {[]fault{down}, false},
		"lost again and again":            {[]fault{lostBefore, works, lostBefore, works, lostBefore, works, lostBefore, works}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			c, _, a, b := twoNodes(t, withStore(store))
			store.script(tc.faults...)
			v, err := present(a, suppliedKey)
			if !tc.runs {
				checkRefused(c, err, suppliedKey, call.Unknown, call.ReasonKeyUnclaimed)
				c.Assert(a.Len(), qt.Equals, 0)
				store.script()
				v, err = present(a, suppliedKey)
			}
			c.Assert(err, qt.IsNil)
			finish(c, v.Run, "filed")
			store.flush()
			mustForward(c, b, suppliedKey, a.Incarnation())
			mustReplay(c, a, suppliedKey, "filed")
		})
	}
}

// Node a claims a key, admission rejects the call, and a releases the claim so
// that another node may run the key. The response to the delete is lost. The
// key would run twice if a ran it at its next presentation although the claim
// is gone, because b, which finds no claim, would run it too; or if the delete
// took effect after a had run the key.
func TestLostReleaseOfAClaim(t *testing.T) {
	for name, f := range map[string]fault{"deleted": lostAfter, "not deleted": lostBefore, "deleted late": appliedLater} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			c, ctx, a, b := twoNodes(t, withStore(store))
			c.Assert(mustRun(c, a, suppliedKey).NotRun(), qt.IsNil)
			writes := store.writes
			c.Assert(mustRun(c, a, suppliedKey).NotRun(), qt.IsNil)
			c.Assert(store.writes, qt.Equals, writes, qt.Commentf("a retry before Sync needs no write"))
			store.script(f)
			c.Assert(a.Sync(ctx, 10).Failed, qt.Equals, 1)
			if f == lostAfter {
				finish(c, mustRun(c, b, suppliedKey), "filed")
				mustForward(c, a, suppliedKey, b.Incarnation())
				return
			}
			finish(c, mustRun(c, a, suppliedKey), "filed")
			store.flush()
			mustForward(c, b, suppliedKey, a.Incarnation())
		})
	}
}

// A draining node receives a caller-supplied key. It can't claim the key, and
// only the store knows whether another node ran it. The result must be not-run
// if there is no claim, a forward to the other node if there is one, and
// unknown if the store is down.
func TestSuppliedKeyAtADrainingNode(t *testing.T) {
	store := newFakeStore()
	c, _, a, b := twoNodes(t, withStore(store))
	b.Freeze()
	mustRefuse(c, b, suppliedKey, call.NotRun, call.ReasonDraining)
	finish(c, mustRun(c, a, suppliedKey), "filed")
	mustForward(c, b, suppliedKey, a.Incarnation())
	store.script(down)
	mustRefuse(c, b, suppliedKey, call.Unknown, call.ReasonKeyUnclaimed)
}

// An owner crashes and leaves its claims in the store. A collector must delete
// them eventually, but not at once: the owner's clock was two days behind, so
// that its claims look expired from the start, and keys whose claims are
// deleted too early would run again.
func TestCollectorWaitsAWholeWindow(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newFakeStore()
	behind, clock := testNode(1, func(cfg *Config) {
		cfg.Store = store
		start := cfg.Clock
		cfg.Clock = func() time.Time { return start().Add(-2 * DefaultWindow) }
	})
	finish(c, mustRun(c, behind, suppliedKey), "filed")
	collector := NewCollector(store, store, DefaultWindow, 10)
	for range 23 {
		n, err := collector.Step(ctx, clock.now, 10)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 0)
		clock.advance(time.Hour)
	}
	clock.advance(2 * time.Hour)
	n, err := collector.Step(ctx, clock.now, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	c.Assert(store.claims, qt.HasLen, 0)
}

// An owner deletes its claims when they expire. A process that was paused for
// the whole window has a claim that it no longer owns. When it resumes it must
// not send the call.
func TestPausedHolderOfAnExpiredClaim(t *testing.T) {
	c := qt.New(t)
	store := newFakeStore()
	a, clock := testNode(1, withStore(store))
	run := mustRun(c, a, suppliedKey)
	finish(c, mustRun(c, a, "other"), "done")
	clock.advance(DefaultWindow + time.Second)
	checkRefused(c, run.Dispatched(), suppliedKey, call.Unknown, call.ReasonKeyExpired)
	c.Assert(a.Sweep(), qt.Equals, 1)
	c.Assert(a.Sync(context.Background(), 10).Deleted, qt.Equals, 1)
}
