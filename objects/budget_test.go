package objects

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A node whose callers send idempotency keys needs far more writes than an equal
// share of the platform's rate. Its calls are rejected until the budget has
// grown. When the platform responds with 429 the rate must fall, but never below
// the share.
func TestBudgetGrowsUntilPlatformReturns429(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newBudget(1, 50, 1)
	granted := func(seconds int) int {
		count := 0
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			if b.spend(now) == 0 {
				count++
			}
		}
		return count
	}
	granted(30)
	c.Check(granted(10) >= 450, qt.IsTrue)
	for range 20 {
		now = now.Add(budgetChangeInterval)
		b.reduce(now)
	}
	c.Check(float64(b.limiter.Limit()), qt.Equals, 1.0)
}
