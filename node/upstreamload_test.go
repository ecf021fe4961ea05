package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a load that operators still see long after the upstream reported it, and
// against malformed ones that nobody counts.
func TestReportedLoadIsExportedWhileItIsRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n, err := New(func() Settings { s := DefaultSettings(); s.Service = "desk"; return s }())
		c.Assert(err, qt.IsNil)
		waiting := n.metrics.UpstreamReported.With("waiting")
		n.noteUpstreamLoad(UpstreamAnswer{Load: UpstreamLoad{Running: 8, Waiting: 5, Slots: 8, WorkTime: 1.5}})
		n.noteUpstreamLoad(UpstreamAnswer{MalformedLoad: true})
		n.updateGauges()
		c.Check(waiting.Value(), qt.Equals, 5.0)
		c.Check(n.metrics.UpstreamReported.With("work-time").Value(), qt.Equals, 1.5)
		c.Check(n.metrics.Malformed.With(malformedLoad).Count(), qt.Equals, int64(1))
		time.Sleep(maxLoadAge + time.Second)
		n.updateGauges()
		c.Check(waiting.Value(), qt.Equals, 0.0)
	})
}
