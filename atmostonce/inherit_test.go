package atmostonce

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// during calls f while the n-th store call from now on is in flight: the call
// has taken effect, and its caller hasn't received the response yet.
func (s *fakeStore) during(n int, f func()) {
	n += s.calls
	s.meanwhile = func(call int) {
		if call == n {
			f()
		}
	}
}

// Node a ran a caller-supplied key and drains. Its successor b is querying the
// store about the same key when the fate arrives with the hand-over. The caller
// must get the response of the first run. If b dropped the fate because the key
// is being queried, it would read a claim whose owner it has just inherited,
// conclude that the key never ran, and run it a second time.
func TestFateArrivesDuringAnInquiry(t *testing.T) {
	for name, ends := range map[string]func(*qt.C, *Run){
		"done":        func(c *qt.C, r *Run) { finish(c, r, "filed") },
		"at upstream": func(c *qt.C, r *Run) { c.Assert(r.Dispatched(), qt.IsNil) },
	} {
		for stage, at := range map[string]int{"create": 1, "read": 2} {
			t.Run(name+" "+stage, func(t *testing.T) {
				store := newFakeStore()
				c, ctx, a, b := twoNodes(t, withStore(store))
				ends(c, mustRun(c, a, suppliedKey))
				store.during(at, func() {
					c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
				})
				v, err := present(b, suppliedKey)
				c.Assert(v.Kind, qt.Not(qt.Equals), RunNow)
				if name == "done" {
					c.Assert(err, qt.IsNil)
					mustReplay(c, b, suppliedKey, "filed")
				} else {
					mustRefuse(c, b, suppliedKey, call.Unknown, call.ReasonDraining)
				}
				c.Assert(b.InFlight(), qt.Equals, 0)
				c.Assert(b.Len(), qt.Equals, 1)
			})
		}
	}
}

// Node b releases a claim that it didn't use. The store has deleted the claim
// and the response is in flight when node a claims the key, runs it and hands
// it over to b. b must store that fate. If b dropped it because the key is
// still being released, b would find the key absent afterwards and run it
// again.
func TestFateArrivesWhileAClaimIsReleased(t *testing.T) {
	for name, f := range map[string]fault{"deleted": works, "deleted, answer lost": lostAfter} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			c, ctx, a, b := twoNodes(t, withStore(store))
			c.Assert(mustRun(c, b, suppliedKey).NotRun(), qt.IsNil)
			store.during(1, func() {
				store.meanwhile = nil
				finish(c, mustRun(c, a, suppliedKey), "filed")
				c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
			})
			store.script(f)
			b.Sync(ctx, 10)
			mustReplay(c, b, suppliedKey, "filed")
			c.Assert(b.InFlight(), qt.Equals, 0)
			c.Assert(b.Len(), qt.Equals, 1)
		})
	}
}

// As in the tests above, with a second caller that waits on b for the end of
// the inquiry. It must be woken and get the response that arrived with the
// hand-over.
func TestWaiterGetsTheFateThatArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		c, ctx, a, b := twoNodes(t, withStore(store))
		finish(c, mustRun(c, a, suppliedKey), "filed")
		bodies := make(chan string, 1)
		store.during(1, func() {
			go func() {
				v, _ := present(b, suppliedKey)
				bodies <- string(v.Answer.Body)
			}()
			synctest.Wait()
			c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
			c.Assert(<-bodies, qt.Equals, "filed")
		})
		mustReplay(c, b, suppliedKey, "filed")
	})
}

// Node a was paused beyond the window of a key that it ran, and a collector has
// deleted its claim. b has claimed the key again and hasn't dispatched it when
// a resumes, drains and hands the fate over to b. b must neither send the call
// nor report not-run: an inherited fate wins until the call is sent.
func TestFateArrivesBeforeDispatch(t *testing.T) {
	store := newFakeStore()
	c, ctx, a, b := twoNodes(t, withStore(store))
	finish(c, mustRun(c, a, suppliedKey), "filed")
	delete(store.claims, ClaimName("filing", suppliedKey))
	run := mustRun(c, b, suppliedKey)
	sent := mustRun(c, b, "sent")
	c.Assert(sent.Dispatched(), qt.IsNil)
	c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
	checkRefused(c, run.Dispatched(), suppliedKey, call.Unknown, call.ReasonDraining)
	c.Assert(run.NotRun(), qt.IsNotNil)
	run.Close()
	mustReplay(c, b, suppliedKey, "filed")
	c.Assert(sent.Done(Answer{}), qt.IsNil)
	c.Assert(b.InFlight(), qt.Equals, 0)
}

// A fate arrives while b queries the store; it expires and is dropped before
// the inquiry ends. The key then looks absent to b, and the inquiry finds a
// claim of an incarnation that b inherited. b must not conclude that the key
// never ran.
func TestFateExpiresDuringAnInquiry(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newFakeStore()
	a, clockA := testNode(1, withStore(store))
	b, clockB := testNode(2, withStore(store))
	clockA.advance(-time.Hour)
	finish(c, mustRun(c, a, suppliedKey), "filed")
	store.during(1, func() {
		clockA.advance(time.Hour)
		c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
		clockB.advance(DefaultWindow + time.Second)
		b.Sweep()
	})
	mustRefuse(c, b, suppliedKey, call.Unknown, call.ReasonKeyExpired)
	c.Assert(b.Len(), qt.Equals, 0)
	c.Assert(b.InFlight(), qt.Equals, 0)
}

// b starts a drain and cancels it while it queries the store. The entry of the
// inquiry was revoked, and another presentation has since claimed and run the
// key. The old inquiry must stop: if it continued, it would overwrite the claim
// of that run, whose fate could then neither be saved nor expire.
func TestInquiryEndsWithItsEntry(t *testing.T) {
	for at := 1; at <= 2; at++ {
		t.Run(fmt.Sprint("call ", at), func(t *testing.T) {
			store := newFakeStore()
			c, ctx, a, b := twoNodes(t, withStore(store))
			c.Assert(mustRun(c, b, suppliedKey).NotRun(), qt.IsNil)
			store.script(lostBefore)
			c.Assert(b.Sync(ctx, 10).Failed, qt.Equals, 1)
			var written StoredClaim
			name := ClaimName("filing", suppliedKey)
			store.during(at, func() {
				store.meanwhile = nil
				brokenLink := &link{to: a, fault: faults(lostBefore)}
				checkHandOver(c, b.HandOver(ctx, a.Incarnation(), brokenLink), "stage", false)
				c.Assert(b.Thaw(), qt.IsNil)
				finish(c, mustRun(c, b, suppliedKey), "filed")
				written = store.claims[name]
			})
			mustReplay(c, b, suppliedKey, "filed")
			c.Assert(store.claims[name], qt.DeepEquals, written)
		})
	}
}

// When a hands over, the table of b is full of other keys in flight. The
// hand-over is rejected before the commit for lack of capacity, and a remains
// the owner. b must not store part of the hand-over.
func TestHandOverToAFullTable(t *testing.T) {
	store := newFakeStore()
	c, ctx, a, b := twoNodes(t, func(cfg *Config) { cfg.Store, cfg.MaxEntries = store, 2 })
	finish(c, mustRun(c, a, suppliedKey), "filed")
	open := []*Run{mustRun(c, b, "first"), mustRun(c, b, "second")}
	checkHandOver(c, a.HandOver(ctx, b.Incarnation(), &link{to: b}), "stage", false)
	mustForward(c, b, suppliedKey, a.Incarnation())
	c.Assert(b.Len(), qt.Equals, 2)
	for _, run := range open {
		run.Close()
	}
	c.Assert(a.Thaw(), qt.IsNil)
	mustReplay(c, a, suppliedKey, "filed")
}
