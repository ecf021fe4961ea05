//go:build !race

package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Every call on every hop goes through the gate, so any garbage created here
// would cost all of them. The race detector drops pooled objects at random; the
// count is exact only without it.
func TestDecisionDoesNotAllocate(t *testing.T) {
	g := fixed(qt.New(t), Config{Slots: 300, InitialLimit: 300, DepthAware: true})
	allocs := testing.AllocsPerRun(10_000, func() { acquireRelease(t, g) })
	qt.Assert(t, allocs, qt.Equals, 0.0)
}
