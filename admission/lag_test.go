package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// For two seconds a node receives twice as many requests as its processor can
// forward. Without refusals, the last request is forwarded two seconds late,
// when its caller has left; with refusals, no request is forwarded later than a
// caller waits.
func TestLateNodeCatchesUp(t *testing.T) {
	c := qt.New(t)
	const passOn, refuse, every = 2 * time.Millisecond, 300 * time.Microsecond, time.Millisecond
	latest := func(limited bool) time.Duration {
		free, most := time.Duration(0), time.Duration(0)
		for at := time.Duration(0); at < 2*time.Second; at += every {
			free = max(free, at)
			lag := free - at
			if limited && ShouldRefuse(lag, NewRequest) {
				free += refuse
				continue
			}
			most = max(most, lag)
			free += passOn
		}
		return most
	}
	c.Check(latest(false) > 1900*time.Millisecond, qt.IsTrue)
	c.Check(latest(true) <= maxNewRequestLag+passOn, qt.IsTrue)
}
