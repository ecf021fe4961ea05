package retry_test

import (
	"fmt"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/retry"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := retry.NewBudget(retry.BudgetConfig{Start: now})
	credit := retry.NewCredit(3)

	budget.OnFirst(now)
	lent := credit.Lend()
	fmt.Println("lent:", lent)
	// The target could not be reached, so nothing was sent.
	credit.Return(lent, lent)

	verdict := retry.Claim(retry.Decision{
		Outcome:      call.NotRun,
		Reason:       call.ReasonConnect,
		Service:      "filing",
		DeadlineLeft: time.Second,
		TargetsLeft:  2,
	}, credit, retry.Limits{Limiter: budget}, now)
	fmt.Println("retry:", verdict.Retry)
	fmt.Println("left:", credit.Left())
	// Output:
	// lent: 2
	// retry: true
	// left: 2
}
