package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// Timing of a shutdown where callers on this VM send their requests to this node.
// Callers only learn that the node isn't ready by polling it, so they continue to send
// for a while.
const (
	// shutdownDrainDelay is how long the upstream on this VM still accepts calls of
	// other nodes before the drain is announced to them. The upstream keeps running
	// beside a node that is only restarted, and where the nodes of a service restart one
	// after another, each second without the upstream costs capacity.
	shutdownDrainDelay = time.Second
	// shutdownAcceptTime is how long requests of callers are still accepted. Callers
	// poll once a second and leave after two negative responses; a listener that closes
	// sooner breaks requests that are on their way. Later requests are refused with
	// not-run, so that the remaining time is left to running calls.
	shutdownAcceptTime = 2500 * time.Millisecond
	// leaveTimeout bounds the time to announce the departure to the other members.
	leaveTimeout = 200 * time.Millisecond
)

// Ready reports whether callers may use this node: it has received a configuration and
// is not shutting down.
func (n *Node) Ready() bool { return n.config.Status().HasStoredSet && !n.ending.Load() }

// shutdownWithDialect shuts down a node that uses a dialect, while the upstream keeps
// running beside it. The node still accepts calls of other nodes for shutdownDrainDelay,
// then announces the drain, and refuses all new requests after shutdownAcceptTime.
// Requests accepted before are completed if ctx allows it. Those that are not complete
// when ctx ends are answered by this node.
func (n *Node) shutdownWithDialect(ctx context.Context) error {
	drainDelay, acceptTime := shutdownTimes(n.adjusted.Load().DrainTimeout)
	objects.Pause(ctx, drainDelay)
	n.setDraining(causeShutdown, true, false)
	objects.Pause(ctx, acceptTime-drainDelay)
	n.closed.Store(true)
	defer n.closeCallsBefore(ctx)()
	err := n.awaitNoActive(ctx)
	if err != nil {
		n.inflight.Interrupt()
	}
	n.closeCallers(ctx)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if leaveErr := n.gossip.Leave(leaving); leaveErr != nil {
		n.log.Emit(observe.LeaveUnheard, observe.Err(leaveErr))
	}
	if shutdown := n.shutdownServers(leaving); err == nil && shutdown != nil && !errors.Is(shutdown, context.DeadlineExceeded) {
		err = &DrainError{InFlight: int(n.active.Load())}
	}
	n.Close()
	return err
}

// lastCallShare is the last part of a drain, as a fraction of its time, in which the upstream
// can make no further calls. Calls in progress at the end of the drain are broken off although
// an upstream works on them, so only calls that have had this much time may be.
const lastCallShare = 0.1

// closeCallsBefore refuses the calls of open visits shortly before ctx ends. The function
// returned cancels this.
func (n *Node) closeCallsBefore(ctx context.Context) (cancel func()) {
	end, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	last := time.Duration(lastCallShare * float64(n.adjusted.Load().DrainTimeout))
	timer := time.AfterFunc(time.Until(end)-last, func() { n.callsClosed.Store(true) })
	return func() { timer.Stop() }
}

// shutdownTimes returns shutdownDrainDelay and shutdownAcceptTime for a drain that may take
// drainTimeout. In a short drain both are shorter, so that at least half of it is left to
// the requests that were accepted last.
func shutdownTimes(drainTimeout time.Duration) (drainDelay, acceptTime time.Duration) {
	acceptTime = min(shutdownAcceptTime, drainTimeout/2)
	return shutdownDrainDelay * acceptTime / shutdownAcceptTime, acceptTime
}

// awaitNoActive waits until no request of any kind is in this node.
func (n *Node) awaitNoActive(ctx context.Context) error {
	active := func() int { return int(n.active.Load()) }
	return n.awaitNotBusy(ctx, active, func() bool { return active() > 0 })
}

// Timing of the close of callers' connections.
const (
	// minCloseTime is the least time for closing callers' connections, also if the time of
	// the drain is over. In a short drain it is the drain's time by minCloseDivisor.
	minCloseTime    = 300 * time.Millisecond
	minCloseDivisor = 10
	// closePoll is how often closeCallers checks whether all connections are closed.
	closePoll = 5 * time.Millisecond
)

// closeCallers closes the listeners for callers and then each connection of a caller, once
// the response to its last request is written and nothing else has arrived on it. It
// returns when all are closed, but at the latest when ctx ends or, if that is later,
// after minCloseTime.
func (n *Node) closeCallers(ctx context.Context) {
	ctx, cancel := extend(ctx, min(minCloseTime, n.adjusted.Load().DrainTimeout/minCloseDivisor))
	defer cancel()
	for _, listener := range n.callerListeners {
		listener.CloseWhenEmpty()
	}
	n.callerConns.closeIdle()
	for n.callersLeft() && ctx.Err() == nil {
		objects.Pause(ctx, closePoll)
	}
}

// callersLeft reports whether a listener for callers or a connection of a caller is open.
func (n *Node) callersLeft() bool {
	for _, listener := range n.callerListeners {
		if !listener.ended.Load() {
			return true
		}
	}
	return n.callerConns.left()+int(n.lingering.Load()) > 0
}

// extend returns a context with the deadline of ctx, or one after the least time, if that
// is later.
func extend(ctx context.Context, least time.Duration) (context.Context, context.CancelFunc) {
	until := time.Now().Add(least)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(until) {
		until = deadline
	}
	return context.WithDeadline(context.WithoutCancel(ctx), until)
}

// crowdedShare is the share of EdgeConns, in percent, above which the outbound listener
// closes each connection with its next answer.
const crowdedShare = 60

// retireConn makes the response that is about to be written close the caller's connection
// once the process is shutting down. A caller that sends its next request on a connection
// that is just being closed can't tell whether the request was read.
//
// It does the same while the listener is close to its connection limit. This prevents the
// following failure: idle connections of callers take all that the listener may hold, and
// new connections wait to be accepted until their callers have given up; their requests
// are forwarded only then.
//
// If requests behind this one were received, the connection stays open until they are
// answered: closed earlier, it would leave them without a response. This can be told only
// when the response begins, since requests may arrive while this one is being served.
func (n *Node) retireConn(h http.Header, r *http.Request) {
	if !n.usesDialect() {
		return
	}
	const percent = 100
	crowded := n.conns[OutboundListener].Load() > int64(n.settings.EdgeConns)*crowdedShare/percent
	if !n.ending.Load() && !crowded {
		return
	}
	if conn := connOf(r); conn == nil || conn.MayClose() {
		h.Set("Connection", "close")
	}
}
