package hop

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

var (
	rate    = flag.Int("hop.rate", 300, "calls a second")
	calls   = flag.Int("hop.calls", 100, "calls in each slice")
	repeats = flag.Int("hop.repeats", 2, "rounds of slices")
	cold    = flag.Int("hop.cold", 10, "calls on new connections, at least 1")
)

// refusals are the reasons of a node that can't keep up.
var refusals = []call.Reason{call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonLevel}

// Every call of a short run must come back whole, all ways, warm and on new
// connections, and the counts of the result must add up. On a machine that
// lets the process starve, a node may refuse calls; nothing else may happen to
// them. The latencies are printed, not judged.
func TestRun(t *testing.T) {
	c := qt.New(t)
	got, err := Run(t.Context(), Config{Rate: *rate, Calls: *calls, Repeats: *repeats, Body: 200, Cold: *cold})
	c.Assert(err, qt.IsNil)
	c.Check(got.Direct.Failures, qt.HasLen, 0)
	c.Check(got.Plain.Failures, qt.HasLen, 0)
	for _, f := range got.Through.Failures {
		c.Check(refusals, qt.Contains, call.Reason(f.Reason))
	}
	c.Check(got.Repeats, qt.Equals, *repeats)
	c.Check(got.Carried, qt.Equals, *repeats**calls)
	// Each of the two nodes passes on a request and an answer.
	c.Check(got.Writes >= 4, qt.IsTrue, qt.Commentf("%v writes a call", got.Writes))
	c.Check(got.Added.Cost.Allocs > got.AddedPlain.Cost.Allocs && got.AddedPlain.Cost.Allocs > 0, qt.IsTrue)
	for _, way := range []Way{got.Direct, got.Plain, got.Through} {
		c.Check(way.Latency.P50 > 0 && way.Quiet.P50 > 0 && way.Cold.P50 > 0, qt.IsTrue)
	}
	t.Logf("\n%v", got)
}

// A run that can't be made must say which number is wrong, each of them.
func TestConfigIsChecked(t *testing.T) {
	c := qt.New(t)
	_, err := Run(t.Context(), Config{Calls: 1, Repeats: 1, Body: -1})
	var bad *ConfigError
	c.Assert(err, qt.ErrorAs, &bad)
	c.Check(bad.Problems, qt.DeepEquals, []FieldError{
		{Field: "rate", Value: "0", Want: "1 to 20000"},
		{Field: "body", Value: "-1", Want: "0 to 1048576"},
	})
}
