package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

// A node refuses a call since it drains. The drain is cancelled, which the
// node announces, while callers have not even heard of the drain. It was left
// out for ten seconds all the same; when the others drained in that time,
// callers got no-target beside a node that takes work. An announcement from
// before the refusal must not bring it back.
func TestCancelledDrainIsTakenBackByTheMembersWord(t *testing.T) {
	c := qt.New(t)
	only := target("t1", "a")
	only.Revision = 4
	r := NewRouter(Config{Node: "n1", Zone: "a", Region: "hu", Start: time.Unix(1_800_000_000, 0)})
	now := time.Unix(1_800_000_100, 0)
	r.SetTargets([]Target{only})
	picked, err := r.Pick(only.Service, nil, 1, now)
	c.Assert(err, qt.IsNil)
	picked.Done(Feedback{Outcome: call.NotRun, Reason: call.ReasonDraining}, now)

	refused := func() {
		c.Helper()
		var none *NoTargetError
		_, err = r.Pick(only.Service, nil, 1, now)
		c.Assert(err, qt.ErrorAs, &none)
		c.Assert(none.Reason, qt.Equals, NoTargetDraining)
		c.Assert(r.Candidates(only.Service, nil, now), qt.Equals, 0)
	}
	refused()
	r.SetTargets([]Target{only})
	refused()
	draining := only
	draining.Revision, draining.Draining = 5, true
	r.SetTargets([]Target{draining})
	refused()
	r.SetTargets([]Target{only})
	refused()

	only.Revision = 6
	r.SetTargets([]Target{only})
	_, err = r.Pick(only.Service, nil, 1, now)
	c.Assert(err, qt.IsNil)
}

// The nodes of a service restart in turn, and for a moment all that are left
// drain. With LastResort a call goes to one of them, which refuses by itself what
// it no longer takes; one that has refused for that reason is not asked again.
func TestDrainingMembersAreTheLastResort(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRouter(Config{Node: "me", Zone: "a", Region: "r", LastResort: true})
	r.SetTargets([]Target{
		{ID: "one", Service: "s", Zone: "a", Region: "r", Draining: true},
		{ID: "two", Service: "s", Zone: "b", Region: "r"},
	})
	for i := range uint64(50) {
		picked, err := r.Pick("s", nil, i, now)
		c.Assert(err, qt.IsNil)
		c.Check(picked.Target.ID, qt.Equals, "two")
		picked.Done(Feedback{Outcome: call.Complete, Latency: time.Millisecond}, now)
	}
	r.SetTargets([]Target{
		{ID: "one", Service: "s", Zone: "a", Region: "r", Draining: true},
		{ID: "two", Service: "s", Zone: "b", Region: "r", Draining: true},
	})
	picked, err := r.Pick("s", nil, 1, now)
	c.Assert(err, qt.IsNil)
	picked.Done(Feedback{Outcome: call.NotRun, Reason: call.ReasonDraining}, now)
	other, err := r.Pick("s", nil, 1, now)
	c.Assert(err, qt.IsNil)
	c.Check(other.Target.ID, qt.Not(qt.Equals), picked.Target.ID)
	other.Done(Feedback{Outcome: call.NotRun, Reason: call.ReasonDraining}, now)
	_, err = r.Pick("s", nil, 1, now)
	c.Check(err, qt.IsNotNil)
}

// One member of one service changes what it tells. The other services must keep
// their view: to build all of them for each change of each member would cost more
// than the calls. The changed one must show at once.
func TestChangeOfOneServiceLeavesTheOthersViews(t *testing.T) {
	c := qt.New(t)
	targets := []Target{target("t1", "a"), target("t2", "b"), target("u1", "a")}
	targets[2].Service = "billing"
	r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start})
	r.SetTargets(targets)
	viewOf := func(service string) *view { return (*r.services.Load())[service].view.Load() }
	filing, billing := viewOf("filing"), viewOf("billing")
	targets[0].Slots = 7
	r.SetTargets(targets)
	c.Check(viewOf("billing") == billing, qt.IsTrue)
	c.Check(viewOf("filing") == filing, qt.IsFalse)
	c.Check(r.Snapshot("filing")[0].Slots, qt.Equals, 7)
	r.SetTargets(targets[:2])
	c.Check(r.Snapshot("billing"), qt.HasLen, 0)
}
