package cancellation

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name string
		run  Run
		want Verdict
	}{
		{"a lookup that has just begun", Run{Worked: 5 * ms, Usual: 67 * ms}, Verdict{Finish: true, Within: MaxAbandoned, Reason: EndsSoon}},
		{"a read that has just begun", Run{Worked: 5 * ms, Usual: 270 * ms}, Verdict{Reason: TooLong}},
		{"a read that is nearly done", Run{Worked: 200 * ms, Usual: 270 * ms}, Verdict{Finish: true, Within: MaxAbandoned, Reason: EndsSoon}},
		{"a run far beyond its usual time", Run{Worked: 2 * time.Second, Usual: 100 * ms}, Verdict{Reason: TooLong}},
		{"a lookup while others wait for its slot", Run{Worked: 5 * ms, Usual: 67 * ms, Contended: true}, Verdict{Reason: TooLong}},
		{"a lookup that is nearly done while others wait", Run{Worked: 40 * ms, Usual: 67 * ms, Contended: true}, Verdict{Finish: true, Within: MaxAbandoned, Reason: EndsSoon}},
		{"a run that waits for a call", Run{Worked: 10 * ms, Usual: 67 * ms, Calling: true}, Verdict{Finish: true, Within: MaxCalling, Reason: EndsSoon}},
		{"a profile that was never measured", Run{Worked: 5 * ms}, Verdict{Reason: Unmeasured}},
		{"more runs than are tracked", Run{Worked: 60 * ms, Usual: 67 * ms, Full: true}, Verdict{Reason: Full}},
		{"any run while the node shuts down", Run{Worked: 5 * ms, Usual: time.Hour, Contended: true, Full: true, ShuttingDown: true}, Verdict{Finish: true, Reason: Shutdown}},
	} {
		t.Run(test.name, func(t *testing.T) { qt.Check(t, Decide(test.run), qt.Equals, test.want) })
	}
}

// Guards against a run that works for its full deadline although its caller has left: except
// during a shutdown, every run that is not aborted has a bound.
func TestEveryRunWithoutACallerIsBounded(t *testing.T) {
	duration := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(math.MinInt64/8, math.MaxInt64/8).Draw(t, "ns"))
	})
	rapid.Check(t, func(t *rapid.T) {
		run := Run{
			Worked: duration.Draw(t, "worked"), Usual: duration.Draw(t, "usual"),
			Contended: rapid.Bool().Draw(t, "contended"), Full: rapid.Bool().Draw(t, "full"),
			Calling: rapid.Bool().Draw(t, "calling"),
		}
		verdict := Decide(run)
		if verdict.Finish && (verdict.Within <= 0 || verdict.Within > MaxAbandoned) {
			t.Fatalf("%+v may run for %v", run, verdict.Within)
		}
	})
}

// Replays requests that fail while their calls run: eight lookups of 55 ms and a read of 190 ms
// each, whose work times are log-normal with a deviation of 0.5 and a tail of 1 % at three times
// the work. Most connections must be kept, and hardly any run may be cut at the bound.
func TestFailedRequestsKeepTheirConnections(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	kept, cutAtBound, aborted := 0, 0, 0
	for range 10_000 {
		usual := 55 * ms
		if r.IntN(9) == 0 {
			usual = 190 * ms
		}
		needs := workTime(r, usual)
		worked := time.Duration(r.Float64() * float64(needs))
		switch verdict := Decide(Run{Worked: worked, Usual: usual}); {
		case !verdict.Finish:
			aborted++
		case needs-worked > verdict.Within:
			cutAtBound++
		default:
			kept++
		}
	}
	t.Logf("kept %d, cut at the bound %d, aborted %d", kept, cutAtBound, aborted)
	qt.Check(t, kept > 9_000, qt.IsTrue)
	qt.Check(t, cutAtBound < 100, qt.IsTrue)
}

// workTime draws a work time with the given mean.
func workTime(r *rand.Rand, mean time.Duration) time.Duration {
	const deviation, tail, tailFactor = 0.5, 0.01, 3
	factor := math.Exp(deviation*r.NormFloat64() - deviation*deviation/2)
	if r.Float64() < tail {
		factor *= tailFactor
	}
	return time.Duration(factor * float64(mean))
}

func BenchmarkDecide(b *testing.B) {
	b.ReportAllocs()
	run := Run{Worked: 20 * ms, Usual: 67 * ms}
	for b.Loop() {
		Decide(run)
	}
}
