package node

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/shutdown"
)

// parseWithDeadline parses a set in which all deadlines are replaced.
func (f *fleet) parseWithDeadline(text string, deadline time.Duration) config.Set {
	text = regexp.MustCompile(`deadline: \d+s`).ReplaceAllString(text, "deadline: "+deadline.String())
	set, err := config.Parse([]byte(strings.ReplaceAll(text, "target: 1s", "target: 100ms")), config.YAML)
	f.c.Assert(err, qt.IsNil)
	set.Version = 2
	return set
}

// restart describes a rolling restart beside upstreams that make calls in a row.
type restart struct {
	drain, timeout, callTime time.Duration
	calls                    int
}

// restartResult is what became of the requests around a restart.
type restartResult struct {
	answers map[int]int
	// cut counts the calls that were broken off at their upstream, unanswered the requests
	// that the node read and closed the connection of.
	cut        int
	unanswered int64
}

// restartUnderCalls lets one of two desk nodes shut down under requests that each make calls to
// the stock service.
func (f *fleet) restartUnderCalls(r restart) restartResult {
	set := f.parseWithDeadline(stockSet, r.timeout)
	result := restartResult{answers: make(map[int]int)}
	var mu sync.Mutex
	const slots = 500
	settings := func(s *Settings) { s.DrainTimeout = r.drain }
	nodes := map[string]*Node{}
	for _, name := range []string{"front-1", "front-2"} {
		nodes[name] = f.addRouted(name, "desk", slots, func(w http.ResponseWriter, req *http.Request, _ func(string, string, string) (*http.Response, error)) {
			id := req.Header.Get("X-Id")
			w.Header().Set("X-Echo", id)
			for i := range r.calls {
				if got := f.askRouted(nodes[name], "/stock/x", id+"/"+strconv.Itoa(i)); got.status != http.StatusOK {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
			}
		}, settings)
	}
	for _, name := range []string{"back-1", "back-2"} {
		f.addRouted(name, "stock", slots, func(w http.ResponseWriter, req *http.Request, _ func(string, string, string) (*http.Response, error)) {
			select {
			case <-req.Context().Done():
				mu.Lock()
				result.cut++
				mu.Unlock()
			case <-time.After(r.callTime):
				echo(w, req, nil)
			}
		})
	}
	for _, n := range f.nodes {
		f.c.Assert(n.OfferConfig(set), qt.IsNil)
	}
	f.settle()
	runTime := time.Duration(r.calls) * r.callTime
	var callers sync.WaitGroup
	var drained <-chan struct{}
	const interval = 125 * time.Millisecond
	warm := int(runTime/interval) + 40
	for i := range warm + int((r.drain+2*time.Second)/interval) {
		if i == warm {
			drained = f.drainInBackground(nodes["front-1"])
		}
		for name, n := range nodes {
			callers.Go(func() {
				got := f.askRouted(n, "/browse/x", name+strconv.Itoa(i))
				mu.Lock()
				result.answers[got.status]++
				mu.Unlock()
			})
		}
		time.Sleep(interval)
	}
	callers.Wait()
	<-drained
	result.unanswered = nodes["front-1"].inflight.Counts().Cut
	return result
}

// Guards against requests that fail, and calls that are broken off, because a node on their way
// shuts down: each request either completes, or is refused as not run or meets a closed listener.
func TestShutdownFailsNoRequestThatFits(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, r := range map[string]restart{
		"five calls, nearly as long as the deadline": {drain: 5 * s, timeout: 5 * s, callTime: 900 * ms, calls: 5},
		"one call for most of the deadline":          {drain: 5 * s, timeout: 5 * s, callTime: 4 * s, calls: 1},
		"many short calls":                           {drain: 3 * s, timeout: 2 * s, callTime: 100 * ms, calls: 15},
		"a deadline beyond the shutdown":             {drain: 5 * s, timeout: 20 * s, callTime: 700 * ms, calls: 6},
		"a long shutdown":                            {drain: 9 * s, timeout: 5 * s, callTime: 900 * ms, calls: 5},
		"a short shutdown":                           {drain: s, timeout: 900 * ms, callTime: 150 * ms, calls: 5},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				got := f.restartUnderCalls(r)
				f.c.Check(got.answers[http.StatusOK] > 100, qt.IsTrue, qt.Commentf("%v", got.answers))
				for status, count := range got.answers {
					notRun := status == 0 || status == http.StatusServiceUnavailable
					f.c.Check(status == http.StatusOK || notRun, qt.IsTrue, qt.Commentf("status %d: %d of %v", status, count, got.answers))
				}
				f.c.Check(got.cut, qt.Equals, 0)
				f.c.Check(got.unanswered, qt.Equals, int64(0))
			})
		})
	}
}

// shutDownSince makes a node one whose shutdown of 5 s has begun some time ago.
func shutDownSince(n *Node, ago time.Duration) {
	plan := shutdown.NewPlan(n.now().Add(-ago), 5*time.Second)
	n.shutdownPlan.Store(&plan)
}

// Guards against a node that accepts requests late in its shutdown because the timer that closes
// it is late, as on a busy machine or after the process was stopped.
func TestLateTimerAcceptsNoRequests(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		f.settle()
		shutDownSince(n, 2600*time.Millisecond)
		got := f.askRouted(n, "/browse/x", "r")
		f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(got.reason, qt.Equals, string(call.ReasonDraining))
		f.c.Check(n.runPeer(f.t.Context(), &request{}).report.Reason, qt.Equals, call.ReasonDraining)
		f.c.Check(f.runs.of("desk", ""), qt.Equals, 0)
	})
}

// Guards against a call of the upstream that begins so late in a shutdown that its end breaks the
// call off, and against an upstream that is told that it has longer.
func TestLateCallsEndWithTheShutdown(t *testing.T) {
	for _, test := range []struct {
		name            string
		ago, took, left time.Duration
		status          int
	}{
		{"unmeasured, while requests are accepted", 2400 * time.Millisecond, 0, time.Minute, http.StatusOK},
		{"unmeasured, later", 2600 * time.Millisecond, 0, time.Minute, http.StatusServiceUnavailable},
		{"usually short", 4 * time.Second, 300 * time.Millisecond, time.Minute, http.StatusOK},
		{"usually too long", 4 * time.Second, 900 * time.Millisecond, time.Minute, http.StatusServiceUnavailable},
		{"with a deadline before the end", 4800 * time.Millisecond, 900 * time.Millisecond, 100 * time.Millisecond, http.StatusOK},
		{"after the end", 5 * time.Second, time.Millisecond, 100 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				var timeout string
				n := f.addRouted("a", "desk", 10, echo)
				f.addRouted("b", "stock", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
					timeout = r.Header.Get("X-Timeout")
					echo(w, r, nil)
				})
				set := f.parseWithDeadline(stockSet, time.Minute)
				for _, n := range f.nodes {
					f.c.Assert(n.OfferConfig(set), qt.IsNil)
				}
				f.settle()
				for range 20 * min(test.took, 1) {
					n.callTimes.Add("lookup", test.took, n.now())
				}
				v := &visit{deadline: n.now().Add(test.left)}
				defer n.startVisitContext(f.t.Context(), v)()
				n.visits.addAs(v, "p")
				shutDownSince(n, test.ago)
				f.c.Check(f.askRouted(n, "/stock/x", "p/1").status, qt.Equals, test.status)
				if test.status != http.StatusOK {
					f.c.Check(timeout, qt.Equals, "")
					return
				}
				told, err := strconv.Atoi(timeout)
				f.c.Assert(err, qt.IsNil)
				f.c.Check(time.Duration(told)*time.Millisecond <= 5*time.Second-test.ago, qt.IsTrue, qt.Commentf("told %d ms", told))
			})
		})
	}
}

// Guards against a request of a caller that a node accepts although its shutdown will break the
// request off.
func TestShutdownRefusesCallersWhoseRequestsTakeTooLong(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		f.c.Assert(n.OfferConfig(f.parseWithDeadline(routedSet, 20*time.Second)), qt.IsNil)
		f.settle()
		for i := range 20 {
			n.callTimes.Add("read", time.Duration(i)*300*time.Millisecond, n.now())
		}
		shutDownSince(n, 0)
		f.c.Check(f.askRouted(n, "/browse/x", "r1").status, qt.Equals, http.StatusOK)
		shutDownSince(n, 2*time.Second)
		got := f.askRouted(n, "/browse/x", "r2")
		f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(got.reason, qt.Equals, string(call.ReasonDraining))
	})
}

// Guards against a run that waits in the queue, begins late in a shutdown and then lacks its
// calls.
func TestQueuedRunsAreRefusedOnceTheyDoNotFit(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 1, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			time.Sleep(300 * time.Millisecond)
			echo(w, r, nil)
		})
		f.c.Assert(n.OfferConfig(f.parseWithDeadline(routedSet, 20*time.Second)), qt.IsNil)
		f.settle()
		for range 20 {
			n.runTimes.Add("read", 2*time.Second, n.now())
		}
		go f.askRouted(n, "/browse/x", "r1")
		time.Sleep(50 * time.Millisecond)
		queued := make(chan reply)
		go func() { queued <- f.askRouted(n, "/browse/x", "r2") }()
		time.Sleep(50 * time.Millisecond)
		// There is time left for a run that begins now, and not when the slot becomes free.
		shutDownSince(n, 2500*time.Millisecond)
		got := <-queued
		f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(got.reason, qt.Equals, string(call.ReasonDraining))
		f.c.Check(f.runs.of("desk", ""), qt.Equals, 1)
		f.c.Check(n.gate.InFlight(), qt.Equals, 0)
	})
}
