package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// How the process ends where callers on this VM send their requests here. They
// learn that it isn't ready by asking, so they go on for a while.
const (
	// endNews is how long the upstream here still takes calls of other nodes
	// before they are told of the end. It goes on running beside a node that is
	// only restarted, and where the nodes of a service restart in turn, each
	// second without it counts.
	endNews = time.Second
	// endAccept is how long requests of callers are still taken. They ask once a
	// second and leave after two answers that say no; a listener that closes
	// sooner breaks requests that are on their way. What comes later is refused
	// with not-run, so that the rest of the time is left to what runs.
	endAccept = 2500 * time.Millisecond
	// endLeave bounds the farewell to the other members.
	endLeave = 200 * time.Millisecond
)

// Ready tells whether callers may use this node: it knows a configuration and
// does not end.
func (n *Node) Ready() bool { return n.config.Status().Heard && !n.ending.Load() }

// end drains a node whose callers speak a dialect. The upstream goes on beside
// it, so the others get no share of its work for longer than the news takes;
// what was taken is brought to its end.
func (n *Node) end(ctx context.Context) error {
	objects.Pause(ctx, endNews)
	n.SetDraining(true)
	objects.Pause(ctx, endAccept-endNews)
	n.closed.Store(true)
	err := n.awaitActive(ctx)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), endLeave)
	defer cancel()
	if left := n.gossip.Leave(leaving); left != nil {
		n.log.Emit(observe.LeaveUnheard, observe.Err(left))
	}
	if shutdown := n.shutdownServers(leaving); err == nil && shutdown != nil && !errors.Is(shutdown, context.DeadlineExceeded) {
		err = &DrainError{InFlight: int(n.active.Load())}
	}
	n.Close()
	return err
}

// awaitActive waits until no request of any kind is in this node.
func (n *Node) awaitActive(ctx context.Context) error {
	active := func() int { return int(n.active.Load()) }
	return n.awaitEnd(ctx, active, func() bool { return active() > 0 })
}

// crowdedShare is the part of the connections at the outbound listener, in
// percent, from which those that have just been answered are closed.
const crowdedShare = 60

// retireConn has a caller's connection closed with the answer once the process
// ends. A caller that sends its next request on a connection that is just
// being closed can't tell whether the request was read.
//
// It does the same while the listener is crowded. The failure: idle connections
// of callers take all that the listener may hold, and new ones wait to be
// accepted until their callers have left; their requests are passed on then.
//
// Requests that were begun behind this one are answered first: closed before
// them, the connection would make their callers send them again.
func (n *Node) retireConn(h http.Header, r *http.Request) {
	const percent = 100
	crowded := n.conns[OutboundListener].Load() > int64(n.settings.EdgeConns)*crowdedShare/percent
	if !n.ending.Load() && !crowded {
		return
	}
	if conn := connOf(r); conn == nil || conn.Last() {
		h.Set("Connection", "close")
	}
}
