package node

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
)

// upstreamLife tells whether one incarnation of the upstream still runs.
//
// The failure: a run whose connection breaks looks the same whether its answer was
// lost or its upstream has ended. The first says nothing of the request, the second
// may be the request's doing.
type upstreamLife struct {
	// turn is held by the run that looks whether the upstream is there.
	turn  chan struct{}
	ended atomic.Bool
	// silent is until when the upstream is not asked again, as it answered nothing.
	// The holder of turn has it.
	silent time.Time
	// completed has requests that completed.
	completed quarantine.Completions
}

func newUpstreamLife() *upstreamLife { return &upstreamLife{turn: make(chan struct{}, 1)} }

// silentPause is how long an upstream that did not answer a dial is left alone. Runs
// that break in the meantime would each wait for a dial of their own.
const silentPause = time.Second

// endedUnder reports whether the upstream has ended, after a run of it broke. Runs
// that break together take turns, and all but the first find it known.
func (n *Node) endedUnder(up *upstream) bool {
	life := up.life
	if life.ended.Load() {
		return true
	}
	life.turn <- struct{}{}
	defer func() { <-life.turn }()
	if life.ended.Load() {
		return true
	}
	if n.leaving(up) || n.now().Before(life.silent) || !n.refusesDials(up) {
		return false
	}
	n.upstreamEnded(up)
	life.ended.Store(true)
	return true
}

// leaving tells that the upstream was going to end, or this node is: no request is
// the cause.
func (n *Node) leaving(up *upstream) bool {
	return up.Draining || n.draining.Load() || n.ending.Load()
}

// refusesDials reports whether nothing listens any more at the upstream's address.
// The holder of the life's turn calls it.
func (n *Node) refusesDials(up *upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := n.network.Dial(ctx, up.Addr)
	if err == nil {
		_ = conn.Close()
		return false
	}
	if refusedDial(err) {
		return true
	}
	up.life.silent = n.now().Add(silentPause)
	return false
}

// refusedDial tells a dial that the other VM's kernel refused, as nothing listens
// there, from one that failed here or got no answer.
func refusedDial(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// upstreamEnded reports an upstream that has ended, and counts it against the requests
// that it was running.
func (n *Node) upstreamEnded(up *upstream) {
	runs := n.visits.under(up.life)
	n.blameRuns(runs)
	n.metrics.UpstreamsEnded.Inc(1)
	n.log.Emit(observe.UpstreamEnded,
		observe.Str("addr", up.Addr),
		observe.Str("instance", up.Instance),
		observe.Dur("age", n.now().Sub(up.since)),
		observe.Int("runs", len(runs)))
}

// brokenReason names why a run has no answer, whose connection broke.
func (l *localCall) brokenReason(reason call.Reason) call.Reason {
	if reason != call.ReasonLost && reason != call.ReasonTruncated {
		return reason
	}
	if !l.node.endedUnder(l.upstream) {
		return reason
	}
	l.ends = l.node.endsOf(l.request)
	return call.ReasonUpstreamEnded
}
