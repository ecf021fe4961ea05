package admission

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// Operators' routes have more treatments than are measured apart, or a process has
// lived through so many as versions changed timeouts. A deeper hop refuses all calls
// of a later profile. What the root hears of it is kept in the shared record, and must
// be looked for there, or the root goes on to let them in.
func TestFeedbackHoldsForEveryProfile(t *testing.T) {
	c := qt.New(t)
	f, err := NewFeedback(FeedbackConfig{})
	c.Assert(err, qt.IsNil)
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		for i := range maxProfiles + 44 {
			f.Observe("profile"+strconv.Itoa(i), call.MaxLevel, now)
		}
	}
	for _, i := range []int{0, maxProfiles - 1, maxProfiles, maxProfiles + 43} {
		_, inForce := f.Admit("profile"+strconv.Itoa(i), 0, now)
		c.Check(inForce > 0, qt.IsTrue, qt.Commentf("profile %d", i))
	}
}
