package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// Readers retry aggressively and are refused nineteen times of twenty; filings beside
// them are refused every other time. The hint for filings must follow their own
// rejection rate. With the rate of all requests they were told to stay away for
// twenty seconds, and were not there when capacity was free for them.
func TestRetryHintFollowsOwnPriority(t *testing.T) {
	c := qt.New(t)
	const reads, filings = 3, 15
	var o offered
	now := time.Unix(100, 0)
	share := func(p call.Priority) float64 {
		r := o.recent(p, now)
		return float64(r.refused) / float64(max(r.total, 1))
	}
	for i := range 2000 {
		o.note(reads, i%20 != 0, now)
		if i%100 < 10 {
			o.note(filings, i%2 == 0, now)
		}
	}
	c.Check(share(filings), qt.Equals, 0.5)
	c.Check(share(filings-1), qt.Equals, 0.5)
	c.Check(share(reads) > 0.9, qt.IsTrue)
	now = now.Add(2 * offeredWindow)
	c.Check(share(filings), qt.Equals, 0.0)
}
