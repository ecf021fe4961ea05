package node

import (
	"context"
	"net"
	"net/http"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/shutdown"
)

// outboundHandler returns the handler of the outbound listener, which receives
// requests from this VM.
func (n *Node) outboundHandler() http.Handler {
	if n.usesDialect() {
		return http.HandlerFunc(n.serveRouted)
	}
	return http.HandlerFunc(n.serveOutbound)
}

// serveOutbound carries a call that the local upstream makes. The Host header names
// the service.
func (n *Node) serveOutbound(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	service := serviceOf(r.Host)
	if !validName(service) {
		n.answerBadRequest(w, r, &WrongServiceError{Service: service, Want: "a service name as Host"})
		return
	}
	id := r.Header.Get(call.HeaderVisit)
	if id == "" {
		n.serveOrphan(w, r, service)
		return
	}
	v, ok := n.visits.find(id)
	if !ok || !v.begin(n.now()) {
		n.serveClosedVisit(w, r, service)
		return
	}
	n.serveChild(w, r, service, v)
}

// serveClosedVisit handles an outbound call for a visit that has ended.
func (n *Node) serveClosedVisit(w http.ResponseWriter, r *http.Request, service string) {
	if n.settings.Ablate.NoClosedVisit {
		n.serveOrphan(w, r, service)
		return
	}
	n.writeVisitClosed(w, r)
}

// serveOrphan handles an outbound call that names no visit. It becomes a new root.
// Since any visit open at that time may have made it, none of them can report not-run
// any more.
func (n *Node) serveOrphan(w http.ResponseWriter, r *http.Request, service string) {
	n.visits.unnamedCalls.Add(1)
	n.logRootWithoutContext(service)
	stripNodeHeaders(r.Header)
	req, err := n.rootRequest(w, r, service, true)
	if err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	n.serveRoot(r.Context(), w, r, req)
}

// serveChild carries a call that visit v makes. It reports the call's outcome to v.end
// in every case, since the visit's own outcome depends on the outcomes of all its
// calls.
func (n *Node) serveChild(w http.ResponseWriter, r *http.Request, service string, v *visit) {
	report := call.Report{Outcome: call.NotRun}
	defer func() { v.end(report, n.now()) }()
	req, err := n.readChild(w, r, service, v)
	if err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	childKey := n.inherit(req, v)
	// From here on the call may run, even if this handler is interrupted.
	report.Outcome = call.Unknown
	v.ticket.Block()
	defer v.ticket.Unblock()
	ctx, cancel := n.callContext(r.Context(), v, req.deadline)
	defer cancel()
	start := n.now()
	a := n.runChild(ctx, req, v, childKey)
	report = a.report
	took := n.recordStep(req, a, observe.Outbound, start)
	n.noteCallTime(req, a, took, start.Add(took))
	n.finishRefusal(a, req)
	defer a.close()
	a.toCaller = true
	setWriteDeadline(w, req.deadline)
	if err := writeAnswer(w, a); err != nil {
		report.Outcome = call.Unknown
		n.abort(trackedOf(r), req, err)
	}
}

// readChild reads a call that visit v makes.
func (n *Node) readChild(w http.ResponseWriter, r *http.Request, service string, v *visit) (*request, error) {
	if v.call.Depth >= call.MaxDepth {
		return nil, &DepthError{Depth: v.call.Depth}
	}
	profile, err := n.profileFor(service, r)
	if err != nil {
		return nil, err
	}
	return n.readDownstream(w, r, service, profile)
}

// inherit gives a child call what its root decided: id, profile, level, deadline. It
// returns the idempotency key under which the child runs at most once, "" if it needs
// none.
func (n *Node) inherit(req *request, v *visit) string {
	req.call = v.call
	req.call.Depth++
	req.call.Progress = v.progress()
	req.deadline = v.deadline
	stripNodeHeaders(req.header)
	if req.idempotent {
		return ""
	}
	return n.childKey(v, req.service, req.key)
}

func (n *Node) runChild(ctx context.Context, req *request, v *visit, childKey string) *answer {
	if refused := n.refuseUnfinishable(shutdown.UpstreamCall, req); refused != nil {
		return refused
	}
	if childKey != "" {
		return n.runChildKeyed(ctx, req, v, childKey)
	}
	return n.dispatch(ctx, req, v.credit)
}

// writeVisitClosed refuses a call for a visit that has ended.
func (n *Node) writeVisitClosed(w http.ResponseWriter, r *http.Request) {
	req := &request{service: serviceOf(r.Host), call: call.Context{RequestID: r.Header.Get(call.HeaderRequest)}}
	n.log.Emit(observe.VisitClosed, observe.Str("called", req.service), observe.Str("request", call.ShortID(req.call.RequestID)))
	a := n.refuse(call.NotRun, call.ReasonVisitClosed, 0)
	n.finishRefusal(a, req)
	hop := n.hop(req, observe.Outbound, n.now())
	hop.Decision = observe.Refused
	hop.Reason = call.ReasonVisitClosed
	hop.Outcome = call.NotRun
	n.record(&hop)
	_ = writeAnswer(w, a)
}

// serviceOf returns the service that a Host header names, without the port.
func serviceOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
