package atmostonce

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

func checkHandOver(c *qt.C, err error, step string, ambiguous bool) {
	c.Helper()
	var failed *HandOverError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Step, qt.Equals, step)
	c.Assert(failed.Ambiguous, qt.Equals, ambiguous)
}

func twoNodes(t *testing.T, edit func(*Config)) (c *qt.C, ctx context.Context, a, b *Table) {
	a, _ = testNode(1, edit)
	b, _ = testNode(2, edit)
	return qt.New(t), context.Background(), a, b
}

func smallChunks(cfg *Config) { cfg.ChunkBytes = 300 }

// A node drains while its keys are in all states. The successor must replay the
// stored answer, report a run that was still at the upstream as unknown, and
// run what was only queued. The old node must run nothing any more. The
// successor then drains to a third node, which must take over all of these
// keys.
func TestDrainHandsAllKeysOn(t *testing.T) {
	c, ctx, a, b := twoNodes(t, smallChunks)
	third, _ := testNode(3, nil)
	done, atUpstream, queued := a.Mint().String(), a.Mint().String(), a.Mint().String()
	finish(c, mustRun(c, a, done), "filed")
	running := mustRun(c, a, atUpstream)
	c.Assert(running.Dispatched(), qt.IsNil)
	waiting := mustRun(c, a, queued)
	a.Freeze()
	fresh := a.Mint().String()
	mustRefuse(c, a, fresh, call.NotRun, call.ReasonDraining)
	c.Assert(a.InFlight(), qt.Equals, 2)

	c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
	c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil, qt.Commentf("repeated"))
	checkRefused(c, waiting.Dispatched(), queued, call.Unknown, call.ReasonDraining)
	mustForward(c, a, queued, b.Incarnation())
	c.Assert(a.OwnedIncarnations(), qt.HasLen, 0)
	mustReplay(c, b, done, "filed")
	mustRefuse(c, b, atUpstream, call.Unknown, call.ReasonDraining)
	mustRun(c, b, queued).Close()
	finish(c, mustRun(c, b, fresh), "fresh")
	c.Assert(running.Done(Answer{Body: []byte("late")}), qt.IsNil)
	mustReplay(c, a, atUpstream, "late")

	c.Assert(b.HandOver(ctx, third.Incarnation(), &link{to: third}), qt.IsNil)
	c.Assert(third.OwnedIncarnations(), qt.HasLen, 3)
	mustReplay(c, third, done, "filed")
	mustReplay(c, third, fresh, "fresh")
	mustReplay(c, b, done, "filed")
	mustForward(c, b, Mint("filing", b.Incarnation(), testStart, testRandom(8)).String(), third.Incarnation())
}

// The response to the commit is lost, so the old node doesn't know whether the
// successor is the owner. The old node must not thaw or choose another
// successor, because either would give a key two owners. It may retry with the
// same successor.
func TestCommitWithLostAnswer(t *testing.T) {
	for name, f := range map[string]fault{"committed": lostAfter, "not committed": lostBefore} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			a, _ := testNode(1, smallChunks)
			b, _ := testNode(2, nil)
			other, _ := testNode(3, nil)
			key, slow := a.Mint().String(), a.Mint().String()
			running := mustRun(c, a, slow)
			c.Assert(running.Dispatched(), qt.IsNil)
			finish(c, mustRun(c, a, a.Mint().String()), "filed")
			l := &link{to: b, fault: faults(works, works, f)}
			checkHandOver(c, a.HandOver(ctx, b.Incarnation(), l), "commit", true)
			checkHandOver(c, a.Thaw(), "thaw", true)
			checkHandOver(c, a.HandOver(ctx, other.Incarnation(), &link{to: other}), "begin", true)
			mustForward(c, a, key, b.Incarnation())
			// The table has changed, but the retry must send the old chunks.
			c.Assert(running.Done(Answer{Body: make([]byte, 1000)}), qt.IsNil)
			c.Assert(a.HandOver(ctx, b.Incarnation(), l), qt.IsNil)
			mustRefuse(c, b, slow, call.Unknown, call.ReasonDraining)
			finish(c, mustRun(c, b, key), "filed")
			checkHandOver(c, a.Thaw(), "thaw", false)
		})
	}
}

// An operator cancels a drain whose commit is still in flight. The old node
// continues only if the successor has promised to reject that commit. A commit
// that arrives afterwards must have no effect, or two nodes would be the owner.
// If the commit arrived first, the old node must give up its keys.
func TestCancelRacesTheCommit(t *testing.T) {
	c, ctx, a, b := twoNodes(t, nil)
	key := a.Mint().String()
	l := &link{to: b, fault: faults(works, appliedLater)}
	checkHandOver(c, a.HandOver(ctx, b.Incarnation(), l), "commit", true)
	c.Assert(a.Cancel(ctx, l), qt.IsNil)
	l.flush()
	finish(c, mustRun(c, a, key), "filed")
	mustForward(c, b, key, a.Incarnation())

	l = &link{to: b, fault: faults(works, lostAfter)}
	checkHandOver(c, a.HandOver(ctx, b.Incarnation(), l), "commit", true)
	checkHandOver(c, a.Cancel(ctx, l), "cancel", false)
	mustReplay(c, b, key, "filed")
	old := a.Mint().String()
	c.Assert(a.RenewIncarnation(NewIncarnation(testRandom(7))), qt.IsNil)
	mustForward(c, a, old, b.Incarnation())
	mustReplay(c, a, key, "filed")
	finish(c, mustRun(c, a, a.Mint().String()), "new")
}

// The successor crashes during a hand-over, and another process responds at its
// address. The successor may have committed and run keys before, so the old
// node can't take them back. It renews its incarnation, and the old keys are
// unknown.
func TestSuccessorDiesBeforeTheAnswer(t *testing.T) {
	c, ctx, a, b := twoNodes(t, nil)
	l := &link{to: b, fault: faults(works, lostAfter)}
	key := a.Mint().String()
	checkHandOver(c, a.HandOver(ctx, b.Incarnation(), l), "commit", true)
	l.to, _ = testNode(4, nil)
	checkHandOver(c, a.HandOver(ctx, b.Incarnation(), l), "stage", true)
	checkHandOver(c, a.Cancel(ctx, l), "cancel", true)
	c.Assert(a.RenewIncarnation(NewIncarnation(testRandom(7))), qt.IsNil)
	mustForward(c, a, key, b.Incarnation())
	k, _, err := ParseKey(key)
	c.Assert(err, qt.IsNil)
	mustForward(c, l.to, key, k.Home)
}

// The old node crashes after it sent some chunks, before the commit. The
// successor must not become the owner of a partial table, in which keys that
// ran look absent, and must free the capacity that it reserved.
func TestOldNodeDiesBeforeTheCommit(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	a, _ := testNode(1, smallChunks)
	b, clock := testNode(2, nil)
	for i := range 5 {
		finish(c, mustRun(c, a, a.Mint().String()), fmt.Sprint(i))
	}
	l := &link{to: b, fault: faults(works, works, lostAfter)}
	checkHandOver(c, a.HandOver(ctx, b.Incarnation(), l), "stage", false)
	c.Assert(b.Len(), qt.Equals, 3)
	err := b.Commit(ctx, CommitRequest{From: a.Incarnation(), To: b.Incarnation(), Attempt: 1, Total: 5})
	c.Assert(err, qt.DeepEquals, &InheritError{Code: InheritIncomplete, From: a.Incarnation(), Attempt: 1})
	mustForward(c, b, a.Mint().String(), a.Incarnation())
	clock.advance(DefaultStagedTimeout + time.Second)
	b.Sweep()
	c.Assert(b.Len(), qt.Equals, 0)
}

// The successor's clock is a day behind the old node's clock, and the old node
// has dropped an expired key that ran. By its own clock the successor would
// consider the key valid and absent, and would run it again. It must adopt the
// old owner's time together with its keys.
func TestSuccessorWithAClockBehind(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	a, clock := testNode(1, nil)
	b, successorClock := testNode(2, nil)
	key := a.Mint().String()
	finish(c, mustRun(c, a, key), "filed")
	clock.advance(DefaultWindow + time.Second)
	a.Sweep()
	young := a.Mint().String()
	c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
	mustRefuse(c, b, key, call.Unknown, call.ReasonKeyExpired)
	finish(c, mustRun(c, b, young), "young")
	successorClock.advance(DefaultWindow + DefaultMaxSkew + time.Second)
	b.Sweep()
	c.Assert(b.OwnedIncarnations(), qt.HasLen, 1, qt.Commentf("an inherited incarnation is dropped when its keys have expired"))
	mustForward(c, b, young, a.Incarnation())
}

// A caller-supplied key was claimed and not run on a node that drained. Its
// claim in the store names the old incarnation. The successor must be able to
// run the key, and the renewed old node must not run it.
func TestReleasedClaimGoesToTheSuccessor(t *testing.T) {
	c, ctx, a, b := twoNodes(t, withStore(newFakeStore()))
	c.Assert(mustRun(c, a, suppliedKey).NotRun(), qt.IsNil)
	c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
	c.Assert(a.RenewIncarnation(NewIncarnation(testRandom(7))), qt.IsNil)
	finish(c, mustRun(c, b, suppliedKey), "filed")
	mustForward(c, a, suppliedKey, b.Incarnation())
	mustReplay(c, b, suppliedKey, "filed")
}

// Two nodes drain at the same time and choose each other as successor. Neither
// may take over the other's keys, because it would not hand them on. Both can
// continue.
func TestSuccessorThatDrainsItself(t *testing.T) {
	c, ctx, a, b := twoNodes(t, nil)
	key := a.Mint().String()
	b.Freeze()
	checkHandOver(c, a.HandOver(ctx, b.Incarnation(), &link{to: b}), "stage", false)
	checkHandOver(c, b.HandOver(ctx, a.Incarnation(), &link{to: a}), "stage", false)
	c.Assert(a.Thaw(), qt.IsNil)
	finish(c, mustRun(c, a, key), "filed")
}

// Many goroutines send calls to both nodes while one node hands over to the
// other. Regardless of the order of their steps, each key reaches the upstream
// at most once, and calls at the upstream complete normally.
func TestHandOverUnderConcurrentCalls(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for round := range byte(20) {
		a, _ := testNode(1+2*round, smallChunks)
		b, _ := testNode(2+2*round, smallChunks)
		nodes := map[Incarnation]*Table{a.Incarnation(): a, b.Incarnation(): b}
		const keys = 256
		var handed atomic.Bool
		var executed [keys]atomic.Int32
		var names [keys]string
		for i := range names {
			names[i] = a.Mint().String()
		}
		var group sync.WaitGroup
		for worker := range 8 {
			group.Go(func() {
				for i := worker * keys / 8; !handed.Load() || i < 2*keys; i++ {
					if runOnce(nodes, []*Table{a, b}[worker%2], names[i%keys]) {
						executed[i%keys].Add(1)
					}
				}
			})
		}
		for a.Len() < keys/2 {
			runtime.Gosched()
		}
		a.Freeze()
		c.Assert(a.WaitIdle(ctx), qt.IsNil)
		c.Assert(a.HandOver(ctx, b.Incarnation(), &link{to: b}), qt.IsNil)
		handed.Store(true)
		group.Wait()
		for n := range executed {
			c.Assert(executed[n].Load() <= 1, qt.IsTrue)
		}
		c.Assert(a.InFlight()+b.InFlight(), qt.Equals, 0)
	}
}

// runOnce presents a key, follows it to its owner and reports whether it ran.
func runOnce(nodes map[Incarnation]*Table, at *Table, key string) bool {
	for range 4 {
		v, err := present(at, key)
		switch {
		case err != nil || v.Kind == Replay:
			return false
		case v.Kind == Forward:
			at = nodes[v.Owner]
			continue
		}
		defer v.Run.Close()
		if v.Run.Dispatched() != nil {
			return false
		}
		return v.Run.Done(Answer{}) == nil
	}
	return false
}
