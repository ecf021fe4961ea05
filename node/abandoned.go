package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollengauge.dev/cancellation"
	"pollengauge.dev/observe"
)

// maxAbandonedRuns bounds the runs without a caller that are allowed to finish at one time.
// Each holds a goroutine, a connection to the upstream and the buffers of its answer.
const maxAbandonedRuns = 256

// abandonedRuns tracks the runs whose caller no longer waits and that are allowed to finish.
type abandonedRuns struct {
	mu   sync.Mutex
	runs map[*visit]struct{}
	// closed is set once the node has closed, and no run may finish any more.
	closed bool
}

// add tracks a run. It returns false if the node has closed.
func (a *abandonedRuns) add(v *visit) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	if a.runs == nil {
		a.runs = make(map[*visit]struct{})
	}
	a.runs[v] = struct{}{}
	return true
}

func (a *abandonedRuns) remove(v *visit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, v)
}

func (a *abandonedRuns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

func (a *abandonedRuns) full() bool { return a.count() >= maxAbandonedRuns }

// close makes add refuse all further runs.
func (a *abandonedRuns) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// startVisitContext sets the context of a visit and returns the function that releases it. The
// context ends at the deadline, or when the run is aborted after ctx, the context of its caller,
// has ended, which it may already have.
func (n *Node) startVisitContext(ctx context.Context, v *visit) (release func()) {
	// The run needs no value of ctx.
	v.ctx, v.abort = context.WithDeadline(context.Background(), v.deadline)
	stop := afterContext(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			n.callerDisconnected(v)
		}
	})
	return func() {
		stop()
		v.abort()
	}
}

// callerDisconnected decides whether a run without a caller may finish. The upstream can make
// no further calls for it: they are refused, so the run ends at its next call.
func (n *Node) callerDisconnected(v *visit) {
	v.abandon()
	verdict := cancellation.Decide(cancellation.Run{
		Worked:       v.worked(n.now()),
		Usual:        n.work.Mean(v.call.Profile),
		Calling:      v.calling(),
		ShuttingDown: n.shutsDownGracefully(),
		Contended:    !n.gate.HasFreeSlots(),
		Full:         n.abandoned.full(),
	})
	verdict.Finish = verdict.Finish && n.abandoned.add(v)
	n.metrics.AbandonedRuns.With(verdictLabel(verdict.Finish), string(verdict.Reason)).Inc(1)
	if verdict.Reason == cancellation.Full {
		n.log.Emit(observe.AbandonedRunsFull, observe.Int("limit", maxAbandonedRuns))
	}
	if !verdict.Finish {
		v.abort()
		return
	}
	// The run may have ended already.
	context.AfterFunc(v.ctx, func() { n.abandoned.remove(v) })
	if verdict.Within == 0 {
		return
	}
	overdue := time.AfterFunc(verdict.Within, func() {
		n.metrics.AbandonedRuns.With(runAborted, runOverdue).Inc(1)
		v.abort()
	})
	context.AfterFunc(v.ctx, func() { overdue.Stop() })
}

// Labels of the metric of runs without a caller. runOverdue is the reason for a run that did
// not end within the time that it was allowed.
const (
	runFinished = "finish"
	runAborted  = "abort"
	runOverdue  = "overdue"
)

func verdictLabel(finish bool) string {
	if finish {
		return runFinished
	}
	return runAborted
}

// countingNetwork counts the connections that it opens. Each run that is aborted costs one.
type countingNetwork struct {
	Network
	opened metrics.Counter
}

// Dial implements Network.
func (c *countingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, addr)
	if err == nil {
		c.opened.Inc(1)
	}
	return conn, err
}

// callContext returns the context of a call that the upstream makes for v. The call ends with
// its own caller, at the deadline, and with v.
//
// While the node shuts down, the call doesn't end with v: the upstream that made it still waits
// for its answer, and an upstream elsewhere works on it.
func (n *Node) callContext(own context.Context, v *visit, deadline time.Time) (context.Context, context.CancelFunc) {
	return mergeContext(own, v.ctx, deadline, n.shutsDownGracefully)
}

// shutsDownGracefully reports whether the node shuts down and the time of its drain is not
// over.
func (n *Node) shutsDownGracefully() bool { return n.ending.Load() && !n.inflight.Interrupted() }
