package admission

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// There are more profiles than have a record of their own: operators configured
// very many, or the process has run through many configurations with changed
// timeouts. A downstream hop refuses all calls of a profile without its own
// record. The root stores what it learns about that profile in the shared
// record and must look it up there, or it would continue to admit those calls.
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
