package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against missed and false duplicates. If the first run is abandoned
// half-way and a retry runs again, both did work (a customer books once and two
// plumbers come), so the ledger must count a duplicate. A request that was
// refused before any work doesn't count as a run.
func TestLedgerTellsDuplicatesFromRefusals(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		steps []func(*Entry)
		want  int
	}{
		"refused, then finished":   {[]func(*Entry){refuse, finish}, 0},
		"abandoned, then finished": {[]func(*Entry){abandon, finish}, 1},
		"finished three times":     {[]func(*Entry){finish, finish, finish}, 2},
	} {
		c.Run(name, func(c *qt.C) {
			l := NewLedger()
			for i, step := range test.steps {
				step(l.Arrive("op", Execution{Try: i + 1, Service: "dispatch", Route: "bookings", Once: true}))
			}
			c.Check(Duplicates(l.Executions("op")), qt.Equals, test.want)
			c.Check(Duplicates(l.Executions("other")), qt.Equals, 0)
		})
	}
}

func refuse(e *Entry) { e.GiveUp() }

func abandon(e *Entry) { e.Begin(time.Unix(1, 0)); e.GiveUp() }

func finish(e *Entry) { e.Begin(time.Unix(1, 0)); e.AddWork(time.Second); e.Finish() }

// A retry at the first hop repeats its downstream calls. These are first
// attempts of a second execution; counting them as retries would overstate the
// retries of the chain.
func TestRetriesAreCountedPerCallSite(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	for range 2 {
		root := l.Arrive("op", Execution{Try: 1, Service: "filing", Route: "cases"})
		l.Arrive("op", Execution{Try: 1, Parent: root.id, Service: "tracker", Route: "history"})
		abandon(root)
	}
	l.Arrive("op", Execution{Try: 2, Service: "filing", Route: "cases"})
	executions := l.Executions("op")
	c.Check(Retries(executions, 1), qt.Equals, 1)
	c.Check(Retries(executions, 2), qt.Equals, 0)
	c.Check(RanBy(executions, 1), qt.IsTrue)
	c.Check(RanBy(executions, 2), qt.IsFalse)
}

func TestGraphRefusesOnceWorkReachedTwice(t *testing.T) {
	c := qt.New(t)
	graph := Graph{
		"a": {"x": {Steps: []Step{{Calls: []Call{{"b", "w"}}}, {Calls: []Call{{"b", "w"}}}}}},
		"b": {"w": {Once: true}},
	}
	var route *RouteError
	c.Assert(graph.Validate(), qt.ErrorAs, &route)
	c.Check(route.Service, qt.Equals, "b")
	graph["a"]["x"] = Route{Steps: []Step{{Calls: []Call{{"b", "missing"}}}}}
	c.Check(graph.Validate(), qt.ErrorMatches, "route b/missing: called but not served")
}
