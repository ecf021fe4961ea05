package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
	"pollengauge.dev/call"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// After Left, the reported credit belongs to the calling hop. An answer from
// downstream that arrives later or twice, or a peer that returns more than it
// was lent, must not give the request more attempts than its credit.
func TestLateRepeatedAndForgedReturnsAddNoCredit(t *testing.T) {
	c := qt.New(t)
	credit := NewCredit(3)
	lent := credit.Lend()
	credit.Return(lent, 1000)
	credit.Return(lent, lent)
	credit.Return(-5, 5)
	c.Assert(credit.Available(), qt.Equals, 3)
	lent = credit.Lend()
	c.Assert(credit.Left(), qt.Equals, 3-lent)
	credit.Return(lent, lent)
	c.Assert(credit.Left(), qt.Equals, 0)
	c.Assert(credit.Take(1)+credit.Lend()+credit.Available(), qt.Equals, 0)
	c.Assert(NewCredit(-1).Take(5), qt.Equals, 0)
}

// A retry may be made only if the first attempt was proved not to have run, or
// if running the call twice does no harm. It may be made only by the hop next
// to the failure, and only while time, targets, credit and budget are left.
func TestDecide(t *testing.T) {
	c := qt.New(t)
	base := Decision{
		Outcome: call.NotRun, Reason: call.ReasonConnect, Service: "filing",
		Credit: 1, Budget: true, DeadlineLeft: time.Second, TargetsLeft: 1,
	}
	for want, change := range map[VerdictReason]func(*Decision){
		WhyRetry:        func(in *Decision) { in.Reason, in.Hop = call.ReasonQueueFull, "filing" },
		WhyComplete:     func(in *Decision) { in.Outcome = call.Complete },
		WhyMayHaveRun:   func(in *Decision) { in.Outcome, in.Reason = call.Unknown, call.ReasonLost },
		WhyDownstream:   func(in *Decision) { in.Hop = "billing" },
		WhyRefusedByAll: func(in *Decision) { in.Reason = call.ReasonLevelBelow },
		WhyOverload:     func(in *Decision) { in.Reason, in.RefusedShare = call.ReasonLevel, OverloadThousandths },
		WhyDeadline:     func(in *Decision) { in.AttemptTime = time.Second },
		WhyNoTarget:     func(in *Decision) { in.TargetsLeft = 0 },
		WhyNoCredit:     func(in *Decision) { in.Credit = 0 },
		WhyBudget:       func(in *Decision) { in.Budget = false },
	} {
		in := base
		change(&in)
		c.Assert(Decide(in), qt.Equals, Verdict{Retry: want == WhyRetry, Reason: want})
	}
	failed := base
	failed.Outcome, failed.Reason, failed.Hop = call.Complete, call.ReasonUpstreamFailed, "filing"
	c.Check(Decide(failed), qt.Equals, Verdict{Reason: WhyComplete})
	failed.Idempotent = true
	c.Check(Decide(failed), qt.Equals, Verdict{Retry: true, Reason: WhyRetry})
	failed.Reason = call.ReasonFailedBelow
	c.Check(Decide(failed), qt.Equals, Verdict{Reason: WhyComplete})

	lost := base
	lost.Outcome, lost.Reason, lost.Idempotent = call.Unknown, call.ReasonLost, true
	c.Assert(Decide(lost).Retry, qt.IsTrue)

	credit := NewCredit(2)
	budget := NewBudget(BudgetConfig{Burst: 1, Start: start})
	c.Assert(Claim(base, credit, Limits{Limiter: budget}, start), qt.Equals, Verdict{Retry: true, Reason: WhyRetry})
	c.Assert(Claim(base, credit, Limits{Limiter: budget}, start), qt.Equals, Verdict{Reason: WhyBudget})
	c.Assert(credit.Left(), qt.Equals, 1)
}

// Simulates traffic that starts and stops while all calls fail and time
// advances in steps of any size. Budget must not allow a retry that takes the
// window's retries over their share of first attempts, because retries would
// then amplify the surge that made the calls fail. It must not refuse a retry
// that stays within the share.
func TestBudgetHoldsAtEachRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := BudgetConfig{
			Ratio:  rapid.Float64Range(0.01, 1).Draw(t, "ratio"),
			Burst:  rapid.IntRange(1, 10).Draw(t, "burst"),
			Window: time.Second, Start: start,
		}
		budget := NewBudget(config)
		now := start
		var firsts, retries []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"first": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "n") {
					budget.OnFirst(now)
					firsts = append(firsts, now)
				}
			},
			"retry": func(t *rapid.T) {
				shortest, longest := now.Add(-config.Window), now.Add(-config.Window*11/10)
				allowed := budget.Allow(now)
				if allowed {
					retries = append(retries, now)
				}
				most := config.Ratio*float64(count(firsts, longest)) + float64(config.Burst)
				if allowed && float64(count(retries, shortest)) > most+1e-9 {
					t.Fatalf("allowed more than %f", most)
				}
				least := config.Ratio*float64(count(firsts, shortest)) + float64(config.Burst)
				if !allowed && float64(count(retries, longest)+1) <= least-1e-9 {
					t.Fatalf("refused below %f", least)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func count(times []time.Time, after time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) {
			n++
		}
	}
	return n
}

// A client sends the same request repeatedly among many others. Each repeat
// must be recognised, or it would start with a new credit; a first request must
// never be mistaken for a repeat, or it would lose its credit.
func TestRepeatsAgreeWithAnExactTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeats := NewRepeatDetector(RepeatDetectorConfig{Window: time.Second, Entries: 4096, Start: start})
		exact, last := make(map[string]int), make(map[string]time.Time)
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"seen": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))
				if at, known := last[id]; !known || now.Sub(at) > time.Second {
					exact[id] = -1
				}
				exact[id]++
				last[id] = now
				if got := repeats.Seen(id, now); got != exact[id] {
					t.Fatalf("id %s seen %d times, want %d", id, got, exact[id])
				}
			},
			"forget": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))
				repeats.Forget(id, now)
				delete(last, id)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Ten thousand callers are refused within one second. If they all received
// similar hints, they would come back in one burst. The busiest second
// afterwards must hold a small part of them, and a smaller one the more
// requests are refused.
func TestAfterSpreadsRefusedCallers(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(5, 6))
	const callers = 10000
	previous := callers
	for _, share := range []float64{0.3, 0.6, 0.9} {
		in := AfterInput{InForce: call.MakeLevel(8, 0), Level: call.MakeLevel(2, 0), RefusedShare: share}
		wave := make(map[int]int)
		for range callers {
			arrived := time.Duration(r.Int64N(int64(time.Second)))
			hint := After(in, r)
			c.Assert(hint >= DefaultAfterBase && hint <= DefaultAfterMax, qt.IsTrue)
			back := arrived + time.Duration(RetryAfterSeconds(hint, r))*time.Second
			wave[int(back/time.Second)]++
		}
		most := 0
		for _, n := range wave {
			most = max(most, n)
		}
		c.Logf("refused %.0f %%: busiest second %.1f %% of %d callers, over %d seconds", share*100, float64(most)/callers*100, callers, len(wave))
		c.Assert(most < previous, qt.IsTrue)
		previous = most
	}
	c.Assert(previous < callers/10, qt.IsTrue)
}

func Benchmark(b *testing.B) {
	var credit Credit
	budget := NewBudget(BudgetConfig{Start: start})
	repeats := NewRepeatDetector(RepeatDetectorConfig{Start: start})
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	for name, step := range map[string]func(i int){
		"Credit": func(int) {
			lent := credit.Lend()
			credit.Return(lent, lent)
		},
		"Budget.OnFirst": func(int) { budget.OnFirst(start) },
		"Budget.Allow":   func(int) { budget.Allow(start) },
		"Repeats.Seen":   func(i int) { repeats.Seen(ids[i%len(ids)], start) },
	} {
		b.Run(name, func(b *testing.B) {
			credit.Init(3)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := rand.Int(); pb.Next(); i++ {
					step(i)
				}
			})
		})
	}
}

// After a surge, the refused callers come back beside the usual load. A profile
// that prefers recovery time must spread them over a far longer time than one
// that prefers goodput. Without overload the two profiles must not differ, or a
// status check that was refused by chance would wait needlessly long.
func TestAfterSpreadsForRecovery(t *testing.T) {
	c := qt.New(t)
	latest := func(share, recovery float64) (hint time.Duration) {
		r := rand.New(rand.NewPCG(7, 8))
		for range 1000 {
			hint = max(hint, After(AfterInput{RefusedShare: share, Recovery: recovery}, r))
		}
		return hint.Round(time.Second)
	}
	c.Check(latest(0, 1), qt.Equals, latest(0, 0))
	c.Check(latest(0.5, 0), qt.Equals, 3*time.Second)
	c.Check(latest(0.5, 1), qt.Equals, 18*time.Second)
	c.Check(latest(0.99, 1), qt.Equals, DefaultAfterMax)
	c.Check(latest(0.5, math.NaN()), qt.Equals, 3*time.Second)
}

// A node refuses a call before its upstream receives it. Another target may be
// tried even when credit and budget are used up, since no upstream has had any
// work from the call. The number of such free attempts is bounded, and none is
// made after an upstream handled the call or when most targets refuse.
func TestRetriesBeforeAnyUpstreamAreFree(t *testing.T) {
	c := qt.New(t)
	base := Decision{
		Outcome: call.NotRun, Reason: call.ReasonQueueWait, Hop: "filing", Service: "filing",
		FreeAllowed: true, DeadlineLeft: time.Second, TargetsLeft: 1,
	}
	c.Check(Decide(base), qt.Equals, Verdict{Retry: true, Free: true, Reason: WhyRetry})
	for want, change := range map[VerdictReason]func(*Decision){
		WhyNoCredit:   func(in *Decision) { in.FreeAttempts = MaxFreeAttempts },
		WhyMayHaveRun: func(in *Decision) { in.Outcome = call.Unknown },
		WhyOverload:   func(in *Decision) { in.RefusedShare = OverloadThousandths },
		WhyNoTarget:   func(in *Decision) { in.TargetsLeft = 0 },
	} {
		in := base
		change(&in)
		c.Check(Decide(in), qt.Equals, Verdict{Reason: want})
	}
	shed := base
	shed.Reason = call.ReasonUpstreamShed
	c.Check(Decide(shed), qt.Equals, Verdict{Reason: WhyNoCredit})
	thrice := base
	thrice.FreeAttempts, thrice.Credit, thrice.Budget = MaxFreeAttempts, 1, true
	c.Check(Decide(thrice), qt.Equals, Verdict{Reason: WhyOverload})
	thrice.Reason = call.ReasonConnect
	c.Check(Decide(thrice), qt.Equals, Verdict{Retry: true, Reason: WhyRetry})
}

// Most targets of a service refuse. A refusal by a target with free slots
// doesn't indicate load, and the next target is as likely to accept the call as
// any other. When targets refuse because their slots are in use, one more
// attempt is likely to be one more refusal.
func TestRefusalsWithFreeSlotsAreNoOverload(t *testing.T) {
	c := qt.New(t)
	in := Decision{
		Outcome: call.NotRun, Reason: call.ReasonUpstreamRefused, Hop: "index", Service: "index",
		Credit: 1, Budget: true, DeadlineLeft: time.Second, TargetsLeft: 1, RefusedShare: 900,
	}
	c.Check(Decide(in), qt.Equals, Verdict{Retry: true, Reason: WhyRetry})
	in.Reason = call.ReasonUpstreamShed
	c.Check(Decide(in), qt.Equals, Verdict{Reason: WhyOverload})
}
