package node

import (
	"context"
	"time"

	"pollengauge.dev/objects"
)

// coalescer runs a task soon after it was asked for, and once for many asks.
type coalescer struct {
	asked chan struct{}
	// pause is the least time between two runs.
	pause time.Duration
	task  func()
}

func newCoalescer(pause time.Duration, task func()) *coalescer {
	return &coalescer{asked: make(chan struct{}, 1), pause: pause, task: task}
}

// ask returns at once. A run that begins after it sees what was there before.
func (c *coalescer) ask() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// run serves asks until ctx ends.
func (c *coalescer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.asked:
		}
		c.task()
		if !objects.Pause(ctx, c.pause) {
			return
		}
	}
}
