package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// stockSet adds a route to the service that the desk's upstream calls.
const stockSet = `
version: 2
profiles:
  - {name: default, priority: 0}
  - {name: read, priority: 13, deadline: 5s, target: 1s, maxWait: 500ms, credit: 1}
  - {name: lookup, priority: 13, deadline: 2s, target: 1s, maxWait: 500ms, credit: 1}
routes:
  - {name: browse, host: desk.example, pathPrefix: /browse/, profile: read, shares: [{service: desk, weight: 1}]}
  - {name: stock, host: desk.example, pathPrefix: /stock/, profile: lookup, shares: [{service: stock, weight: 1}]}
`

// abandonedCall is what happened to a call whose visit lost its caller while the call ran.
type abandonedCall struct {
	reply reply
	// cut is set if the run of the call was broken off, cutAfter is how long after the caller
	// had disconnected.
	cut      bool
	cutAfter time.Duration
}

// abandonDuringCall lets a caller leave while the upstream of front makes a call that takes
// work at the stock service. before runs 50 ms after the call was sent, and the caller
// leaves another 50 ms later.
func (f *fleet) abandonDuringCall(work time.Duration, before func(front *Node)) abandonedCall {
	var result abandonedCall
	answered := make(chan struct{})
	cuts := make(chan time.Time, 1)
	var front *Node
	edge := f.addRouted("edge", "edge", 10, echo)
	front = f.addRouted("front", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
		result.reply = f.askRouted(front, "/stock/x", r.Header.Get("X-Id")+"/1")
		close(answered)
		echo(w, r, nil)
	})
	f.addRouted("back", "stock", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
		select {
		case <-r.Context().Done():
			cuts <- time.Now()
		case <-time.After(work):
			echo(w, r, nil)
		}
	})
	set, err := config.Parse([]byte(stockSet), config.YAML)
	f.c.Assert(err, qt.IsNil)
	for _, n := range f.nodes {
		f.c.Assert(n.OfferConfig(set), qt.IsNil)
	}
	f.settle()
	conn := f.dialFromOutside(edge, OutboundListener)
	f.sendOn(conn, "/browse/a", "r")
	time.Sleep(50 * time.Millisecond)
	before(front)
	time.Sleep(50 * time.Millisecond)
	left := time.Now()
	_ = conn.Close()
	<-answered
	time.Sleep(time.Second)
	select {
	case at := <-cuts:
		result.cut, result.cutAfter = true, at.Sub(left)
	default:
	}
	return result
}

// Guards against a node that is shutting down, breaks off a call of its upstream because the
// request that the call belongs to has lost its caller, and answers the call itself.
func TestCallsOfAnAbandonedVisitAreCompletedInADrain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		got := f.abandonDuringCall(900*time.Millisecond, func(front *Node) { f.drainInBackground(front) })
		f.c.Check(got.reply.status, qt.Equals, http.StatusOK, qt.Commentf("%s %s", got.reply.reason, got.reply.body))
		f.c.Check(got.cut, qt.IsFalse)
	})
}

// Guards against a call that is broken off, and whose connection is closed, although it would
// end a moment later.
func TestShortCallsOfAnAbandonedVisitAreCompleted(t *testing.T) {
	inFleet(t, func(f *fleet) {
		got := f.abandonDuringCall(150*time.Millisecond, func(*Node) {
			for range 20 {
				f.nodes["back"].work.Add("lookup", 150*time.Millisecond)
				f.nodes["front"].work.Add("read", 200*time.Millisecond)
			}
		})
		f.c.Check(got.reply.status, qt.Equals, http.StatusOK, qt.Commentf("%s %s", got.reply.reason, got.reply.body))
		f.c.Check(got.cut, qt.IsFalse)
	})
}

// Guards against an upstream that works for long on a call which nobody needs any more.
func TestLongCallsOfAnAbandonedVisitAreAborted(t *testing.T) {
	inFleet(t, func(f *fleet) {
		got := f.abandonDuringCall(5*time.Second, func(*Node) {
			for range 20 {
				f.nodes["back"].work.Add("lookup", 100*time.Millisecond)
				f.nodes["front"].work.Add("read", 100*time.Millisecond)
			}
		})
		f.c.Check(got.cut, qt.IsTrue)
		f.c.Check(got.cutAfter < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got.cutAfter))
	})
}

// Guards against further work for a request that nobody waits for: the upstream goes on after
// its caller has disconnected, and makes another call.
func TestAbandonedVisitsMakeNoFurtherCalls(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		parent := &visit{deadline: n.now().Add(time.Second)}
		n.visits.addAs(parent, "p")
		parent.abandon()
		f.settle()
		got := f.askRouted(n, "/browse/x", "p/1")
		f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(got.reason, qt.Equals, string(call.ReasonVisitClosed))
		f.c.Check(f.runs.of("desk", ""), qt.Equals, 0)
	})
}

// Guards against memory that grows with the callers that disconnect, and against runs that
// outlast their node.
func TestAbandonedRunsAreBounded(t *testing.T) {
	c := qt.New(t)
	var runs abandonedRuns
	for range maxAbandonedRuns {
		c.Check(runs.full(), qt.IsFalse)
		c.Check(runs.add(&visit{}), qt.IsTrue)
	}
	c.Check(runs.full(), qt.IsTrue)
	runs.close()
	c.Check(runs.add(&visit{}), qt.IsFalse)
}

// Guards against a run that outlasts its node: the close of a connection with a pipelined
// request is not noticed, so the run did not end with its caller's connection.
func TestRunsEndWithTheirNode(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			<-r.Context().Done()
		})
		f.settle()
		conn := f.sendPipelined(n, "/file/a", "/file/b")
		defer conn.Close()
		time.Sleep(time.Second)
		run, ok := n.visits.find("r0")
		f.c.Assert(ok, qt.IsTrue)
		n.Close()
		f.c.Check(run.ctx.Err(), qt.IsNotNil)
		time.Sleep(100 * time.Millisecond)
	})
}

// Guards against a call of another node that is accepted at the end of a drain and cut when
// the node closes.
func TestCallsOfOtherNodesAreRefusedAtTheEndOfADrain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		n.closed.Store(true)
		a := n.runPeer(f.t.Context(), &request{})
		f.c.Check(a.report.Outcome, qt.Equals, call.NotRun)
		f.c.Check(a.report.Reason, qt.Equals, call.ReasonDraining)
	})
}

// Guards against a run whose caller has disconnected before the run begins: its visit must have
// a context by the time that it is decided whether the run may finish.
func TestCallerDisconnectsBeforeItsRunBegins(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		for range 20 {
			n.work.Add("read", 10*time.Millisecond)
		}
		ctx, cancel := context.WithCancel(f.t.Context())
		cancel()
		v := &visit{deadline: n.now().Add(time.Minute), started: n.now(), call: call.Context{Profile: "read"}}
		release := n.startVisitContext(ctx, v)
		time.Sleep(time.Second)
		f.c.Check(v.isAbandoned(), qt.IsTrue)
		f.c.Check(v.ctx.Err(), qt.IsNotNil)
		release()
	})
}

// Guards against runs that are tracked for ever, until no run may finish any more: a run may
// end at the moment when its caller disconnects.
func TestEndedRunsAreNotTracked(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		for range 20 {
			n.work.Add("read", 10*time.Millisecond)
		}
		v := &visit{deadline: n.now().Add(time.Minute), started: n.now(), call: call.Context{Profile: "read"}}
		release := n.startVisitContext(f.t.Context(), v)
		release()
		n.callerDisconnected(v)
		time.Sleep(time.Millisecond)
		f.c.Check(n.abandoned.count(), qt.Equals, 0)
	})
}
