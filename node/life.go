package node

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
)

// upstreamLife tells whether one incarnation of the upstream still runs, and which
// requests may have ended it.
//
// The failure: a run whose connection breaks looks the same whether its answer was
// lost or its upstream has ended. The first says nothing of the request, the second
// may be the request's doing.
type upstreamLife struct {
	// turn is held by the run that looks whether the upstream is there.
	turn chan struct{}
	// endedAt is when it was last found to have ended, nil if it never was. An
	// upstream that does not name itself may be back without notice: what began later
	// is a run of the next incarnation.
	endedAt atomic.Pointer[time.Time]
	// silent is until when the upstream is not asked again, as it answered nothing,
	// and seen when it was last asked and there. The holder of turn has them.
	silent, seen time.Time
	// completed has requests that completed.
	completed quarantine.Completions

	mu sync.Mutex
	// unanswered are the runs that ended without an answer while the upstream seemed
	// to be there, in order of time; mu guards it.
	unanswered []unansweredRun
}

// unansweredRun is a run that ended without an answer.
type unansweredRun struct {
	quarantine.Running
	at time.Time
	// given is set if it was given up here: the upstream may have gone on with it.
	given bool
}

const (
	// silentPause is how long an upstream that did not answer a dial is left alone.
	// Runs that break in the meantime would each wait for a dial of their own.
	silentPause = time.Second
	// breakTime is the time in which all connections to an upstream that has ended
	// are found broken.
	breakTime = 20 * time.Millisecond
	// greeting is how long a new connection must stay open for the upstream to be
	// there: what stands between, as a port forwarder, accepts and then closes it.
	greeting = 5 * time.Millisecond
	// maxUnanswered bounds the runs that are remembered, and the rest for how long:
	// an upstream may end under a request some time after its caller has given up,
	// and one that is back at once is only known by its next announcement. If there
	// are too many, the first stay: those that failed at once came after the end.
	maxUnanswered     = 512
	givenUpRemembered = time.Second
	lostRemembered    = 3 * time.Second
	// lostBefore is how long before an end is found the runs that it broke may have
	// been taken for lost, where the node itself is slow.
	lostBefore = 200 * time.Millisecond
)

func newUpstreamLife() *upstreamLife { return &upstreamLife{turn: make(chan struct{}, 1)} }

// endedSince reports whether the upstream is known to have ended after a run began.
func (l *upstreamLife) endedSince(began time.Time) bool {
	at := l.endedAt.Load()
	return at != nil && !began.After(*at)
}

// remember keeps a run that ended without an answer.
func (l *upstreamLife) remember(run unansweredRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := 0
	for old < len(l.unanswered) && run.at.Sub(l.unanswered[old].at) >= lostRemembered {
		old++
	}
	l.unanswered = append(l.unanswered[:0], l.unanswered[old:]...)
	if len(l.unanswered) < maxUnanswered {
		l.unanswered = append(l.unanswered, run)
	}
}

func (l *upstreamLife) hasUnanswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unanswered) > 0
}

// takeUnanswered returns the runs that were given up, or lost, a short time ago. It
// forgets all.
func (l *upstreamLife) takeUnanswered(lost time.Duration, now time.Time) []quarantine.Running {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []quarantine.Running
	for _, run := range l.unanswered {
		remembered := lost
		if run.given {
			remembered = givenUpRemembered
		}
		if now.Sub(run.at) < remembered {
			runs = append(runs, run.Running)
		}
	}
	l.unanswered = l.unanswered[:0]
	return runs
}

// endedUnder reports whether the upstream has ended, after a run of it broke. Runs
// that break together take turns, and all but the first find it known.
func (n *Node) endedUnder(up *upstream, v *visit) bool {
	life := up.life
	broke := n.now()
	v.broken.Store(true)
	if life.endedSince(v.started) {
		return true
	}
	life.turn <- struct{}{}
	defer func() { <-life.turn }()
	if life.endedSince(v.started) {
		return true
	}
	if life.seen.After(broke) || n.leaving(up) || n.now().Before(life.silent) {
		return false
	}
	asked := n.now()
	if !n.refusesDials(up) {
		life.seen = asked
		return false
	}
	objects.Pause(context.Background(), breakTime)
	broken, alive := n.visits.under(life, broke)
	if alive > len(broken) {
		// It only takes no more connections.
		life.seen = asked
		return false
	}
	now := n.now()
	runs := append(runningOf(broken), life.takeUnanswered(lostBefore, now)...)
	life.endedAt.Store(&now)
	n.upstreamEnded(up, runs)
	life.completed.Reset()
	return true
}

// goneUnder takes in that the upstream refused a dial while it ran nothing that would
// have broken. If a run was given up a short time ago, that one may have ended it.
func (n *Node) goneUnder(up *upstream, err error) {
	life := up.life
	if !errors.Is(err, syscall.ECONNREFUSED) || !life.hasUnanswered() || n.leaving(up) {
		return
	}
	life.turn <- struct{}{}
	defer func() { <-life.turn }()
	now := n.now()
	if broken, whole := n.visits.under(life, now.Add(-breakTime)); len(broken)+whole > 0 {
		return
	}
	if runs := life.takeUnanswered(lostBefore, now); len(runs) > 0 {
		life.endedAt.Store(&now)
		n.upstreamEnded(up, runs)
		life.completed.Reset()
	}
}

// leaving tells that the upstream was going to end, or this node is: no request is
// the cause.
func (n *Node) leaving(up *upstream) bool {
	return up.Draining || n.draining.Load() || n.ending.Load()
}

// refusesDials reports whether nothing serves any more at the upstream's address. The
// holder of the life's turn calls it.
func (n *Node) refusesDials(up *upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := n.network.Dial(ctx, up.Addr)
	if err == nil {
		defer func() { _ = conn.Close() }()
		return closesAtOnce(conn)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	up.life.silent = n.now().Add(silentPause)
	return false
}

// closesAtOnce reports whether the other side closes a new connection without a word.
func closesAtOnce(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(greeting)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// upstreamReplaced takes in that another incarnation has announced itself in the place
// of one that did not say that it leaves, and that nobody has found ended.
//
// The failure: a supervisor starts the upstream again within milliseconds, so dials are
// never refused, and the request that ends it is taken for one whose answer was lost.
func (n *Node) upstreamReplaced(old *upstream) {
	if n.leaving(old) || old.life.endedAt.Load() != nil {
		return
	}
	if runs := old.life.takeUnanswered(lostRemembered, n.now()); len(runs) > 0 {
		n.upstreamEnded(old, runs)
	}
}

// otherLife reports whether an announcement is of another incarnation, as far as both
// tell.
func (up *upstream) otherLife(a Announcement) bool {
	if up.Instance == "" || a.Instance == "" {
		return false
	}
	return up.Instance != a.Instance || up.Born != 0 && a.Born != 0 && up.Born != a.Born
}

// upstreamEnded reports an upstream that has ended, and counts it against the requests
// that it was running.
func (n *Node) upstreamEnded(up *upstream, runs []quarantine.Running) {
	n.metrics.UpstreamsEnded.Inc(1)
	n.log.Emit(observe.UpstreamEnded,
		observe.Str("addr", up.Addr),
		observe.Str("instance", up.Instance),
		observe.Dur("age", n.now().Sub(up.since)),
		observe.Int("runs", len(runs)))
	n.blameRuns(runs)
}

// runningOf describes the runs of open visits.
func runningOf(visits []*visit) []quarantine.Running {
	runs := make([]quarantine.Running, 0, len(visits))
	for _, v := range visits {
		runs = append(runs, v.running())
	}
	return runs
}

// running describes the run for blame.
func (v *visit) running() quarantine.Running {
	f := contentFingerprint(v.request)
	return quarantine.Running{
		Fingerprint: f,
		Known:       v.call.Ends,
		Completed:   v.life.completed.Has(f),
		Label:       labelOf(v.request),
	}
}

// brokenReason names why a run has no answer, whose connection broke.
func (l *localCall) brokenReason(reason call.Reason) call.Reason {
	if reason != call.ReasonLost && reason != call.ReasonTruncated {
		return reason
	}
	if !l.node.endedUnder(l.upstream, l.visit) {
		return reason
	}
	l.ends = l.node.endsOf(l.request)
	return call.ReasonUpstreamEnded
}

// noteUnanswered remembers a run that was sent and has no answer.
func (l *localCall) noteUnanswered(reason call.Reason) {
	if l.unsent {
		return
	}
	switch reason {
	case call.ReasonLost, call.ReasonTruncated, call.ReasonCancelled, call.ReasonTimeout:
		given := reason == call.ReasonCancelled || reason == call.ReasonTimeout
		l.visit.life.remember(unansweredRun{Running: l.visit.running(), at: l.node.now(), given: given})
	}
}
