package node

import (
	"context"
	"time"

	"pollengauge.dev/objects"
)

// coalescer runs a task soon after a run is requested, and once for many requests.
type coalescer struct {
	requested chan struct{}
	// pause is the least time between two runs.
	pause time.Duration
	task  func()
}

func newCoalescer(pause time.Duration, task func()) *coalescer {
	return &coalescer{requested: make(chan struct{}, 1), pause: pause, task: task}
}

// trigger requests a run and returns at once. The run sees everything that was written
// before the request.
func (c *coalescer) trigger() {
	select {
	case c.requested <- struct{}{}:
	default:
	}
}

// run executes requested runs until ctx ends.
func (c *coalescer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.requested:
		}
		c.task()
		if !objects.Pause(ctx, c.pause) {
			return
		}
	}
}
