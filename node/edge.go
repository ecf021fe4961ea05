package node

import (
	"context"
	"net/http"
	"strings"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
)

// KeyPath is where callers mint an idempotency key on the edge listener.
const KeyPath = "/.well-known/pollengauge/key"

// headerRequestID is the customary name under which callers send an id.
const headerRequestID = "X-Request-Id"

// serveEdge is the root of every request from outside.
func (n *Node) serveEdge(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == KeyPath {
		n.serveMint(w, r)
		return
	}
	n.active.Add(1)
	defer n.active.Add(-1)
	if run := turnOf(r); run != nil {
		n.serveBegun(w, r, run)
		return
	}
	n.noteForged(r)
	stripOwn(r.Header)
	req, err := n.rootRequest(w, r, n.settings.Service)
	if err != nil {
		n.writeBad(w, r, err)
		return
	}
	n.serveRoot(w, r, req)
}

// serveRoot runs a root request, writes its answer and returns the report.
func (n *Node) serveRoot(w http.ResponseWriter, r *http.Request, req *request) call.Report {
	a := n.answerRoot(r.Context(), req)
	defer a.close()
	return n.writeRoot(w, req, a)
}

// answerRoot runs a root request to its answer.
func (n *Node) answerRoot(ctx context.Context, req *request) *answer {
	start := n.now()
	n.noteRepeat(req)
	a := n.runRoot(ctx, req)
	n.finishRefusal(a, req)
	n.recordRoot(req, a, start)
	if req.parent != nil {
		req.parent.noteAnswer(req.call.Profile, a.report)
	}
	return a
}

// writeRoot writes the answer to a root request and returns its report.
func (n *Node) writeRoot(w http.ResponseWriter, req *request, a *answer) call.Report {
	if !n.spoken() {
		w.Header().Set(call.HeaderRequest, req.call.RequestID)
	}
	a.outside, a.plain = true, n.spoken()
	limitWrite(w, req.deadline)
	if err := writeAnswer(w, a); err != nil {
		n.abort(req, err)
	}
	return a.report
}

// runRoot decides about a root request: its key first, since a replay costs
// nothing and must work under overload, then admission, then dispatch.
func (n *Node) runRoot(ctx context.Context, req *request) *answer {
	if req.key == "" && req.profile.Key == config.KeyRequired {
		return n.refuse(call.NotRun, call.ReasonKeyRequired, 0)
	}
	if req.profile.Unrepeatable && !req.idempotent && !n.spoken() {
		return n.runKeyed(ctx, req)
	}
	return n.admitAndDispatch(ctx, req)
}

// admitAndDispatch refuses at the root what would fail deeper, before any
// work is done, and dispatches the rest.
func (n *Node) admitAndDispatch(ctx context.Context, req *request) *answer {
	if refused := n.refuseBelow(req); refused != nil {
		if stale := n.brownout(req); stale != nil {
			return stale
		}
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	a := n.dispatchRoot(ctx, req)
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
	a.body = &cancelBody{readCloser: n.remember(req, a), cancel: cancel}
	return a
}

// refuseBelow refuses what a deeper hop would refuse, judged by the admission
// levels that recent answers brought back. It returns nil to admit.
func (n *Node) refuseBelow(req *request) *answer {
	if n.spoken() {
		return n.refusePressed(req)
	}
	ok, inForce := n.feedback.Admit(req.call.Profile, req.call.Level, n.now())
	if ok || n.settings.Ablate.NoFeedback {
		return nil
	}
	a := n.refuse(call.NotRun, call.ReasonLevelBelow, 0)
	a.report.Worst = inForce
	return a
}

// dispatchRoot dispatches with the request's whole credit and learns from the
// answer which levels are refused below.
func (n *Node) dispatchRoot(ctx context.Context, req *request) *answer {
	credit := retry.NewCredit(req.call.Credit)
	n.metrics.Profile(req.call.Profile).Granted.Inc(int64(req.call.Credit))
	a := n.dispatch(ctx, req, credit)
	n.feedback.Observe(req.call.Profile, a.report.Worst, n.now())
	n.heardPressure(req, a)
	a.report.CreditLeft = credit.Left()
	return a
}

// rootRequest builds the request that the root sends on. Everything that
// nodes trust is made here; nothing of it comes from the caller.
func (n *Node) rootRequest(w http.ResponseWriter, r *http.Request, service string) (*request, error) {
	profile, err := n.profileFor(service, r)
	if err != nil {
		return nil, err
	}
	req, err := n.readRequest(w, r, service, profile)
	if err != nil {
		return nil, err
	}
	if req.key, err = keyOf(r.Header); err != nil {
		return nil, err
	}
	id := r.Header.Get(headerRequestID)
	req.named = call.ValidToken(id, call.KeptIDLength)
	if !req.named {
		id = n.newRequestID()
	}
	timeout := time.Duration(profile.Deadline)
	req.deadline = n.now().Add(timeout)
	req.call = call.Context{
		RequestID: id,
		Profile:   profile.Name,
		Timeout:   timeout,
		Credit:    profile.Credit,
	}
	req.call.Level = n.rank(r, req)
	req.span = n.startSpan(r.Header)
	return req, nil
}

// rank places the request among those of its priority.
func (n *Node) rank(r *http.Request, req *request) call.Level {
	req.caller = callerOf(r, req.profile)
	caller := req.caller
	if n.settings.Ablate.NoFairness {
		caller = req.call.RequestID
	}
	tie := n.ranker.Rank(req.call.Profile, caller, n.now())
	return call.MakeLevel(call.Priority(req.profile.Priority), tie)
}

// callerOf names who is asking, for fairness: the profile's header, else the
// credentials, else the address.
func callerOf(r *http.Request, profile *config.Profile) string {
	if profile.CallerHeader != "" {
		if caller := r.Header.Get(profile.CallerHeader); caller != "" {
			return caller
		}
	}
	if credentials := r.Header.Get("Authorization"); credentials != "" {
		return credentials
	}
	host := r.RemoteAddr
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	return host
}

// readRequest reads the bounded parts of a request.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request, service string, profile *config.Profile) (*request, error) {
	body := &replayBody{}
	if r.ContentLength != 0 {
		var err error
		if body, err = n.readRequestBody(w, r, n.bodyTimeout(profile)); err != nil {
			return nil, err
		}
	}
	return &request{
		method:     r.Method,
		service:    service,
		url:        r.URL,
		header:     r.Header,
		body:       body,
		trailer:    r.Trailer,
		profile:    profile,
		idempotent: idempotentMethod(r.Method, profile),
	}, nil
}

// bodyTimeout bounds the reading of one request body. Operators of a dialect
// give a request its time; the node's own bound may not be shorter, or an upload
// that they allow is broken off.
func (n *Node) bodyTimeout(profile *config.Profile) time.Duration {
	if n.spoken() {
		return max(n.settings.BodyTimeout, time.Duration(profile.Deadline))
	}
	return n.settings.BodyTimeout
}

// readRequestBody reads the part of a body that is held for further attempts.
func (n *Node) readRequestBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) (*replayBody, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	body, err := readBody(r.Body, r.ContentLength, n.settings.MaxReplayBytes)
	if err != nil {
		return nil, &BodyError{Cause: err}
	}
	body.shared = n.settings.Ablate.SharedStream
	n.strip(r.Trailer)
	body.onEnd(func() {
		// net/http goes on to watch the connection for its end, and a deadline
		// left in place would look like one: the call would be cancelled while
		// its caller waits for the answer.
		_ = controller.SetReadDeadline(time.Time{})
		n.strip(r.Trailer)
	})
	return body, nil
}

// keyOf reads the idempotency key, "" without one. One that can't be used is
// refused: ignored, it would leave its call without protection.
func keyOf(h http.Header) (string, error) {
	key := h.Get(call.HeaderIdempotencyKey)
	if key != "" && !call.ValidToken(key, call.MaxKeyLength) {
		return "", &call.HeaderError{Header: call.HeaderIdempotencyKey, Value: key, Want: "1 to 200 visible ASCII characters"}
	}
	return key, nil
}

// callerRetry is the metric label of a retry that a caller made.
const callerRetry = "caller"

// noteRepeat recognises a caller's own retry by its key or its request id and
// takes the chain's credit from it: the first request already had it.
func (n *Node) noteRepeat(req *request) {
	id := req.key
	if id == "" && req.named {
		id = req.call.RequestID
	}
	if id == "" {
		return
	}
	if n.repeats.Seen(id, n.now()) == 0 {
		return
	}
	req.call.Credit = 0
	n.metrics.Profile(req.call.Profile).Retry(callerRetry)
}

func (n *Node) recordRoot(req *request, a *answer, start time.Time) {
	took := n.recordStep(req, a, observe.Root, start)
	n.offered.note(req.call.Level.Priority(), a.report.Outcome == call.NotRun, n.now())
	profile := n.metrics.Profile(req.call.Profile)
	profile.Call(a.report.Outcome, a.report.Reason)
	profile.Total.Observe(took)
	if a.report.Outcome == call.Unknown && req.profile.Unrepeatable {
		n.noteUnknown(req, a)
	}
}

// recordStep records a step with all its attempts.
func (n *Node) recordStep(req *request, a *answer, kind observe.Kind, start time.Time) time.Duration {
	hop := n.hop(req, kind)
	hop.At = start
	hop.Decision = decisionOf(a)
	hop.Outcome = a.report.Outcome
	hop.Reason = a.report.Reason
	hop.LevelBelow = a.report.Worst
	hop.Pressure = a.report.Pressure
	hop.Took = n.now().Sub(start)
	hop.Target = req.service
	hop.CreditLeft = a.report.CreditLeft
	hop.Ended = string(a.ended)
	hop.Status = a.status
	n.record(hop)
	return hop.Took
}

func decisionOf(a *answer) observe.Decision {
	switch {
	case a.decision != "":
		return a.decision
	case a.report.Outcome == call.NotRun:
		return observe.Refused
	default:
		return observe.Admitted
	}
}

// abort tears the connection down under an answer that can't be finished.
func (n *Node) abort(req *request, err error) {
	n.noteAbort(req, err)
	if n.settings.Ablate.NoAbort {
		return
	}
	panic(http.ErrAbortHandler)
}
