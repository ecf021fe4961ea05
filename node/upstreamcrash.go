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

// upstreamIncarnation tracks whether one incarnation of the upstream still runs, and which
// requests may have crashed it.
//
// A run whose connection breaks looks the same whether only its answer was lost or its
// upstream has crashed. A lost answer says nothing about the request; a crash may be
// caused by the request.
type upstreamIncarnation struct {
	// turn is a semaphore held by the run that checks whether the upstream is still
	// there.
	turn chan struct{}
	// crashedAt is when the upstream was last found to have crashed, nil if it never
	// was. An upstream that sends no instance name may be back without notice: a run
	// that began after crashedAt belongs to the next incarnation.
	crashedAt atomic.Pointer[time.Time]
	// departedAt is when the upstream reported that it leaves, nil if it did not.
	departedAt atomic.Pointer[time.Time]
	// silentUntil is the time until which the upstream is not dialled again because a
	// dial got no response. lastSeen is when the last dial that found it running began.
	// The holder of turn guards both.
	silentUntil, lastSeen time.Time
	// completed records the requests that completed.
	completed quarantine.Completions
	// notices is what the incarnation states about itself in its responses.
	notices noticeState

	mu sync.Mutex
	// unanswered lists the runs that ended without an answer while the upstream seemed
	// to be running, in order of time; mu guards it.
	unanswered []unansweredRun
}

// unansweredRun is a run that ended without an answer.
type unansweredRun struct {
	quarantine.Running
	at time.Time
	// givenUp is set if this node gave the run up: the upstream may have continued with
	// it.
	givenUp bool
}

const (
	// silentPause is how long an upstream that did not respond to a dial is not dialled
	// again. Without the pause, each run that breaks in the meantime would wait for a
	// dial of its own.
	silentPause = time.Second
	// connBreakTime is the time within which all connections to a crashed upstream are
	// found broken.
	connBreakTime = 20 * time.Millisecond
	// minConnLife is how long a new connection must stay open to show that the upstream
	// is running: an intermediary such as a port forwarder accepts the connection and
	// then closes it.
	minConnLife = 5 * time.Millisecond
	// maxUnanswered bounds the unanswered runs that are remembered. givenUpRemembered
	// and lostRemembered bound for how long: an upstream may crash under a request some
	// time after the request's caller has given up, and the crash of an upstream that
	// restarts at once is only noticed by its next announcement. If there are too many,
	// the first are retained: runs that failed at once began after the crash.
	maxUnanswered     = 512
	givenUpRemembered = time.Second
	lostRemembered    = 3 * time.Second
	// lostBeforeCrash is how long before a crash is detected the runs that it broke may
	// already have been recorded as lost, because the node itself is slow.
	lostBeforeCrash = 200 * time.Millisecond
)

func newIncarnation() *upstreamIncarnation { return &upstreamIncarnation{turn: make(chan struct{}, 1)} }

// crashedSince reports whether the upstream is known to have crashed after a run began.
func (l *upstreamIncarnation) crashedSince(began time.Time) bool {
	at := l.crashedAt.Load()
	return at != nil && !began.After(*at)
}

// remember records a run that ended without an answer.
func (l *upstreamIncarnation) remember(run unansweredRun) {
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

func (l *upstreamIncarnation) hasUnanswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unanswered) > 0
}

// takeUnanswered returns the runs that were given up or lost a short time ago, and
// clears the list. lost is how long ago a lost run may have ended.
func (l *upstreamIncarnation) takeUnanswered(lost time.Duration, now time.Time) []quarantine.Running {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []quarantine.Running
	for _, run := range l.unanswered {
		remembered := lost
		if run.givenUp {
			remembered = givenUpRemembered
		}
		if now.Sub(run.at) < remembered {
			runs = append(runs, run.Running)
		}
	}
	l.unanswered = l.unanswered[:0]
	return runs
}

// crashedUnder reports whether the upstream has crashed, after the connection of a run
// broke. Runs that break together are serialized; the first one checks, and the others
// use its result.
func (n *Node) crashedUnder(up *upstream, v *visit) bool {
	incarnation := up.incarnation
	brokeAt := n.now()
	v.broken.Store(true)
	if incarnation.crashedSince(v.started) {
		return true
	}
	incarnation.turn <- struct{}{}
	defer func() { <-incarnation.turn }()
	if incarnation.crashedSince(v.started) {
		return true
	}
	if incarnation.lastSeen.After(brokeAt) || n.leaving(up) || n.now().Before(incarnation.silentUntil) {
		return false
	}
	dialledAt := n.now()
	if !n.refusesDials(up) {
		incarnation.lastSeen = dialledAt
		return false
	}
	objects.Pause(context.Background(), connBreakTime)
	broken, alive := n.visits.openVisitsAt(incarnation, brokeAt)
	if alive > len(broken) {
		// The upstream still runs other calls; it only accepts no more connections.
		incarnation.lastSeen = dialledAt
		return false
	}
	now := n.now()
	runs := append(runningOf(broken), incarnation.takeUnanswered(lostBeforeCrash, now)...)
	incarnation.crashedAt.Store(&now)
	n.reportCrash(up, runs)
	incarnation.completed.Reset()
	return true
}

// handleRefusedDial handles an upstream that refused a dial while no run was open whose
// connection would have broken. A run that was given up a short time ago may have
// crashed it.
func (n *Node) handleRefusedDial(up *upstream, err error) {
	incarnation := up.incarnation
	if !errors.Is(err, syscall.ECONNREFUSED) || !incarnation.hasUnanswered() || n.leaving(up) {
		return
	}
	incarnation.turn <- struct{}{}
	defer func() { <-incarnation.turn }()
	now := n.now()
	if broken, intact := n.visits.openVisitsAt(incarnation, now.Add(-connBreakTime)); len(broken)+intact > 0 {
		return
	}
	if runs := incarnation.takeUnanswered(lostBeforeCrash, now); len(runs) > 0 {
		incarnation.crashedAt.Store(&now)
		n.reportCrash(up, runs)
		incarnation.completed.Reset()
	}
}

// leaving reports whether the upstream or this node is shutting down, so that no request
// is to blame. A drain because another incarnation answers is no shutdown: the upstream may
// have crashed.
func (n *Node) leaving(up *upstream) bool {
	return up.Draining || up.incarnation.departedAt.Load() != nil || n.ending.Load() ||
		drainCause(n.drainCauses.Load())&(causeOperator|causeShutdown) != 0
}

// refusesDials reports whether nothing serves the upstream's address any more. The
// caller holds the turn of the upstream's incarnation.
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
	up.incarnation.silentUntil = n.now().Add(silentPause)
	return false
}

// closesAtOnce reports whether the other side closes a new connection without sending
// anything.
func closesAtOnce(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(minConnLife)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// upstreamReplaced handles the announcement of a new incarnation when the old one
// neither announced that it leaves nor was found to have crashed.
//
// It handles this failure: a supervisor restarts the upstream within milliseconds, so
// dials are never refused, and the request that crashes the upstream is mistaken for one
// whose answer was lost.
func (n *Node) upstreamReplaced(old *upstream) {
	if n.leaving(old) || old.incarnation.crashedAt.Load() != nil {
		return
	}
	if runs := old.incarnation.takeUnanswered(lostRemembered, n.now()); len(runs) > 0 {
		n.reportCrash(old, runs)
	}
}

// isOtherIncarnation reports whether an announcement comes from another incarnation. It
// returns false if one of the two names no instance.
func (up *upstream) isOtherIncarnation(a Announcement) bool {
	if up.Instance == "" || a.Instance == "" {
		return false
	}
	return up.Instance != a.Instance || up.Born != 0 && a.Born != 0 && up.Born != a.Born
}

// reportCrash logs and counts an upstream that has crashed, and blames the requests
// that it was running.
func (n *Node) reportCrash(up *upstream, runs []quarantine.Running) {
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

// running describes the run to the quarantine ledger.
func (v *visit) running() quarantine.Running {
	f := contentFingerprint(v.request)
	return quarantine.Running{
		Fingerprint: f,
		Known:       v.call.Ends,
		Completed:   v.incarnation.completed.Has(f),
		Label:       labelOf(v.request),
	}
}

// brokenConnReason returns the reason why a run whose connection broke has no answer:
// upstream-ended if the upstream has crashed, otherwise the reason passed in.
func (l *localCall) brokenConnReason(reason call.Reason) call.Reason {
	if reason != call.ReasonLost && reason != call.ReasonTruncated {
		return reason
	}
	if !l.node.crashedUnder(l.upstream, l.visit) {
		return reason
	}
	l.ends = l.node.crashVerdict(l.request)
	return call.ReasonUpstreamCrashed
}

// noteUnanswered remembers a run that was sent to the upstream and got no answer.
func (l *localCall) noteUnanswered(reason call.Reason) {
	if l.unsent {
		return
	}
	switch reason {
	case call.ReasonLost, call.ReasonTruncated, call.ReasonCancelled, call.ReasonTimeout:
		given := reason == call.ReasonCancelled || reason == call.ReasonTimeout
		l.visit.incarnation.remember(unansweredRun{Running: l.visit.running(), at: l.node.now(), givenUp: given})
	}
}
