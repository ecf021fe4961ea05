package node

import (
	"math"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
)

// smallestRatio stands for a ratio of 0, which a retry.Budget takes for its
// default.
const smallestRatio = 1e-9

// newBudget makes the bound on this node's retries.
func (n *Node) newBudget(ratio float64) *retry.Budget {
	c := retry.BudgetConfig{Ratio: max(ratio, smallestRatio), Start: n.started}
	if n.settings.Ablate.NoBudget {
		c.Ratio = 1
		c.Burst = math.MaxInt32
	}
	return retry.NewBudget(c)
}

// serviceRetries is what retries of one service are paid from.
type serviceRetries struct {
	bound  retry.Bound
	ration *retry.Ration
}

// retriesOf returns what this node's retries of a service are paid from.
//
// The failure: one bound for all services lets the retries that calls to many
// healthy services have earned go to the one that fails, whose share it was to
// protect.
//
// The retries of a service stay within the ratio over the whole fleet, however its
// load is split: each node spends what its own first calls earned, a call of a run
// that is a retry itself is paid for like a retry, and a node that starts has
// earned nothing.
func (n *Node) retriesOf(service string) serviceRetries {
	if !n.spoken() {
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

// inheritedRetry is the metric label of a call that is a retry because its run is.
const inheritedRetry = "inherited"

// payFirst accounts the first attempt of a call, and returns a refusal if it can't
// be paid. A call of a run that is a retry earns nothing and is paid for as one.
//
// The failure: a service in the middle of the graph fails, its calls are repeated,
// and each repeated run makes its own calls anew. Counted as first calls, they
// earn retries for the services below, which then get more than the ratio allows.
func (n *Node) payFirst(req *request) *answer {
	retries := n.retriesOf(req.service)
	if !n.spoken() || !req.call.Repeat || n.settings.Ablate.RepeatsEarn {
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

// followRatio keeps the bound at the ratio that the configuration in force
// gives. A new bound has counted no calls yet, so each change lets a burst
// more through.
func (n *Node) followRatio() {
	ratio := math.NaN()
	n.config.Subscribe(func(c *config.Compiled) {
		if next := c.Limits().RetryRatio; next != ratio {
			ratio = next
			n.budget.Store(n.newBudget(next))
		}
	})
}
