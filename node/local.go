package node

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
)

// request is one call on its way through a node.
type request struct {
	method  string
	service string
	// caller is who asks, "" below the root.
	caller string
	// url has the path and query as received.
	url     *url.URL
	header  http.Header
	body    *replayBody
	trailer http.Header
	call    call.Context
	profile *config.Profile
	// key is the idempotency key, "" without one.
	key string
	// named tells that the caller gave the request its id.
	named    bool
	deadline time.Time
	// idempotent tells whether running the call twice is harmless.
	idempotent bool
	// remaining is how many calls the run that makes this one still needs, this one
	// included; 0 where no run is known.
	remaining int
	// parent is the run that makes this call, nil where none is known.
	parent *visit
	span   span
	// homeHops counts how often the call was passed on in search of its
	// key's home.
	homeHops int
}

// safeMethods change nothing (RFC 9110, 9.2.1); PUT and DELETE are idempotent
// unless the profile says otherwise (9.2.2).
func idempotentMethod(method string, profile *config.Profile) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	case http.MethodPut, http.MethodDelete:
		return !profile.Unrepeatable
	default:
		return false
	}
}

// runLocal admits the call and runs it at this VM's upstream. Every return
// carries the outcome as far as it is proved here.
func (n *Node) runLocal(ctx context.Context, req *request) *answer {
	arrived := n.now()
	up := n.upstream.Load()
	if up == nil {
		return n.refuse(call.NotRun, call.ReasonNoUpstream, 0)
	}
	ticket, err := n.gate.Acquire(ctx, n.admissionRequest(req))
	if err != nil {
		return n.gateRefusal(req, err, arrived)
	}
	v := &visit{
		call:     req.call,
		deadline: req.deadline,
		started:  n.now(),
		credit:   retry.NewCredit(req.call.Credit),
		ticket:   ticket,
	}
	visitCtx, cancel := context.WithDeadline(ctx, req.deadline)
	v.ctx = visitCtx
	if n.spoken() {
		n.visits.addAs(v, req.call.RequestID)
	} else {
		n.visits.add(v)
		v.children = atmostonce.NewVisit(cmp.Or(req.key, v.id))
	}
	if n.spoken() {
		n.graph.Begin(req.call.Profile, v.started)
	}
	done := &localCall{node: n, visit: v, cancel: cancel, request: req, arrived: arrived, started: n.now()}
	return done.run(up)
}

// admissionRequest tells the gate what it has to know of the call.
func (n *Node) admissionRequest(req *request) admission.Request {
	r := admission.Request{
		Level:     req.call.Level,
		Profile:   req.call.Profile,
		Inherited: req.call.Depth > 0,
		HeldBack:  float64(req.call.HeldBack) / pressureUnit,
		Progress:  req.call.Progress,
		MaxWait:   time.Duration(req.profile.MaxWait),
		Deadline:  req.deadline,
		// The failure: a payment that has done its work above is refused after
		// a short wait here, while the queue holds it in front of all reads.
		// Its fate is then unknown and nobody may try again.
		Hold: req.profile.Unrepeatable,
		// Profiles count the other way: 1 is recovery.
		Preference: 1 - float64(req.profile.Prefer),
	}
	if n.settings.Ablate.NoProgress {
		r.Progress = 0
	}
	if n.settings.Ablate.NoAdmission {
		r.Level = call.MaxLevel
		r.MaxWait = time.Duration(req.profile.Deadline)
	}
	return r
}

// localCall is one run at the local upstream, from dispatch to the end of the
// answer's body.
type localCall struct {
	node     *Node
	visit    *visit
	cancel   context.CancelFunc
	request  *request
	arrived  time.Time
	started  time.Time
	finished bool
}

func (l *localCall) run(up *upstream) *answer {
	req := l.request
	out := l.node.upstreamRequest(up, l.visit, req)
	resp, unsent, err := l.node.roundTrip(l.visit.ctx, up.transport, out)
	if err != nil {
		return l.failed(unsent, err)
	}
	return l.answered(up, resp)
}

// failed judges a run without an answer.
func (l *localCall) failed(unsent bool, err error) *answer {
	nothingRan := l.node.visits.closeProved(l.visit)
	outcome, reason := call.Unknown, lossReason(l.visit.ctx, err)
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
	l.finish(result, outcome, reason, 0)
	a := l.node.refuse(outcome, reason, 0)
	a.reported = true
	l.node.fillReport(&a.report, l.visit)
	return a
}

// answered judges an answer by its header; the visit stays open until the
// body has ended.
func (l *localCall) answered(up *upstream, resp *http.Response) *answer {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		// The connection is no longer HTTP, so what comes on it has no end that
		// could be told from a break, and the slot would never be free.
		_ = resp.Body.Close()
		return l.failed(false, &SwitchedError{})
	}
	if l.node.spoken() {
		return l.answeredInDialect(up, resp)
	}
	claim := call.Complete
	if up.ShedStatus != 0 && resp.StatusCode == up.ShedStatus {
		claim = call.NotRun
	}
	if relayed, err := call.ParseOutcome(resp.Header.Get(call.HeaderOutcome)); err == nil {
		claim = relayed
	}
	reason := call.Reason(resp.Header.Get(call.HeaderReason))
	hop := resp.Header.Get(call.HeaderHop)
	header := resp.Header
	stripHop(header)
	stripOwn(header)
	if claim == call.Complete {
		return l.complete(resp, header)
	}
	return l.gaveUp(resp, header, claim, reason, hop)
}

// complete passes on the upstream's own answer.
func (l *localCall) complete(resp *http.Response, header http.Header) *answer {
	a := &answer{status: resp.StatusCode, header: header, resp: resp}
	a.report = call.Report{Outcome: call.Complete, Hop: l.node.settings.Service}
	l.node.fillReport(&a.report, l.visit)
	a.body = &visitBody{readCloser: resp.Body, call: l, status: resp.StatusCode}
	return a
}

// gaveUp handles an upstream that says of its own call: shed, or given up
// because a call below was.
//
// The failure: an upstream sheds after it has already called out, and the
// hop above, told not-run, runs the call again elsewhere: the work below is
// done twice. Its word alone is therefore not enough; the visit must show
// that no call below ran. Otherwise the outcome is unknown.
func (l *localCall) gaveUp(resp *http.Response, header http.Header, claim call.Outcome, reason call.Reason, hop string) *answer {
	nothingRan := l.node.visits.closeProved(l.visit) || l.node.settings.Ablate.NoVisitProof
	outcome := call.Unknown
	if claim == call.NotRun && nothingRan {
		outcome = call.NotRun
	}
	if reason == call.ReasonNone {
		reason = call.ReasonUpstreamShed
	}
	body, err := readBounded(resp.Body, maxGaveUpBody)
	if err != nil {
		body = nil
	}
	if reason == call.ReasonUpstreamShed || reason == call.ReasonUpstreamRefused {
		l.node.log.Emit(observe.UpstreamShed, observe.Int("status", resp.StatusCode))
	}
	l.finish(l.shedResult(hop), outcome, reason, resp.StatusCode)
	a := &answer{status: resp.StatusCode, header: header, body: memoryBody(body), reported: true}
	header.Del("Content-Length")
	a.report = call.Report{Outcome: outcome, Reason: reason, Hop: l.node.settings.Service}
	if hop != "" {
		a.report.Hop = hop
	}
	l.node.fillReport(&a.report, l.visit)
	a.refusal = &refusal{outcome: outcome, reason: reason}
	return a
}

// shedResult tells the limiter what a give-up means.
//
// The failure: a deep service refuses, the upstreams above pass that on, and
// their own limits fall although nothing is wrong with them; their queues then
// refuse what the deep service would have taken. So only an upstream that
// sheds in its own name counts.
func (l *localCall) shedResult(hop string) admission.Result {
	if hop != "" && hop != l.node.settings.Service {
		return admission.Ignore
	}
	return admission.Shed
}

const maxGaveUpBody = 16 << 10

// finish ends the visit. It runs once.
func (l *localCall) finish(result admission.Result, outcome call.Outcome, reason call.Reason, status int) {
	if l.finished {
		return
	}
	l.finished = true
	l.noteWork(outcome, reason, status)
	l.visit.close()
	l.node.visits.remove(l.visit)
	if outcome == call.Complete && status < http.StatusBadRequest {
		l.node.graph.Completed(l.request.call.Profile, l.visit.completedCalls(), l.node.now())
	}
	l.cancel()
	waited := l.visit.ticket.Waited()
	profile := l.node.metrics.Profile(l.request.call.Profile)
	profile.Inbound.Inc(1)
	profile.QueueWait.Observe(waited)
	l.visit.ticket.Release(result)
	decision := observe.Admitted
	if waited > 0 {
		decision = observe.Delayed
	}
	hop := l.node.hop(l.request, observe.Inbound)
	hop.At = l.arrived
	hop.Decision = decision
	hop.Outcome = outcome
	hop.Reason = reason
	hop.Waited = waited
	hop.Took = l.node.now().Sub(l.started)
	hop.Status = status
	hop.CreditLeft = l.visit.creditLeft()
	l.node.record(hop)
}

// noteWork measures how long the upstream worked. A failure that came fast says
// nothing of its speed; a run that was cut at its deadline took that long at
// least.
func (l *localCall) noteWork(outcome call.Outcome, reason call.Reason, status int) {
	answered := outcome == call.Complete && status < http.StatusInternalServerError
	late := outcome == call.Unknown && reason == call.ReasonTimeout
	if answered || late {
		l.node.work.Add(l.request.call.Profile, l.visit.worked(l.node.now()))
	}
}

// visitBody ends the visit when the upstream's answer has ended.
type visitBody struct {
	readCloser
	call   *localCall
	status int
}

type readCloser interface {
	Read([]byte) (int, error)
	Close() error
}

// Read implements io.Reader.
func (b *visitBody) Read(p []byte) (int, error) {
	count, err := b.readCloser.Read(p)
	if err == nil {
		return count, nil
	}
	if isEOF(err) {
		b.call.finish(resultOf(b.status), call.Complete, call.ReasonNone, b.status)
	} else {
		b.call.finish(admission.Failed, call.Unknown, call.ReasonTruncated, b.status)
	}
	return count, err
}

// resultOf keeps failures out of the baseline: an upstream that fails fast
// would otherwise look like one that became faster.
func resultOf(status int) admission.Result {
	if status >= http.StatusInternalServerError {
		return admission.Failed
	}
	return admission.OK
}

// Close implements io.Closer. A body closed before its end belongs to a
// receiver that went away.
func (b *visitBody) Close() error {
	b.call.finish(admission.Ignore, call.Unknown, call.ReasonCancelled, b.status)
	return b.readCloser.Close()
}

// gateRefusal turns an admission refusal into an answer. The call was never
// dispatched, so it is proved not run.
func (n *Node) gateRefusal(req *request, err error, arrived time.Time) *answer {
	refused := &admission.RefusedError{Reason: call.ReasonQueueFull}
	errors.As(err, &refused)
	hop := n.hop(req, observe.Inbound)
	hop.Took = hop.At.Sub(arrived)
	hop.At = arrived
	if refused.Reason != call.ReasonLevel && refused.Reason != call.ReasonDraining {
		hop.Waited = hop.Took
	}
	hop.Decision = observe.Refused
	hop.Reason = refused.Reason
	hop.Outcome = call.NotRun
	hop.AdmitLevel = refused.Level
	state := n.gate.Snapshot()
	hop.Limit = state.Limit
	hop.Queue = state.Queued
	hop.Blocked = state.Blocked
	hop.Pressure = n.gate.Pressure()
	n.metrics.Profile(req.call.Profile).Refused(refused.Reason)
	if refused.Reason == call.ReasonQueueFull {
		n.log.Emit(observe.QueueFull, observe.Str("profile", req.call.Profile), observe.Str("level", req.call.Level.String()))
	}
	n.record(hop)
	a := n.refuse(call.NotRun, refused.Reason, refused.RetryAfter)
	a.report.Worst = max(refused.Level, n.gate.AdmitLevel())
	a.report.CreditLeft = req.call.Credit
	a.report.Load = n.gate.Load()
	if n.spoken() {
		a.report.Pressure = n.pressureOf(req.call.Profile)
	}
	return a
}

// fillReport adds what the hop above learns from every answer.
func (n *Node) fillReport(r *call.Report, v *visit) {
	r.Worst = max(n.gate.AdmitLevel(), v.worstBelow())
	r.CreditLeft = v.creditLeft()
	r.Load = n.gate.Load()
	if n.spoken() {
		r.Pressure = n.pressureOf(v.call.Profile)
		r.Work = n.workOf(v)
	}
}

// lossReason names why a dispatched call has no answer.
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
