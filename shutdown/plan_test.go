package shutdown

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1e9, 0)

// drawPlan draws a plan of a shutdown of 50 ms to a minute.
func drawPlan(t *rapid.T) Plan {
	return NewPlan(testStart, time.Duration(rapid.IntRange(50, 60_000).Draw(t, "total"))*time.Millisecond)
}

func drawMillis(t *rapid.T, low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
}

// Guards against a short shutdown that accepts requests until its end and has no time left to
// serve them.
func TestHalfOfTheTimeIsLeftToAcceptedRequests(t *testing.T) {
	c := qt.New(t)
	for _, total := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		p := NewPlan(testStart, total)
		c.Check(p.RefuseAt().Sub(testStart) <= total/2, qt.IsTrue, qt.Commentf("%s", total))
		c.Check(p.DrainAt().After(p.RefuseAt()), qt.IsFalse, qt.Commentf("%s", total))
		c.Check(p.RefuseAt().After(p.FinishBy()), qt.IsFalse, qt.Commentf("%s", total))
	}
	p := NewPlan(testStart, 5*time.Second)
	c.Check(p.DrainAt().Sub(testStart), qt.Equals, maxDrainDelay)
	c.Check(p.RefuseAt().Sub(testStart), qt.Equals, maxAcceptTime)
}

// Guards against a request that begins after the time in which new ones are accepted and can be
// broken off, for any time of the shutdown and of the request.
func TestNothingBeginsLateThatCanBeBrokenOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		w := Work{
			Kind:     rapid.SampledFrom([]Kind{CallerRequest, UpstreamRun, UpstreamCall}).Draw(t, "kind"),
			Deadline: testStart.Add(drawMillis(t, -1000, 120_000, "deadline")),
			Expected: drawMillis(t, 0, 30_000, "expected"),
		}
		now := p.RefuseAt().Add(drawMillis(t, 0, 60_000, "after"))
		v := p.Decide(w, now)
		if v.Deadline.After(w.Deadline) {
			t.Fatalf("deadline %s is later than %s", v.Deadline, w.Deadline)
		}
		if !v.Begin {
			return
		}
		if !now.Before(p.CutAt()) {
			t.Fatalf("begins %s after the end", now.Sub(p.CutAt()))
		}
		if w.Deadline.After(p.CutAt()) && (w.Expected == 0 || now.Add(w.Expected).After(p.FinishBy())) {
			t.Fatalf("begins and is not expected to end in time: %+v", w)
		}
		if w.Kind == UpstreamCall && v.Deadline.After(p.CutAt()) {
			t.Fatalf("a call has a deadline %s after the end", v.Deadline.Sub(p.CutAt()))
		}
	})
}

// Guards against a request that is refused and would be accepted later.
func TestRefusalsAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		w := Work{
			Kind:     rapid.SampledFrom([]Kind{CallerRequest, UpstreamRun, UpstreamCall}).Draw(t, "kind"),
			Deadline: testStart.Add(drawMillis(t, -1000, 120_000, "deadline")),
			Expected: drawMillis(t, 0, 30_000, "expected"),
		}
		now := testStart.Add(drawMillis(t, 0, 60_000, "now"))
		later := now.Add(drawMillis(t, 0, 60_000, "later"))
		if !p.Decide(w, now).Begin && p.Decide(w, later).Begin {
			t.Fatalf("refused at %s, begins at %s", now.Sub(testStart), later.Sub(testStart))
		}
	})
}

// Guards against a request that is accepted during a shutdown and then fails for want of a call,
// and against a call that is broken off: upstreams make calls in a row for each request, and the
// requests arrive from before the shutdown until its end.
func TestAcceptedRequestsGetTheirCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		calls := rapid.IntRange(1, 15).Draw(t, "calls")
		callTime := drawMillis(t, 1, 4000, "call time")
		timeout := drawMillis(t, 10, 20_000, "timeout")
		runTime := time.Duration(calls) * callTime
		begun := testStart.Add(drawMillis(t, -20_000, 60_000, "begun"))
		deadline := begun.Add(timeout)
		during := !begun.Before(testStart)
		if during && !p.Decide(Work{Kind: UpstreamRun, Deadline: deadline, Expected: runTime}, begun).Begin {
			return
		}
		fits := !begun.Add(runTime).After(p.FinishBy()) || !deadline.After(p.CutAt())
		for at := begun; at.Before(begun.Add(runTime)); at = at.Add(callTime) {
			if at.Before(testStart) || !at.Before(deadline) {
				continue
			}
			v := p.Decide(Work{Kind: UpstreamCall, Deadline: deadline, Expected: callTime}, at)
			if !v.Begin && fits {
				t.Fatalf("the call %s after the start is refused: %s", at.Sub(testStart), v.Rule)
			}
			late := !at.Before(p.RefuseAt())
			if v.Begin && late && at.Add(callTime).After(p.CutAt()) && deadline.After(p.CutAt()) {
				t.Fatalf("the call %s after the start is broken off", at.Sub(testStart))
			}
		}
	})
}

// Guards against rules that shift: each line of the table is one rule of a shutdown of 6 s.
func TestRules(t *testing.T) {
	const s = time.Second
	for _, test := range []struct {
		name               string
		kind               Kind
		at, left, expected time.Duration
		begin              bool
		rule               Rule
	}{
		{"a run that must end in time", UpstreamRun, 1 * s, 5 * s, 0, true, DeadlineFirst},
		{"a run that is usually shorter", UpstreamRun, 1 * s, 9 * s, 4 * s, true, EndsInTime},
		{"a run that is too long", UpstreamRun, 1 * s, 9 * s, 4600 * time.Millisecond, false, TooLong},
		{"an unknown run", UpstreamRun, 2 * s, 9 * s, 0, true, Unmeasured},
		{"an unknown request after the accept time", CallerRequest, 2500 * time.Millisecond, 9 * s, 0, false, Unmeasured},
		{"an early call", UpstreamCall, 2 * s, 9 * s, 5 * s, true, Early},
		{"a late unknown call", UpstreamCall, 3 * s, 9 * s, 0, false, Unmeasured},
		{"a late call that is short", UpstreamCall, 5 * s, 9 * s, s / 2, true, EndsInTime},
		{"a late call that is too long", UpstreamCall, 5 * s, 9 * s, s, false, TooLong},
		{"a late call that must end in time", UpstreamCall, 5 * s, s, 3 * s, true, DeadlineFirst},
		{"a call at the end", UpstreamCall, 6 * s, s, 0, false, Over},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := NewPlan(testStart, 6*s)
			now := testStart.Add(test.at)
			got := p.Decide(Work{Kind: test.kind, Deadline: now.Add(test.left), Expected: test.expected}, now)
			c.Check(got.Begin, qt.Equals, test.begin)
			c.Check(got.Rule, qt.Equals, test.rule)
		})
	}
}
