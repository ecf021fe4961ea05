package atmostonce

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

func present(t *Table, key string) (Verdict, error) {
	return t.Begin(context.Background(), Presentation{Key: key})
}

// mustRun presents a key and requires the verdict RunNow.
func mustRun(c *qt.C, t *Table, key string) *Run {
	c.Helper()
	v, err := present(t, key)
	c.Assert(err, qt.IsNil)
	c.Assert(v.Kind, qt.Equals, RunNow)
	return v.Run
}

func finish(c *qt.C, r *Run, body string) {
	c.Helper()
	c.Assert(r.Dispatched(), qt.IsNil)
	c.Assert(r.Done(Answer{Status: http.StatusOK, Body: []byte(body)}), qt.IsNil)
}

// mustRefuse presents a key and requires that it be rejected with the given
// outcome and reason.
func mustRefuse(c *qt.C, t *Table, key string, outcome call.Outcome, reason call.Reason) {
	c.Helper()
	_, err := present(t, key)
	checkRefused(c, err, key, outcome, reason)
}

func checkRefused(c *qt.C, err error, key string, outcome call.Outcome, reason call.Reason) {
	c.Helper()
	c.Assert(err, qt.DeepEquals, &RefusedError{Key: key, Outcome: outcome, Reason: reason})
}

func mustForward(c *qt.C, t *Table, key string, home Incarnation) {
	c.Helper()
	v, err := present(t, key)
	c.Assert(err, qt.IsNil)
	c.Assert(v, qt.DeepEquals, Verdict{Kind: Forward, Owner: home})
}

func mustReplay(c *qt.C, t *Table, key, body string) {
	c.Helper()
	v, err := present(t, key)
	c.Assert(err, qt.IsNil)
	c.Assert(v.Kind, qt.Equals, Replay)
	c.Assert(string(v.Answer.Body), qt.Equals, body)
}

// A client's connection breaks while its filing runs, and the client sends the
// filing again. A second presentation that arrives before the response must
// wait for the response of the first, and one that arrives after it must get
// the stored response. A presentation whose caller gives up while it waits must
// be reported as unknown, because the filing may still run.
func TestSecondPresentationGetsTheAnswerOfTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, _ := testNode(1, nil)
		key := table.Mint().String()
		run := mustRun(c, table, key)
		bodies := make(chan string)
		go func() {
			v, _ := present(table, key)
			bodies <- string(v.Answer.Body)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := table.Begin(ctx, Presentation{Key: key})
		checkRefused(c, err, key, call.Unknown, call.ReasonTimeout)
		finish(c, run, "filed")
		c.Assert(<-bodies, qt.Equals, "filed")
		mustReplay(c, table, key, "filed")
		c.Assert(table.InFlight(), qt.Equals, 0)
	})
}

// Admission rejects a filing while a second presentation of it waits. The first
// caller is told not-run; the waiting presentation gets the key and may run it.
// A run that its holder closes without a result must not leave others waiting.
func TestNotRunLetsAWaiterRunTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, _ := testNode(1, nil)
		key := table.Mint().String()
		first := mustRun(c, table, key)
		runs := make(chan *Run)
		go func() {
			v, _ := present(table, key)
			runs <- v.Run
		}()
		synctest.Wait()
		c.Assert(first.NotRun(), qt.IsNil)
		second := <-runs
		c.Assert(first.Dispatched(), qt.IsNotNil)
		c.Assert(second.Dispatched(), qt.IsNil)
		second.Close()
		mustRefuse(c, table, key, call.Unknown, call.ReasonLost)
		// The response arrives late, after the caller's deadline.
		c.Assert(second.Done(Answer{Body: []byte("late")}), qt.IsNil)
		mustReplay(c, table, key, "late")
		var wrong *RunError
		c.Assert(errors.As(second.NotRun(), &wrong), qt.IsTrue)
	})
}

// The table is full of fates inside their window. A new filing is rejected as
// not-run. No old fate is evicted to free capacity, because a retry of its call
// would run again. Expired fates free capacity.
func TestFullTableRefusesAndNeverForgets(t *testing.T) {
	c := qt.New(t)
	table, clock := testNode(1, func(cfg *Config) { cfg.MaxEntries = 2 })
	first, second, third := table.Mint().String(), table.Mint().String(), table.Mint().String()
	finish(c, mustRun(c, table, first), "1")
	run := mustRun(c, table, second)
	c.Assert(run.Dispatched(), qt.IsNil)
	mustRefuse(c, table, third, call.NotRun, call.ReasonKeyTableFull)
	mustReplay(c, table, first, "1")
	clock.advance(DefaultWindow + time.Second)
	c.Assert(table.Sweep(), qt.Equals, 1, qt.Commentf("the call in flight stays"))
	mustRun(c, table, table.Mint().String())
	c.Assert(run.Unknown(call.ReasonTimeout), qt.IsNil)
	c.Assert(table.List(AttentionFilters(time.Hour)[0]), qt.HasLen, 1)
}

// A key expires and its fate is dropped. Then the wall clock steps back by two
// days, for example because of a wrong time server, and the key looks recent
// again. It must still be rejected as unknown, because it has run.
func TestClockThatStepsBackDoesNotReviveAKey(t *testing.T) {
	c := qt.New(t)
	table, clock := testNode(1, nil)
	key := table.Mint().String()
	finish(c, mustRun(c, table, key), "filed")
	clock.advance(DefaultWindow + time.Second)
	c.Assert(table.Sweep(), qt.Equals, 1)
	clock.advance(-2 * DefaultWindow)
	mustRefuse(c, table, key, call.Unknown, call.ReasonKeyExpired)
	future := Mint("filing", table.Incarnation(), table.Now().Add(2*DefaultMaxSkew), testRandom(9))
	mustRefuse(c, table, future.String(), call.NotRun, call.ReasonBadRequest)
}

// A response is larger than the table stores, or its stored answer is dropped
// for newer ones. A retry must not be reported as complete without the
// response, and must not run.
func TestAnswerThatIsNotStoredIsUnknown(t *testing.T) {
	c := qt.New(t)
	table, _ := testNode(1, func(cfg *Config) { cfg.MaxAnswerBytes, cfg.MaxTotalBytes = 100, 100*shardCount })
	large := table.Mint().String()
	finish(c, mustRun(c, table, large), string(make([]byte, 200)))
	mustRefuse(c, table, large, call.Unknown, call.ReasonAnswerNotHeld)
	dropped := 0
	for range 10 * shardCount {
		finish(c, mustRun(c, table, table.Mint().String()), string(make([]byte, 40)))
	}
	for _, fate := range table.List(Filter{States: []State{StateDone}}) {
		if !fate.AnswerHeld {
			dropped++
		}
	}
	c.Assert(dropped > 8*shardCount, qt.IsTrue)
	c.Assert(table.Len(), qt.Equals, 1+10*shardCount)
}

// An owner crashes after it ran a filing, and restarts with an empty table and
// a new incarnation. No node may run a retry: every node forwards it to the
// incarnation that no longer exists. If the presentation was durable, the fate
// can be read from the store.
func TestRestartedOwnerNeverRunsOldKeys(t *testing.T) {
	c := qt.New(t)
	store := newFakeStore()
	home, _ := testNode(1, withStore(store))
	key := home.Mint().String()
	v, err := home.Begin(context.Background(), Presentation{Key: key, Durable: true})
	c.Assert(err, qt.IsNil)
	finish(c, v.Run, "filed")
	store.script(lostAfter)
	c.Assert(home.Sync(context.Background(), 10).Saved, qt.Equals, 1)

	restarted, _ := testNode(2, withStore(store))
	mustForward(c, restarted, key, home.Incarnation())
	v, err = restarted.ReadStoredFate(context.Background(), key)
	c.Assert(err, qt.IsNil)
	c.Assert(string(v.Answer.Body), qt.Equals, "filed")
	lost := home.Mint().String()
	_, err = restarted.ReadStoredFate(context.Background(), lost)
	checkRefused(c, err, lost, call.Unknown, call.ReasonKeyHomeGone)
}
