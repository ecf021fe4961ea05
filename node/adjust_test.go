package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Operators change the drain timeout and the retry ratio while a node runs. If they
// were read only at the start, the old values would hold until a restart: a node
// would cut work off too early, or go on retrying beyond the new ratio. A value out
// of range must change nothing.
func TestAdjustAppliesSettingsAtOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo, func(s *Settings) { s.RetryRatio = 0.2 })
		f.settle()
		before := n.retriesOf("desk").bound
		f.c.Assert(n.Adjust(Adjustment{DrainTimeout: 3 * time.Second, RetryRatio: 0.2}), qt.IsNil)
		f.c.Check(n.retriesOf("desk").bound, qt.Equals, before)
		f.c.Assert(n.Adjust(Adjustment{DrainTimeout: 3 * time.Second, RetryRatio: 0}), qt.IsNil)
		for range 1000 {
			n.retriesOf("desk").bound.OnFirst(n.now())
		}
		f.c.Check(n.retriesOf("desk").bound.Allow(n.now()), qt.IsFalse)
		for _, wrong := range []Adjustment{{DrainTimeout: -1}, {RetryRatio: 2}} {
			f.c.Check(n.Adjust(wrong), qt.ErrorAs, new(*SettingsError))
		}
		f.c.Check(n.adjusted.Load().DrainTimeout, qt.Equals, 3*time.Second)
	})
}
