package node

import (
	"context"
	"time"

	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/shutdown"
)

// drainPoll is how often a drain checks whether the last call has ended.
const drainPoll = 10 * time.Millisecond

// drainCause is why a node drains. A node may have several causes at once, and drains until
// the last one has ended.
type drainCause uint8

const (
	// causeOperator is a request of an operator.
	causeOperator drainCause = 1 << iota
	// causeShutdown is the end of the process.
	causeShutdown
	// causeUpstream is an upstream that may get no calls: it is about to leave, or it is
	// not known which incarnation of it is running.
	causeUpstream
)

var drainCauseNames = map[drainCause]string{causeOperator: "operator", causeShutdown: "shutdown", causeUpstream: "upstream"}

// SetDraining begins or cancels a drain on behalf of an operator. Repeated calls with the
// same value have no effect, and neither does a cancellation on drains with another cause.
func (n *Node) SetDraining(draining bool) { n.setDraining(causeOperator, draining, false) }

// setDraining begins or ends a drain with a cause.
//
// A draining node announces the drain through gossip and forwards calls that arrive at
// its edge to other nodes. For drainSpreadTime it still accepts calls from nodes that
// have not received the announcement yet, unless atOnce is set; after that it refuses with
// not-run, so that the calls of a node that never receives it are sent elsewhere as well.
//
// Changes are serialized: two interleaved changes could leave a gate that refuses
// forever at a node that the members believe to accept calls.
func (n *Node) setDraining(cause drainCause, on, atOnce bool) {
	n.drainMu.Lock()
	defer n.drainMu.Unlock()
	before := drainCause(n.drainCauses.Load())
	causes := before &^ cause
	if on {
		causes |= cause
	}
	if causes == before {
		return
	}
	n.drainCauses.Store(uint32(causes))
	draining := causes != 0
	changed := n.draining.Swap(draining) != draining
	if n.settings.Ablate.NoDrainNews {
		return
	}
	n.stopDrainTimer(cause)
	if on {
		n.log.Emit(observe.Draining, observe.Str("cause", drainCauseNames[cause]), observe.Int64("in_flight", n.active.Load()))
		n.closeGateLater(cause, atOnce)
	} else {
		n.log.Emit(observe.DrainCancelled, observe.Str("cause", drainCauseNames[cause]), observe.Bool("draining", draining))
	}
	if !changed {
		return
	}
	if !draining {
		n.gate.Undrain()
		n.cancelHandover()
	}
	if err := n.gossip.Update(func(m *membership.Member) { m.Draining = draining }); err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
	}
	n.refreshTargets()
}

// drainSpreadTime is the time in which the announcement of a drain spreads. Refusing at
// once would cost each request that is on its way an attempt, and requests without
// credit or budget would fail needlessly.
const drainSpreadTime = time.Second

// closeGateLater closes the gate after drainSpreadTime, or now if atOnce is set. The caller
// holds drainMu.
func (n *Node) closeGateLater(cause drainCause, atOnce bool) {
	if atOnce {
		n.closeGateFor(cause)
		return
	}
	n.drainTimers[cause] = time.AfterFunc(drainSpreadTime, func() {
		n.drainMu.Lock()
		defer n.drainMu.Unlock()
		n.closeGateFor(cause)
	})
}

// stopDrainTimer stops the timer of closeGateLater, if there is one. The caller holds drainMu.
func (n *Node) stopDrainTimer(cause drainCause) {
	if timer := n.drainTimers[cause]; timer != nil {
		timer.Stop()
		delete(n.drainTimers, cause)
	}
}

// closeGateFor closes the gate, unless the drain with this cause has ended in the meantime. The
// calls in the queue are refused as well if the upstream may get no calls: it is sent none
// later than maxDrainTime after it has reported that it leaves. The caller holds drainMu.
func (n *Node) closeGateFor(cause drainCause) {
	if drainCause(n.drainCauses.Load())&cause == 0 {
		return
	}
	n.gate.Drain()
	if cause == causeUpstream {
		n.gate.RefuseQueued()
	}
}

// closeGate closes the gate, unless the drain was cancelled in the meantime.
func (n *Node) closeGate() {
	n.drainMu.Lock()
	defer n.drainMu.Unlock()
	if n.draining.Load() {
		n.gate.Drain()
	}
}

// Drain stops the node gracefully: no call in flight is aborted unless DrainTimeout
// passes, in which case the error is a *DrainError.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.adjusted.Load().DrainTimeout)
	defer cancel()
	began := n.now()
	n.log.Emit(observe.ShutdownBegun, observe.Int64("open", n.inflight.Counts().Open),
		observe.Dur("drain_timeout", n.adjusted.Load().DrainTimeout))
	defer func() { n.logExit(n.now().Sub(began)) }()
	defer n.startDrainProgress(ctx)()
	plan := shutdown.NewPlan(began, n.adjusted.Load().DrainTimeout)
	n.shutdownPlan.Store(&plan)
	n.ending.Store(true)
	if n.usesDialect() {
		return n.shutdownWithDialect(ctx, plan)
	}
	n.setDraining(causeShutdown, true, false)
	if n.settings.Ablate.NoDrainWait {
		n.Close()
		return nil
	}
	alone := len(n.gossip.Members()) == 1
	if !alone {
		objects.Pause(ctx, drainSpreadTime)
	}
	n.closeGate()
	err := n.awaitIdle(ctx)
	if err == nil {
		n.handOver(ctx)
		n.updateWitnesses(ctx)
	}
	if leaveErr := n.gossip.Leave(ctx); leaveErr != nil {
		n.log.Emit(observe.LeaveUnheard, observe.Err(leaveErr))
	}
	if !alone {
		objects.Pause(ctx, leaveSpreadTime)
	}
	if ctx.Err() != nil {
		n.inflight.Interrupt()
	}
	n.closeCallers(ctx)
	if shutdown := n.shutdownServers(ctx); err == nil && shutdown != nil {
		err = &DrainError{InFlight: int(n.active.Load())}
	}
	n.Close()
	return err
}

// leaveSpreadTime is how long a node that has left still responds, until all others have
// learned that it left and who holds its keys. Calls that arrive in that time are
// refused with not-run or forwarded to the successor.
//
// Without this time, a node with nothing in flight closed at once. Calls that others had
// just sent to it, on connections that it then closed, were lost with an unknown fate.
const leaveSpreadTime = 2 * time.Second

// awaitIdle waits until this node's upstream serves no call and none is queued.
func (n *Node) awaitIdle(ctx context.Context) error {
	return n.awaitNotBusy(ctx, n.gate.InFlight, func() bool { return n.gate.InFlight() > 0 || n.gate.Snapshot().Queued > 0 })
}

// awaitNotBusy waits until busy returns false. If ctx ends first, it logs and returns a
// *DrainError with the result of inFlight.
func (n *Node) awaitNotBusy(ctx context.Context, inFlight func() int, busy func() bool) error {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for busy() {
		select {
		case <-ctx.Done():
			n.drainTimedOut.Store(true)
			remaining := inFlight()
			n.log.Emit(observe.DrainTimeout, observe.Int("in_flight", remaining))
			return &DrainError{InFlight: remaining}
		case <-tick.C:
		}
	}
	n.log.Emit(observe.Drained)
	return nil
}

// shutdownServers closes the listeners and waits for the last answers.
func (n *Node) shutdownServers(ctx context.Context) error {
	var first error
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	if n.linkServer != nil {
		if err := n.linkServer.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
