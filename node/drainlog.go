package node

import (
	"context"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// drainLogInterval is the interval between two lines about a drain that is under way.
const drainLogInterval = time.Second

// startDrainProgress starts logDrainProgress and returns a function that stops it.
func (n *Node) startDrainProgress(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.logDrainProgress(ctx)
	}()
	return func() {
		cancel()
		<-stopped
	}
}

// logDrainProgress logs the state of a drain until ctx ends. A process that is killed
// can't log what it held, so the last such line has to show it.
func (n *Node) logDrainProgress(ctx context.Context) {
	tick := time.NewTicker(drainLogInterval)
	defer tick.Stop()
	deadline, _ := ctx.Deadline()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		open, now := n.inflight.Open(), n.now()
		fields := []observe.Field{observe.Int("open", len(open)), observe.Dur("left", deadline.Sub(now))}
		if len(open) > 0 {
			fields = append(fields, observe.Str("oldest", call.ShortID(open[0].ID())), observe.Dur("age", open[0].Age(now)))
		}
		n.log.Emit(observe.DrainProgress, fields...)
	}
}

// logExit logs that the process exits, and accounts for all requests that it has read.
func (n *Node) logExit(took time.Duration) {
	counts := n.inflight.Counts()
	n.log.Emit(observe.ProcessEnds, observe.Int64("read", counts.Read), observe.Int64("answered", counts.Answered),
		observe.Int64("cut", counts.Cut), observe.Int64("open", counts.Open), observe.Dur("took", took))
}

// logInterrupted logs that the end of the drain interrupted a request that was read at start.
func (n *Node) logInterrupted(req *request, start time.Time) {
	now := n.now()
	fields := []observe.Field{observe.Str("request", call.ShortID(req.call.RequestID)), observe.Str("profile", req.call.Profile),
		observe.Bool("of_upstream", req.parent != nil), observe.Dur("age", now.Sub(start)), observe.Dur("deadline_left", req.deadline.Sub(now))}
	if plan := n.shutdownPlan.Load(); plan != nil {
		fields = append(fields, observe.Dur("shutdown_age", now.Sub(plan.Began())))
	}
	if req.beganBy != "" {
		fields = append(fields, observe.Str("rule", string(req.beganBy)))
	}
	n.log.Emit(observe.CallInterrupted, fields...)
}
