package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The calls that a visit needs are learned from successful visits only. Failed
// visits end at their first failed call. If they counted, a visit of four calls
// would seem to need one or two just when calls fail, and its first call would
// look like its last.
func TestNeedsComeFromSuccessfulVisits(t *testing.T) {
	c := qt.New(t)
	g := NewCallGraph()
	now := time.Unix(0, 0)
	c.Check(g.CallsNeeded("lookup", "index"), qt.Equals, 0)
	for range 20 {
		g.RecordVisit("lookup", now)
		for range 4 {
			g.RecordCall("lookup", "index", now)
		}
		g.RecordSuccess("lookup", map[string]int{"index": 4, "fees": 1}, now)
		now = now.Add(100 * time.Millisecond)
	}
	for range 500 { // all of these fail at their first call
		g.RecordVisit("lookup", now)
		g.RecordCall("lookup", "index", now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Check(g.CallsNeeded("lookup", "index"), qt.Equals, 4)
	c.Check(g.CallsNeeded("lookup", "fees"), qt.Equals, 1)
	c.Check(g.CallsNeeded("lookup", "other"), qt.Equals, 0)
	for range 50 { // the service has changed and now makes two calls
		g.RecordSuccess("lookup", map[string]int{"index": 2}, now)
	}
	c.Check(g.CallsNeeded("lookup", "index"), qt.Equals, 2)
}

// An upstream that names many kinds of calls must not make the graph grow
// without bound.
func TestNeedsAreBounded(t *testing.T) {
	c := qt.New(t)
	g := NewCallGraph()
	calls := make(map[string]int)
	for i := range 10 * maxKinds {
		calls[string(rune('a'+i))] = 1
	}
	g.RecordSuccess("run", calls, time.Unix(0, 0))
	c.Check(len(g.stats("run").needed) <= maxKinds, qt.IsTrue)
}
