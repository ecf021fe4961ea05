package node

import (
	"context"
	"net/http"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/node/inflight"
	"pollengauge.dev/retry"
)

// KeyPath is the path on the edge listener at which callers obtain an idempotency key.
const KeyPath = "/.well-known/pollengauge/key"

// serveEdge handles the requests of callers from outside. This node is their root.
func (n *Node) serveEdge(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == KeyPath {
		n.serveMint(w, r)
		return
	}
	n.active.Add(1)
	defer n.active.Add(-1)
	if run := takeEarlyRun(r); run != nil {
		n.serveEarlyRun(w, r, run)
		return
	}
	n.noteForged(r)
	stripNodeHeaders(r.Header)
	req, err := n.rootRequest(w, r, n.settings.Service, false)
	if err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	n.serveRoot(r.Context(), w, r, req)
}

// serveRoot runs a root request within ctx, writes its answer and returns the answer's
// report.
func (n *Node) serveRoot(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) call.Report {
	a := n.answerRoot(ctx, req)
	defer a.close()
	return n.writeRoot(w, r, req, a)
}

// answerRoot runs a root request and returns its answer.
func (n *Node) answerRoot(ctx context.Context, req *request) *answer {
	start := n.now()
	firstID := n.noteCallerRetry(req)
	a := n.runRoot(ctx, req)
	n.keepCredit(req, firstID)
	n.nameInterruption(a, req, start)
	n.finishRefusal(a, req)
	n.recordRoot(req, a, start)
	if req.parent != nil {
		req.parent.noteAnswer(req.call.Profile, a.report)
	}
	return a
}

// nameInterruption gives a request that was interrupted at the end of a drain that reason
// in place of a cancellation by its caller. start is when the request was read.
func (n *Node) nameInterruption(a *answer, req *request, start time.Time) {
	if a.report.Reason != call.ReasonCancelled || !n.inflight.Interrupted() || a.refusal == nil {
		return
	}
	a.report.Reason, a.refusal.reason = call.ReasonDraining, call.ReasonDraining
	a.status = refusalStatus(a.report.Outcome, call.ReasonDraining)
	if a.report.Outcome != call.NotRun {
		n.logInterrupted(req, start)
	}
}

// writeRoot writes the answer to a root request and returns the answer's report.
func (n *Node) writeRoot(w http.ResponseWriter, r *http.Request, req *request, a *answer) call.Report {
	if !n.usesDialect() {
		w.Header().Set(call.HeaderRequest, req.call.RequestID)
	}
	a.toCaller, a.withoutReport = true, n.usesDialect()
	setWriteDeadline(w, req.deadline)
	n.retireConn(w.Header(), r)
	if err := writeAnswer(w, a); err != nil {
		n.abort(trackedOf(r), req, err)
	}
	return a.report
}

// runRoot takes the customer's quota for a root request and runs it. Its idempotency
// key is checked before admission, because the replay of a stored answer costs nothing
// and must work under overload. A request that did not run returns its quota.
func (n *Node) runRoot(ctx context.Context, req *request) *answer {
	if refused := n.refuseUnfinishable(rootKind(req), req); refused != nil {
		req.creditUnused = true
		return refused
	}
	if refused := n.takeQuota(ctx, req); refused != nil {
		req.creditUnused = true
		return refused
	}
	n.placeFairly(req)
	a := n.runInQuota(ctx, req)
	if a.report.Outcome == call.NotRun {
		n.returnQuota(req)
	}
	return a
}

// runInQuota runs a root request that is within its customer's limit.
func (n *Node) runInQuota(ctx context.Context, req *request) *answer {
	if req.key == "" && req.profile.Key == config.KeyRequired {
		return n.refuse(call.NotRun, call.ReasonKeyRequired, 0)
	}
	if req.profile.Unrepeatable && !req.idempotent && !n.usesDialect() {
		return n.runKeyed(ctx, req)
	}
	return n.admitAndDispatch(ctx, req)
}

// admitAndDispatch refuses at the root, before any work is done, a request that a
// downstream hop would refuse. It dispatches all others.
func (n *Node) admitAndDispatch(ctx context.Context, req *request) *answer {
	if refused := n.refuseEarly(req); refused != nil {
		req.creditUnused = true
		if stale := n.brownout(req); stale != nil {
			return stale
		}
		return refused
	}
	cancel := req.cancel
	if cancel == nil {
		ctx, cancel = context.WithDeadline(ctx, req.deadline)
	}
	req.tracked.OnInterrupt(cancel)
	a := n.dispatchRoot(ctx, req)
	req.tracked.OnInterrupt(nil)
	if a.report.Outcome == call.NotRun {
		if stale := n.brownout(req); stale != nil {
			a.close()
			cancel()
			return stale
		}
	}
	if a.body == nil {
		cancel()
		return a
	}
	a.body = n.storeForBrownout(req, a)
	if inMemory(a.body) {
		cancel()
		return a
	}
	a.body = &cancelBody{readCloser: a.body, cancel: cancel}
	return a
}

// refuseEarly refuses a request that a downstream hop would refuse, judged by the
// admission levels that recent answers reported. It returns nil to admit.
func (n *Node) refuseEarly(req *request) *answer {
	if n.usesDialect() {
		return n.refuseOverloaded(req)
	}
	ok, inForce := n.feedback.Admit(req.call.Profile, req.call.Level, n.now())
	if ok || n.settings.Ablate.NoFeedback {
		return nil
	}
	a := n.refuse(call.NotRun, call.ReasonLevelBelow, 0)
	a.report.HighestAdmitLevel = inForce
	return a
}

// dispatchRoot dispatches req with its full retry credit and records from the answer
// which levels are refused downstream.
func (n *Node) dispatchRoot(ctx context.Context, req *request) *answer {
	credit := retry.NewCredit(req.call.Credit)
	n.metrics.Profile(req.call.Profile).Granted.Inc(int64(req.call.Credit))
	a := n.dispatch(ctx, req, credit)
	n.feedback.Observe(req.call.Profile, a.report.HighestAdmitLevel, n.now())
	n.recordPressure(req, a)
	a.report.CreditLeft = credit.Left()
	req.creditUnused = a.report.CreditLeft == req.call.Credit
	return a
}

// abort breaks the caller's connection when the rest of an answer can't be delivered.
func (n *Node) abort(q *inflight.Request, req *request, err error) {
	n.cutAnswer(q, req, err)
	if n.settings.Ablate.NoAbort {
		return
	}
	panic(http.ErrAbortHandler)
}
