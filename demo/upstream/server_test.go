package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

const testWork = time.Millisecond

func newTestServer(c *qt.C, route Route, workers int) (*Server, *Ledger) {
	l := NewLedger()
	u, err := New(Settings{
		Service: "filing", Workers: workers, Connections: 64, Ledger: l,
		Graph: Graph{"filing": {"x": route}, "tracker": {"y": {}}},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(u.Close)
	return u, l
}

func get(ctx context.Context, u *Server, stamp Stamp) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr()+"/x", nil)
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(HeaderOperation, stamp.String())
	req.Header.Set(call.HeaderVisit, "visit-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// A downstream call is refused with the outcome not-run. The upstream may pass
// that outcome on only before it has done any work of its own. Afterwards the
// request is partly done, and a caller that receives not-run would retry and
// have the work done twice.
func TestNotRunIsPassedOnOnlyBeforeWork(t *testing.T) {
	c := qt.New(t)
	work := Step{Work: Distribution{Median: testWork}}
	downstream := Step{Calls: []Call{{"tracker", "y"}}}
	for name, test := range map[string]struct {
		steps   []Step
		outcome call.Outcome
		state   State
	}{
		"call, then work": {[]Step{downstream, work}, call.NotRun, Refused},
		"work, then call": {[]Step{work, downstream}, call.Unknown, Abandoned},
	} {
		c.Run(name, func(c *qt.C) {
			var seen *http.Request
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen = r
				w.Header().Set(call.HeaderOutcome, call.NotRun.String())
				w.Header().Set(call.HeaderReason, string(call.ReasonLevel))
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			c.Cleanup(node.Close)
			u, l := newTestServer(c, Route{Steps: test.steps}, 1)
			u.SetOutbound(node.Listener.Addr().String())

			resp, _, err := get(context.Background(), u, Stamp{"op", 1})
			c.Assert(err, qt.IsNil)
			c.Check(resp.Header.Get(call.HeaderOutcome), qt.Equals, test.outcome.String())
			c.Check(resp.Header.Get(call.HeaderReason), qt.Equals, string(call.ReasonLevel))
			c.Check(l.Executions("op")[0].State, qt.Equals, test.state)
			c.Check(seen.Host, qt.Equals, "tracker")
			c.Check(seen.Header.Get(call.HeaderVisit), qt.Equals, "visit-1")
			c.Check(seen.Header.Get(HeaderOperation), qt.Equals, "op.1")
		})
	}
}

// A caller disconnects while its request is queued behind a frozen request. The
// queued request must leave the queue without running and count as refused.
func TestQueuedRequestOfAGoneCallerNeverRuns(t *testing.T) {
	c := qt.New(t)
	u, l := newTestServer(c, Route{Steps: []Step{{Work: Distribution{Median: testWork}}}}, 1)
	u.Freeze()
	first := make(chan error, 1)
	go func() {
		_, _, err := get(context.Background(), u, Stamp{"first", 1})
		first <- err
	}()
	await(func() bool { return u.busy.Load() == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	second := make(chan error, 1)
	go func() {
		_, _, err := get(ctx, u, Stamp{"second", 1})
		second <- err
	}()
	await(func() bool { return u.queued.Load() == 1 })
	cancel()
	c.Check(<-second, qt.ErrorIs, context.Canceled)
	await(func() bool { return u.queued.Load() == 0 })
	u.Thaw()
	c.Assert(<-first, qt.IsNil)
	await(func() bool { return l.Executions("second")[0].State == Refused })
	c.Check(l.Executions("first")[0].State, qt.Equals, Finished)
}

func await(ready func() bool) {
	for !ready() {
		time.Sleep(testWork)
	}
}

func TestReportsLagAndLie(t *testing.T) {
	c := qt.New(t)
	var r reports
	start := time.Unix(100, 0)
	c.Check(r.report(2, start), qt.Equals, 2.0)
	r.set, r.reporting = true, Reporting{Lag: time.Second, Factor: 0.5}
	c.Check(r.report(2, start), qt.Equals, 1.0)
	c.Check(r.report(8, start.Add(time.Second/2)), qt.Equals, 1.0)
	c.Check(r.report(8, start.Add(time.Second)), qt.Equals, 4.0)
}
