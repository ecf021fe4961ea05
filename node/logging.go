package node

import (
	"errors"
	"log"
	"net/http"
	"os"

	"pollengauge.dev/call"
	"pollengauge.dev/incarnation"
	"pollengauge.dev/observe"
)

// noteForged logs and counts a request with headers that only nodes may set.
func (n *Node) noteForged(r *http.Request) {
	if name := findNodeHeader(r.Header); name != "" {
		n.metrics.ForgedHeaders.Inc(1)
		n.log.Emit(observe.ForgedHeaders, observe.Str("header", name), observe.Str("remote", r.RemoteAddr))
	}
}

// logRootWithoutContext logs and counts an outbound call that names no visit.
func (n *Node) logRootWithoutContext(service string) {
	n.metrics.RootsWithoutContext.Inc(1)
	n.log.Emit(observe.RootWithoutContext, observe.Str("called", service))
}

// noteUnknown records an unrepeatable request with an unknown fate: the only outcome
// that a person has to settle.
func (n *Node) noteUnknown(req *request, a *answer) {
	n.noteUnsettled(req, a.report.Reason, a.owner)
	n.metrics.UnknownFates.With(string(a.report.Reason)).Inc(1)
	n.log.Emit(observe.UnknownOutcome,
		observe.Str("request", call.ShortID(req.call.RequestID)),
		observe.Str("profile", req.call.Profile),
		observe.Str("reason", string(a.report.Reason)),
		observe.Str("hop", a.report.Hop),
		observe.Str("key", observe.RedactKey(req.key)))
}

// noteAbort logs an answer that could not be written completely.
func (n *Node) noteAbort(req *request, err error) {
	n.log.Emit(observe.AnswerAborted, observe.Str("request", call.ShortID(req.call.RequestID)), observe.Err(err))
}

// incarnationFields name an incarnation of the upstream in an event.
func incarnationFields(id incarnation.ID) []observe.Field {
	return []observe.Field{observe.Str("instance", id.Name), observe.Int64("born", id.Born)}
}

// upstreamChanged logs a new or changed upstream and announces its slots.
func (n *Node) upstreamChanged(a Announcement, first bool) {
	event := observe.UpstreamChanged
	if first {
		event = observe.UpstreamAnnounced
	}
	n.log.Emit(event, append(incarnationFields(a.incarnation()),
		observe.Int64("sequence", int64(a.Sequence)), observe.Bool("leaves", a.Draining),
		observe.Str("addr", a.Addr), observe.Int("slots", a.Slots))...)
	n.announceUpstream(a.Slots)
}

// Metric labels: what kind of message could not be parsed.
const (
	malformedRequest = "request"
	malformedAnswer  = "answer"
	malformedGossip  = "gossip"
)

// answerBadRequest answers a request that can't be parsed. Nothing was run.
//
// For a request with an idempotency key this doesn't prove not-run: an earlier
// presentation of the key may have run, and this request failed before the key table was
// consulted. The outcome is then unknown. With a dialect no call has an idempotency key;
// the header belongs to the caller.
func (n *Node) answerBadRequest(w http.ResponseWriter, r *http.Request, err error) {
	a := n.badRequest(r.Header, err)
	setWriteDeadline(w, n.now())
	_ = writeAnswer(w, a)
}

// badRequest returns the answer to a request that can't be accepted.
func (n *Node) badRequest(header http.Header, err error) *answer {
	reason := n.logBadRequest(err)
	outcome := call.NotRun
	if !n.usesDialect() && header.Get(call.HeaderIdempotencyKey) != "" {
		outcome = call.Unknown
	}
	a := n.refuse(outcome, reason, 0)
	if reason == call.ReasonUnauthorized {
		a.status = http.StatusUnauthorized
	}
	if errors.As(err, new(*HeadError)) {
		a.status = http.StatusRequestHeaderFieldsTooLarge
	}
	a.header.Set("Content-Type", "text/plain; charset=utf-8")
	a.body = memoryBody([]byte(err.Error() + "\n"))
	return a
}

// logBadRequest logs and counts a request that can't be accepted, and returns the reason
// for its caller.
func (n *Node) logBadRequest(err error) call.Reason {
	var identityErr *IdentityError
	if errors.As(err, &identityErr) {
		n.noteUnidentified("", identityErr.Reason)
		return identityErr.Reason
	}
	reason := call.ReasonBadRequest
	event := observe.BadRequest
	switch {
	case errors.As(err, new(*HeadError)), errors.As(err, new(*BodyLimitError)), errors.As(err, new(*http.MaxBytesError)):
		reason = call.ReasonTooLarge
		event = observe.TooLarge
	case errors.As(err, new(*DepthError)):
		event = observe.CallLoop
	case n.usesDialect() && errors.Is(err, os.ErrDeadlineExceeded):
		// A slowly sent body is not malformed: its caller may send the request again.
		reason = call.ReasonTimeout
	}
	n.log.Emit(event, observe.Err(err))
	n.metrics.Malformed.With(malformedRequest).Inc(1)
	return reason
}

// serverLog writes the messages of net/http's own logger to the event log.
func (n *Node) serverLog(listener Listener) *log.Logger {
	return log.New(&eventWriter{node: n, listener: listener}, "", 0)
}

type eventWriter struct {
	node     *Node
	listener Listener
}

// Write implements io.Writer for net/http's logger.
func (w *eventWriter) Write(line []byte) (int, error) {
	w.node.log.Emit(observe.ServerComplaint, observe.Str("listener", string(w.listener)), observe.Str("message", string(line)))
	return len(line), nil
}

func reasonOf(s string) call.Reason { return call.Reason(s) }
