package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

// A node refuses a call because it drains. The drain is cancelled and the node
// announces that, but its callers never received the announcement of the drain.
// They avoided the node for ten seconds all the same, and got no-target when
// the other members drained meanwhile. The new announcement must bring the node
// back; an announcement from before the refusal must not.
func TestAnnouncementAfterCancelledDrainRestoresTarget(t *testing.T) {
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

// During a rolling restart, all remaining members of a service drain for a
// moment. With PickDraining a call goes to one of them, which itself refuses the
// calls that it no longer accepts. A member that refused because it drains must
// not be picked again.
func TestDrainingMembersAreTheLastResort(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRouter(Config{Node: "me", Zone: "a", Region: "r", PickDraining: true})
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

// When one member of one service changes its announcement, the views of the
// other services must stay: rebuilding all of them for each change of each
// member would cost more than the calls. The change itself must be visible at
// once.
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
