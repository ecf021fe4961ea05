package node

import (
	"math"

	"pollengauge.dev/config"
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

// noBurst has a budget allow nothing but its ratio.
const noBurst = -1

// budgetOf returns the bound on this node's retries on a service.
//
// The failure: one bound for all services lets the retries that calls to many
// healthy services have earned go to the one that fails, whose share it was to
// protect.
func (n *Node) budgetOf(service string) *retry.Budget {
	if !n.spoken() {
		return n.budget.Load()
	}
	if b, ok := n.budgets.Load(service); ok {
		return b.(*retry.Budget)
	}
	b, _ := n.budgets.LoadOrStore(service, retry.NewBudget(retry.BudgetConfig{
		Ratio: max(n.adjusted.Load().RetryRatio, smallestRatio),
		Burst: noBurst,
		Start: n.started,
	}))
	return b.(*retry.Budget)
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
