package node

import (
	"strconv"
	"time"

	"pollengauge.dev/config"
)

// Adjustment contains the settings that can change while a node runs.
type Adjustment struct {
	// DrainTimeout is as in Settings.
	DrainTimeout time.Duration
	// RetryRatio is as in Settings.
	RetryRatio float64
}

// Adjust applies a. On invalid values it returns a *SettingsError and changes
// nothing. A new ratio resets the retry budgets, which start without earned retries.
func (n *Node) Adjust(a Adjustment) error {
	c := &checker{}
	c.duration("drain-timeout", a.DrainTimeout, 0, time.Hour)
	if a.RetryRatio < 0 || a.RetryRatio > config.MaxRetryRatio {
		c.add("retry-ratio", strconv.FormatFloat(a.RetryRatio, 'g', -1, 64), "0 to 0.5")
	}
	if err := c.result(); err != nil {
		return err
	}
	old := n.adjusted.Swap(&a)
	if old.RetryRatio != a.RetryRatio {
		n.budgets.Clear()
	}
	return nil
}
