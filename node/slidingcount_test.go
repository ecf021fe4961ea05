package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against events that leave the window too late, or are counted for ever.
func TestSlidingCountForgetsOldEvents(t *testing.T) {
	c := qt.New(t)
	var s slidingCount
	start := time.Unix(1000, 0)
	for i := range 80 {
		c.Check(s.add(start.Add(time.Duration(i)*slidingCountStep)), qt.Equals, min(i+1, slidingCountSteps))
	}
	c.Check(s.add(start.Add(time.Hour)), qt.Equals, 1)
	c.Check(s.add(start), qt.Equals, 2, qt.Commentf("an earlier time counts as the latest one"))
}
