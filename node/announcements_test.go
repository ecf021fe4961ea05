package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A restarted node first receives the leave report of its upstream, and then a
// delayed announcement of the upstream's earlier incarnation. No silence has passed
// since the leave report, so the earlier incarnation must not come back: nothing
// listens at its address any more, and callers would be refused until the leave
// report is repeated.
func TestLeaveReportBlocksDelayedAnnouncements(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		late := n.upstream.Load().Announcement
		late.Instance, late.Born, late.Sequence = "i", 1000, 7
		_ = n.Leaving("i", 9000)
		f.c.Assert(n.Announce(late), qt.IsNil)
		f.c.Check(n.upstream.Load().Born, qt.Not(qt.Equals), int64(1000))
	})
}
