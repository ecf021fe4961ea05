package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
)

// A caller brings a key when this node has used up its budget of platform calls. If the
// claim were refused at once, the caller would retry and double the calls; if it waited
// longer than the caller's remaining time, the caller would get no answer at all. A
// claim must wait for the budget if that is available soon, and for no other error.
func TestClaimWaitsForTheBudgetWhereThatIsSoon(t *testing.T) {
	const left = 500 * time.Millisecond
	ended, end := context.WithCancel(context.Background())
	end()
	for _, test := range []struct {
		name   string
		ctx    context.Context
		err    error
		again  bool
		waited time.Duration
	}{
		{"soon", context.Background(), &objects.RateError{RetryAfter: left}, true, left},
		{"too late", context.Background(), &objects.RateError{RetryAfter: left + 1}, false, 0},
		{"another failure", context.Background(), errors.New("down"), false, 0},
		{"no failure", context.Background(), nil, false, 0},
		{"caller gone", ended, &objects.RateError{RetryAfter: left}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				began := time.Now()
				c.Check(awaitBudget(test.ctx, test.err, left), qt.Equals, test.again)
				c.Check(time.Since(began), qt.Equals, test.waited)
			})
		})
	}
}
