package node

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/node/inflight"
	"pollengauge.dev/observe"
	"pollengauge.dev/peerlink"
)

// serveLink serves another node's call that came on a shared connection. It does what guard
// and servePeer do for one that came over HTTP/1.1.
func (n *Node) serveLink(ex *peerlink.Exchange) {
	n.active.Add(1)
	defer n.active.Add(-1)
	tracked := n.inflight.Begin(string(PeerListener), n.now())
	defer n.recoverLink(tracked)
	req, a := n.linkRequest(ex, tracked)
	if a != nil {
		ex.SetWriteDeadline(n.now().Add(answerGrace))
		_ = writeLinkAnswer(ex, a)
		tracked.Answered()
		return
	}
	n.answerLink(ex, req)
	tracked.Answered()
}

// recoverLink recovers a panic. The response is broken off when the handler returns.
func (n *Node) recoverLink(tracked *inflight.Request) {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		n.metrics.Panics.Inc(1)
		n.log.Emit(observe.PanicRecovered, observe.Str("listener", string(PeerListener)), observe.Str("stack", string(debug.Stack())))
	}
	n.cut(tracked, inflight.Fault)
}

// linkRequest reads a call, or returns its refusal.
func (n *Node) linkRequest(ex *peerlink.Exchange, tracked *inflight.Request) (*request, *answer) {
	head := ex.Request
	tracked.SetID(head.Context.RequestID)
	target, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return nil, n.badRequest(head.Header, err)
	}
	// The checks of HTTP/1.1 requests take an http.Request.
	r := &http.Request{Method: head.Method, URL: target, RequestURI: head.Target, Host: head.Service, Header: head.Header}
	if err := n.checkLinkRequest(r, &head.Context); err != nil {
		return nil, n.badRequest(head.Header, err)
	}
	ownerHops, err := readOwnerHops(head.Header)
	if err != nil {
		return nil, n.badRequest(head.Header, err)
	}
	if head.Service != n.settings.Service && n.usesDialect() {
		// The address now belongs to another VM than the sender assumes.
		return nil, n.refuse(call.NotRun, call.ReasonOtherInstance, 0)
	}
	if head.Service != n.settings.Service && ownerHops == 0 {
		return nil, n.badRequest(head.Header, &WrongServiceError{Service: head.Service, Want: n.settings.Service})
	}
	profile := n.profileOf(head.Context.Profile, r)
	req := &request{
		method:     head.Method,
		service:    head.Service,
		url:        target,
		header:     head.Header,
		trailer:    head.Trailer,
		call:       head.Context,
		profile:    profile,
		deadline:   n.now().Add(head.Context.Timeout),
		idempotent: idempotentMethod(head.Method, profile),
		tracked:    tracked,
		span:       n.startSpan(head.Header),
		ownerHops:  ownerHops,
	}
	if n.usesDialect() {
		req.idempotent = !profile.Unrepeatable
	} else if req.key, err = keyOf(head.Header); err != nil {
		return nil, n.badRequest(head.Header, err)
	}
	if req.body, err = n.readLinkBody(ex, tracked, n.bodyTimeout(profile)); err != nil {
		return nil, n.badRequest(head.Header, err)
	}
	n.stripReservedHeaders(req.header)
	return req, nil
}

// checkLinkRequest makes the checks of a request head.
func (n *Node) checkLinkRequest(r *http.Request, c *call.Context) error {
	if err := n.headLimitOf(PeerListener).check(r); err != nil {
		return err
	}
	if err := checkTarget(r); err != nil {
		return err
	}
	return n.checkID(c.RequestID)
}

// readLinkBody reads the part of a body that is buffered for further attempts.
func (n *Node) readLinkBody(ex *peerlink.Exchange, tracked *inflight.Request, timeout time.Duration) (*replayBody, error) {
	if whole, ok := ex.Whole(); ok {
		return &replayBody{head: whole}, nil
	}
	_ = ex.SetReadDeadline(n.now().Add(timeout))
	tracked.OnInterrupt(func() { _ = ex.SetReadDeadline(pastDeadline) })
	body, err := readBody(ex, ex.Length, n.settings.MaxReplayBytes)
	tracked.OnInterrupt(nil)
	if err != nil {
		return nil, &BodyError{Cause: err}
	}
	body.shared = n.settings.Ablate.SharedStream
	n.stripTrailer(ex.Request.Trailer)
	body.onEnd(func() { n.stripTrailer(ex.Request.Trailer) })
	return body, nil
}

// answerLink runs another node's call and writes the answer.
func (n *Node) answerLink(ex *peerlink.Exchange, req *request) {
	start := n.now()
	a := n.runPeer(ex, req)
	if req.ownerHops > 0 {
		n.recordStep(req, a, observe.Root, start)
	}
	gone := ex.Err() != nil
	if a.refusal != nil {
		setRetryAfter(a.header, a.refusal.after)
	}
	defer a.close()
	deadline := req.deadline
	if grace := n.now().Add(answerGrace); deadline.Before(grace) {
		deadline = grace
	}
	ex.SetWriteDeadline(deadline)
	if n.closed.Load() {
		ex.GoAway()
	}
	err := writeLinkAnswer(ex, a)
	if gone || err != nil {
		n.noteCallerDisconnected(req)
	}
	if err == nil {
		return
	}
	n.cutAnswer(req.tracked, req, err)
	if n.settings.Ablate.NoAbort {
		_ = ex.End(nil)
	}
}

// writeLinkAnswer writes a to another node. After an error the response has no end, so that
// a truncated answer can't be taken for a complete one.
func writeLinkAnswer(ex *peerlink.Exchange, a *answer) error {
	w := &linkWriter{ex: ex, head: peerlink.Response{Report: a.report, Status: a.status, Header: a.header, Extra: answerExtra(a), Trailer: a.trailers()}}
	if a.body == nil {
		return w.end(nil, nil)
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	length, sent, filled := answerLength(a), int64(0), 0
	for {
		n, err := a.body.Read(buf[filled:])
		filled += n
		switch {
		case errors.Is(err, io.EOF):
			if short := sent + int64(filled); length >= 0 && short < length && short > 0 {
				return &TruncatedError{Cause: io.ErrUnexpectedEOF}
			}
			return w.end(buf[:filled], a)
		case err != nil:
			// What has been read is still delivered, as over HTTP/1.1.
			_ = w.write(buf[:filled])
			return &TruncatedError{Cause: err}
		case filled < len(buf) && sent+int64(filled) == length:
			continue // the end follows at once and goes into the same frame
		}
		if err := w.write(buf[:filled]); err != nil {
			return err
		}
		sent, filled = sent+int64(filled), 0
	}
}

// linkWriter writes the frames of a response.
type linkWriter struct {
	ex   *peerlink.Exchange
	head peerlink.Response
	// begun is set once the head was written.
	begun bool
}

// write writes a part of the body that is not the last one.
func (w *linkWriter) write(p []byte) error {
	if !w.begun {
		w.begun = true
		return writeError(w.ex.Respond(&w.head, p, false))
	}
	_, err := w.ex.Write(p)
	return writeError(err)
}

// end writes the last part of the body and the trailers of a, nil for an answer without a
// body.
func (w *linkWriter) end(p []byte, a *answer) error {
	if !w.begun && len(w.head.Trailer) == 0 && (a == nil || len(a.trailers()) == 0) {
		return writeError(w.ex.Respond(&w.head, p, true))
	}
	if err := w.write(p); err != nil {
		return err
	}
	if a == nil {
		return writeError(w.ex.End(nil))
	}
	return writeError(w.ex.End(a.trailers()))
}

// writeError returns the error of a write as writeAnswer does.
func writeError(err error) error {
	if err == nil {
		return nil
	}
	return &WriteError{Cause: err}
}
