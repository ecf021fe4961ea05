package node

import (
	"math"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
)

// zeroRatioSubstitute replaces a ratio of 0, which retry.Budget takes for "use the default".
const zeroRatioSubstitute = 1e-9

// newBudget returns the bound on this node's retries.
func (n *Node) newBudget(ratio float64) *retry.Budget {
	c := retry.BudgetConfig{Ratio: max(ratio, zeroRatioSubstitute), Start: n.started}
	if n.settings.Ablate.NoBudget {
		c.Ratio = 1
		c.Burst = math.MaxInt32
	}
	return retry.NewBudget(c)
}

// serviceRetries has the limits on this node's retries of calls to one service.
type serviceRetries struct {
	bound  retry.Limiter
	ration *retry.Ration
}

// retriesOf returns the limits on this node's retries of calls to a service. With a
// dialect each service has its own.
//
// With one bound for all services, the retries that calls to many healthy services
// have earned would go to the failing service, which the bound is meant to protect.
//
// Over the whole fleet, the retries of a service stay within the ratio, however its
// load is distributed. Each node uses only the retries that its own first calls earned; a
// call made by a visit that is itself a retry counts as a retry; and a node that starts
// has earned none.
func (n *Node) retriesOf(service string) serviceRetries {
	if !n.usesDialect() {
		return serviceRetries{bound: n.budget.Load()}
	}
	if known, ok := n.budgets.Load(service); ok {
		return known.(serviceRetries)
	}
	bucket := retry.NewBucket(retry.BucketConfig{Ratio: n.adjusted.Load().RetryRatio, Start: n.started})
	retries := serviceRetries{bound: bucket}
	if !n.settings.Ablate.NoRation {
		retries.ration = retry.NewRation(bucket)
	}
	known, _ := n.budgets.LoadOrStore(service, retries)
	return known.(serviceRetries)
}

// inheritedRetry is the metric label of a call that is a retry because the visit that
// makes it is one.
const inheritedRetry = "inherited"

// payFirstAttempt counts the first attempt of a call. A call made by a visit that is a
// retry earns no retries and counts as a retry itself; payFirstAttempt returns a refusal
// if the retry budget doesn't allow it. The limit that the platform sets on retries is
// defined that way, and is the only reason to tell these calls from others: a caller's own
// retry is a new request.
//
// When a service in the middle of the call graph fails, its calls are retried, and
// each repeated visit makes its own calls again. If these counted as first calls, they
// would earn retries for the downstream services, which would then get more than the
// ratio allows.
func (n *Node) payFirstAttempt(req *request) *answer {
	retries := n.retriesOf(req.service)
	if !n.usesDialect() || !req.call.Repeat || n.settings.Ablate.RepeatsEarn {
		retries.bound.OnFirst(n.now())
		return nil
	}
	n.metrics.Profile(req.call.Profile).Retry(inheritedRetry)
	if retries.bound.Allow(n.now()) {
		return nil
	}
	n.log.Emit(observe.RetryBudgetSpent, observe.Str("of", req.service))
	a := n.refuse(call.NotRun, call.ReasonRetryBudget, 0)
	a.report.Hop = req.service
	return a
}

// followRetryRatio replaces the bound whenever the configuration in force sets another
// ratio. A new bound has counted no calls yet, so each change allows one more burst of
// retries.
func (n *Node) followRetryRatio() {
	ratio := math.NaN()
	n.config.Subscribe(func(c *config.Compiled) {
		if next := c.Limits().RetryRatio; next != ratio {
			ratio = next
			n.budget.Store(n.newBudget(next))
		}
	})
}
