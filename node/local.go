package node

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
	"pollengauge.dev/retry"
	"pollengauge.dev/shutdown"
)

// runLocal admits the call and runs it at this VM's upstream. Every answer it returns
// carries the outcome as far as this node can prove it.
func (n *Node) runLocal(ctx context.Context, req *request) *answer {
	arrived := n.now()
	up := n.upstream.Load()
	if up == nil {
		return n.refuse(call.NotRun, call.ReasonNoUpstream, 0)
	}
	if !n.adoptNotice(up, req.call.Upstream) {
		return n.refuse(call.NotRun, call.ReasonDraining, 0)
	}
	if refused := n.refuseUnfinishable(shutdown.UpstreamRun, req); refused != nil {
		return refused
	}
	refused, trial := n.checkQuarantineHere(req)
	if refused != nil {
		return refused
	}
	ticket, err := n.gate.Acquire(ctx, n.admissionRequest(req))
	if err != nil {
		if trial {
			n.abandonRun(req, false)
		}
		return n.gateRefusal(req, err, arrived)
	}
	if refused := n.refuseUnfinishable(shutdown.UpstreamRun, req); refused != nil {
		// The call was queued until it was too late.
		ticket.Release(admission.Ignore)
		if trial {
			n.abandonRun(req, false)
		}
		return refused
	}
	// The call may have been queued while another incarnation took the place.
	up = n.upstream.Load()
	v, cancel := n.openVisit(ctx, req, ticket, up.incarnation)
	run := &localCall{node: n, upstream: up, visit: v, cancel: cancel, request: req, arrived: arrived, started: v.started}
	return run.run(up)
}

// openVisit registers the visit of an admitted call.
func (n *Node) openVisit(ctx context.Context, req *request, ticket admission.Ticket, incarnation *upstreamIncarnation) (*visit, context.CancelFunc) {
	v := &visit{
		call:        req.call,
		deadline:    req.deadline,
		started:     n.now(),
		credit:      retry.NewCredit(req.call.Credit),
		ticket:      ticket,
		incarnation: incarnation,
		request:     req,
	}
	cancel := n.startVisitContext(ctx, v)
	if n.usesDialect() {
		n.visits.addAs(v, req.call.RequestID)
		n.graph.RecordVisit(req.call.Profile, v.started)
		return v, cancel
	}
	n.visits.add(v)
	v.children = atmostonce.NewVisit(cmp.Or(req.key, v.id))
	return v, cancel
}

// localCall is one execution of a call at the local upstream, from dispatch to the
// end of the response body.
type localCall struct {
	node     *Node
	upstream *upstream
	visit    *visit
	cancel   context.CancelFunc
	request  *request
	arrived  time.Time
	started  time.Time
	finished bool
	// unsent is set if no byte of the request reached the upstream.
	unsent bool
	// ends is what is known of the upstreams that crashed while running the request,
	// including a crash of the local one.
	ends quarantine.Verdict
}

// run sends the call to the upstream and derives the outcome from its response.
func (l *localCall) run(up *upstream) *answer {
	req := l.request
	out := l.node.upstreamRequest(up, l.visit, req)
	l.node.countSent(up)
	l.node.checkDeparture(up)
	resp, on, unsent, err := l.node.roundTripOn(l.visit.ctx, up.transport, out)
	if err != nil {
		return l.failed(unsent, err)
	}
	return l.answered(up, resp, on)
}

// failed determines the outcome of a call to which the upstream sent no usable
// response.
func (l *localCall) failed(unsent bool, err error) *answer {
	nothingRan := l.node.visits.closeProved(l.visit)
	outcome, reason := call.Unknown, lossReason(l.visit.ctx, err)
	l.unsent = unsent
	if unsent {
		l.node.handleRefusedDial(l.upstream, err)
	} else {
		reason = l.brokenConnReason(reason)
	}
	result := admission.Failed
	if unsent {
		l.node.log.Emit(observe.UpstreamGone, observe.Err(err))
	}
	if unsent && nothingRan {
		outcome = call.NotRun
		if reason == call.ReasonLost {
			reason = call.ReasonConnect
		}
	}
	if reason == call.ReasonCancelled {
		result = admission.Ignore
	}
	return l.withoutAnswer(result, outcome, reason)
}

// withoutAnswer finishes a call that has no upstream response to pass on.
func (l *localCall) withoutAnswer(result admission.Result, outcome call.Outcome, reason call.Reason) *answer {
	l.finish(result, outcome, reason, 0)
	a := l.node.refuse(outcome, reason, 0)
	a.reported = true
	l.node.fillReport(&a.report, l.visit)
	a.report.Ends, a.report.EndsStamp = l.ends.Ends, l.ends.Stamp
	return a
}

// answered determines the outcome of a call from the head of the response. The visit
// stays open until the body has ended.
func (l *localCall) answered(up *upstream, resp *http.Response, on exchange) *answer {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		// After a protocol switch the connection carries no HTTP. The node can't tell
		// its regular end from a broken connection, so the slot would never be freed.
		_ = resp.Body.Close()
		return l.failed(false, &SwitchedError{})
	}
	if l.node.usesDialect() {
		return l.answeredInDialect(up, resp, on)
	}
	claim := claimOf(up, resp)
	reason := call.Reason(resp.Header.Get(call.HeaderReason))
	hop := resp.Header.Get(call.HeaderHop)
	header := resp.Header
	stripHop(header)
	stripNodeHeaders(header)
	if claim == call.Complete {
		return l.complete(resp, header)
	}
	return l.upstreamRejected(resp, header, claim, reason, hop)
}

// claimOf returns the outcome that the upstream reports for its own call, complete if
// it reports none.
func claimOf(up *upstream, resp *http.Response) call.Outcome {
	if relayed, err := call.ParseOutcome(resp.Header.Get(call.HeaderOutcome)); err == nil {
		return relayed
	}
	if up.ShedStatus != 0 && resp.StatusCode == up.ShedStatus {
		return call.NotRun
	}
	return call.Complete
}

// complete passes on the upstream's own response.
func (l *localCall) complete(resp *http.Response, header http.Header) *answer {
	a := &answer{status: resp.StatusCode, header: header, resp: resp}
	a.report = call.Report{Outcome: call.Complete, Hop: l.node.settings.Service}
	l.node.fillReport(&a.report, l.visit)
	a.body = &visitBody{readCloser: resp.Body, call: l, status: resp.StatusCode}
	return a
}

// fillReport adds the admission level, retry credit and load that every answer
// reports to the calling hop.
func (n *Node) fillReport(r *call.Report, v *visit) {
	r.HighestAdmitLevel = max(n.gate.AdmitLevel(), v.worstDownstream())
	r.CreditLeft = v.creditLeft()
	r.Load = n.gate.Load()
	r.TargetLoad = n.targetLoad()
	if n.usesDialect() {
		r.Pressure = n.pressureOf(v.call.Profile)
		r.Work = n.slotTimeOf(v)
	}
	r.Upstream = v.incarnation.notices.notice()
}

// lossReason returns the reason why a dispatched call has no response.
func lossReason(ctx context.Context, err error) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return call.ReasonTimeout
	case ctx.Err() != nil:
		return call.ReasonCancelled
	default:
		return call.ReasonLost
	}
}
