package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failAllCalls makes calls that arrive evenly and all fail, and requests two
// retries of each. It returns the number of retries allowed.
func failAllCalls(budget *Budget, begin time.Time, calls int, every time.Duration) (allowed int) {
	for i := range calls {
		now := begin.Add(time.Duration(i) * every)
		budget.OnFirst(now)
		for range 2 {
			if budget.Allow(now) {
				allowed++
			}
		}
	}
	return allowed
}

// Every call fails, and each request has credit for two more attempts. A node's
// retries must stay within their share of its first attempts, plus one burst
// per window, which is up to a tenth longer than ten seconds. A restart or a
// new ratio discards the counts of the window and allows one more burst, and
// nothing beyond it.
func TestRetriesAreLimitedToShareAndBursts(t *testing.T) {
	c := qt.New(t)
	const every = 10 * time.Millisecond
	for calls, windows := range map[int]int{300: 1, 600: 1, 6000: 6, 60_000: 60} {
		got := failAllCalls(NewBudget(BudgetConfig{Start: start}), start, calls, every)
		c.Logf("%d first attempts in %v: %d retries", calls, time.Duration(calls)*every, got)
		c.Check(got <= calls/10+windows*DefaultBurst, qt.IsTrue)
		c.Check(got > calls/10, qt.IsTrue)
	}
	restarted := 0
	for i := range 10 {
		began := start.Add(time.Duration(i) * time.Second)
		restarted += failAllCalls(NewBudget(BudgetConfig{Start: began}), began, 100, every)
	}
	c.Logf("1000 first attempts, a restart each second: %d retries", restarted)
	c.Check(restarted, qt.Equals, 1000/10+10*DefaultBurst)
}
