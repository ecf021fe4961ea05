package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recordsByTime returns ten operations per bucket; how returns the result and the
// latency of each.
func recordsByTime(length time.Duration, how func(at time.Duration) (Result, time.Duration)) []Record {
	var records []Record
	for at := time.Duration(0); at < length; at += Bucket / 10 {
		result, latency := how(at)
		records = append(records, Record{Arrival: Arrival{At: at}, Result: result, Latency: latency})
	}
	return records
}

// After a surge, users see failures, then slow answers, then normal service.
// The recovery time must last until normal service is steady: a short normal
// interval in between doesn't end it.
func TestRecovery(t *testing.T) {
	c := qt.New(t)
	const surgeEnd, length = 4 * time.Second, 10 * time.Second
	const normal, slow = 20 * time.Millisecond, 31 * time.Millisecond
	at := func(d time.Duration) time.Duration { return surgeEnd + d }
	between := func(t, from, to time.Duration) bool { return t >= at(from) && t < at(to) }
	for name, test := range map[string]struct {
		how  func(t time.Duration) (Result, time.Duration)
		want RecoveryTime
	}{
		"never left normal": {func(time.Duration) (Result, time.Duration) { return Whole, normal },
			RecoveryTime{0, true}},
		"failures, then slowness": {func(t time.Duration) (Result, time.Duration) {
			switch {
			case between(t, 0, time.Second):
				return NotRun, normal
			case between(t, time.Second, 2*time.Second):
				return Whole, slow
			}
			return Whole, normal
		}, RecoveryTime{2 * time.Second, true}},
		"a good moment between": {func(t time.Duration) (Result, time.Duration) {
			if between(t, 1100*time.Millisecond, 2*time.Second) {
				return Unknown, normal
			}
			return Whole, normal
		}, RecoveryTime{2 * time.Second, true}},
		"one in twenty-five lost is normal": {func(t time.Duration) (Result, time.Duration) {
			if t >= surgeEnd && t%(25*Bucket/10) == 0 {
				return Unknown, normal
			}
			return Whole, normal
		}, RecoveryTime{0, true}},
		"never": {func(t time.Duration) (Result, time.Duration) {
			if t >= surgeEnd {
				return Whole, slow
			}
			return Whole, normal
		}, RecoveryTime{length - surgeEnd, false}},
		"stored answers are not normal": {func(t time.Duration) (Result, time.Duration) {
			if t >= surgeEnd {
				return Stale, normal
			}
			return Whole, normal
		}, RecoveryTime{length - surgeEnd, false}},
	} {
		c.Run(name, func(c *qt.C) {
			records := recordsByTime(length, test.how)
			got := Recovery(records, 0, Span{time.Second, 2 * time.Second}, surgeEnd, length)
			c.Check(got, qt.Equals, test.want)
		})
	}
}

func TestPlanIsRepeatableAndFollowsPhases(t *testing.T) {
	c := qt.New(t)
	classes := []Class{{Name: "a", Rate: 200}, {Name: "b", Rate: 100}}
	surge := Span{2 * time.Second, 4 * time.Second}
	phases := []Phase{{Start: surge.Start, End: surge.End, Factor: 3}}
	plan := Plan(classes, phases, 6*time.Second, 7)
	c.Check(Plan(classes, phases, 6*time.Second, 7), qt.DeepEquals, plan)
	c.Check(Plan(classes, phases, 6*time.Second, 8), qt.Not(qt.DeepEquals), plan)
	records := make([]Record, len(plan))
	for i, arrival := range plan {
		records[i].Arrival = arrival
		if i > 0 {
			c.Assert(arrival.At >= plan[i-1].At, qt.IsTrue)
		}
	}
	// The bounds are four standard deviations around the expected 400 and
	// 1200 arrivals.
	calm := OfferedIn(records, 0, Span{0, surge.Start})
	c.Check(calm > 320 && calm < 480, qt.IsTrue, qt.Commentf("%v", calm))
	busy := OfferedIn(records, 0, surge)
	c.Check(busy > 1060 && busy < 1340, qt.IsTrue, qt.Commentf("%v", busy))
}
