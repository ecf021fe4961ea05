package node

import (
	"context"
	"sync/atomic"
	"time"

	"pollengauge.dev/admission"
)

// lagTick is how often the lag is measured. Each tick costs a wake-up of the process.
const lagTick = 50 * time.Millisecond

// lagTicks is the number of ticks for which a measured lag counts.
const lagTicks = 6

// lagMeter measures the scheduling delay of the node: how long after its due time a
// timer's goroutine runs. The reported lag is the highest of the last lagTicks ticks.
type lagMeter struct{ nanos atomic.Int64 }

func (m *lagMeter) lag() time.Duration { return time.Duration(m.nanos.Load()) }

// run measures the lag until ctx ends.
func (m *lagMeter) run(ctx context.Context) {
	var recent [lagTicks]time.Duration
	timer := time.NewTimer(lagTick)
	defer timer.Stop()
	for i := 0; ; i++ {
		due := time.Now().Add(lagTick)
		timer.Reset(lagTick)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		recent[i%lagTicks] = time.Since(due)
		highest := time.Duration(0)
		for _, lag := range recent {
			highest = max(highest, lag)
		}
		m.nanos.Store(int64(highest))
	}
}

// busy reports whether the node's own scheduling delay is too high to begin more
// work.
func (n *Node) busy(work admission.WorkKind) bool { return admission.ShouldRefuse(n.lag.lag(), work) }
