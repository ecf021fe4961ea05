package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/retry"
)

// A run makes five calls to a service of many upstreams, one in five of which is
// overloaded. The highest pressure of the five used to be reported, so every request
// seemed to meet the overloaded upstream, and roots refused six in ten although one
// in eight was too many. The reported pressure must be what the calls meet on
// average.
func TestPressureIsAveragedOverUpstreams(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		f.settle()
		total := 0
		const runs, each, hot = 200, 5, 600
		for range runs {
			v := &visit{call: call.Context{Profile: "read"}, started: n.now(), credit: retry.NewCredit(0), incarnation: newIncarnation()}
			for i := range each {
				f.c.Assert(v.begin(n.now()), qt.IsTrue)
				n.graph.RecordCall("read", "lookup", n.now())
				pressure := 0
				if i == each/2 {
					pressure = hot
				}
				time.Sleep(20 * time.Millisecond)
				answer := &answer{target: "b", report: call.Report{Outcome: call.Complete, Pressure: pressure}}
				n.recordPressure(&request{call: call.Context{Profile: "lookup", Depth: 1}}, answer)
				v.end(answer.report, n.now())
			}
			var r call.Report
			n.fillReport(&r, v)
			total += r.Pressure
		}
		mean := total / runs
		f.c.Check(mean >= hot/each/2 && mean <= hot/each*2, qt.IsTrue, qt.Commentf("mean reported pressure %d", mean))
	})
}
