package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A node starts anew and hears the farewell of its upstream first. An announcement
// of the upstream's earlier life was held up and arrives after it. No silence has
// passed since the farewell, so that life must not come back: nothing listens any
// more at the address, and callers would be refused until the farewell is repeated.
func TestFarewellIsAWordOfItsLife(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		late := n.upstream.Load().Announcement
		late.Instance, late.Born, late.Sequence = "i", 1000, 7
		n.Leaving("i", 9000)
		f.c.Assert(n.Announce(late), qt.IsNil)
		f.c.Check(n.upstream.Load().Born, qt.Not(qt.Equals), int64(1000))
	})
}
