package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/shutdown"
)

// leaveTimeout bounds the time to announce the departure to the other members, and then the
// time to close the servers.
const leaveTimeout = 200 * time.Millisecond

// Ready reports whether callers may use this node: it has received a configuration and
// is not shutting down.
func (n *Node) Ready() bool { return n.config.Status().HasStoredSet && !n.ending.Load() }

// shutdownWithDialect shuts down a node that uses a dialect, while the upstream keeps
// running beside it. The drain is announced and new requests are refused at the times of the
// plan. Requests accepted before are completed if ctx allows it. Those that are not complete
// when ctx ends are answered by this node.
func (n *Node) shutdownWithDialect(ctx context.Context, plan shutdown.Plan) error {
	objects.Pause(ctx, plan.DrainAt().Sub(n.now()))
	n.setDraining(causeShutdown, true, false)
	objects.Pause(ctx, plan.RefuseAt().Sub(n.now()))
	n.closed.Store(true)
	err := n.awaitNoActive(ctx)
	if err != nil {
		n.inflight.Interrupt()
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.leaveMembers(ctx)
	}()
	n.closeCallers(ctx)
	<-left
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if closed := n.shutdownServers(closing); err == nil && closed != nil && !errors.Is(closed, context.DeadlineExceeded) {
		err = &DrainError{InFlight: int(n.active.Load())}
	}
	n.Close()
	return err
}

// leaveMembers announces the departure to the other members, also after ctx has ended.
func (n *Node) leaveMembers(ctx context.Context) {
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := n.gossip.Leave(leaving); err != nil {
		n.log.Emit(observe.LeaveUnheard, observe.Err(err))
	}
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
