package node

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/node/inflight"
	"pollengauge.dev/shutdown"
)

// request is one call that a node carries.
type request struct {
	method  string
	service string
	// caller identifies the caller for fair ranking, "" downstream of the root.
	caller string
	// identity is the customer that the request belongs to. It is known only at the node
	// where the request enters.
	identity ownership
	// quotaEnds is the time until which the quota taken for this request can be
	// returned, zero if none was taken.
	quotaEnds time.Time
	// quotaUse is the customer's demand as a fraction of its limit, 0 if unknown.
	quotaUse float64
	// url has the path and query as received.
	url     *url.URL
	header  http.Header
	body    *replayBody
	trailer http.Header
	call    call.Context
	profile *config.Profile
	// key is the idempotency key, "" if there is none.
	key string
	// creditUnused is set at the root once the request has ended without any use of its
	// retry credit.
	creditUnused bool
	// callerSetID reports whether the caller supplied the request id.
	callerSetID bool
	deadline    time.Time
	// cancel ends the context that the request runs in. It is set if that context already
	// ends at the deadline, so that the request needs no further one, and nil otherwise.
	cancel context.CancelFunc
	// idempotent reports whether running the call twice is harmless.
	idempotent bool
	// remaining is how many calls the visit that makes this call still needs,
	// including this one; 0 if the visit is unknown.
	remaining int
	// parent is the visit that makes this call, nil if it is unknown.
	parent *visit
	span   span
	// tracked is the entry of this request in the registry of requests that are being
	// served. It is nil before a pipelined request's turn, and for calls of the node
	// itself.
	tracked *inflight.Request
	// beganBy is the rule by which the request began while the node shut down, "" if it began
	// before.
	beganBy shutdown.Rule
	// ownerHops counts how often the call was forwarded in search of the node that owns
	// its key.
	ownerHops int
}

// requestWithBody is a request in one allocation with the empty body that most requests
// have.
type requestWithBody struct {
	request request
	empty   replayBody
}

// idempotentMethod reports whether running a call twice is harmless: safe methods
// change nothing (RFC 9110, 9.2.1), and PUT and DELETE are idempotent unless the
// profile says otherwise (9.2.2).
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

// readRequest reads a request and buffers the start of its body.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request, service string, profile *config.Profile) (*request, error) {
	read := &requestWithBody{request: request{
		method:     r.Method,
		service:    service,
		url:        r.URL,
		header:     r.Header,
		trailer:    r.Trailer,
		profile:    profile,
		tracked:    trackedOf(r),
		idempotent: idempotentMethod(r.Method, profile),
	}}
	read.request.body = &read.empty
	if r.ContentLength != 0 {
		body, err := n.readRequestBody(w, r, n.bodyTimeout(profile))
		if err != nil {
			return nil, err
		}
		read.request.body = body
	}
	return &read.request, nil
}

// readDownstream reads a call from another node, or from the upstream on this VM for
// one of its visits, including its trace and its idempotency key.
func (n *Node) readDownstream(w http.ResponseWriter, r *http.Request, service string, profile *config.Profile) (*request, error) {
	req, err := n.readRequest(w, r, service, profile)
	if err != nil {
		return nil, err
	}
	req.span = n.startSpan(r.Header)
	if n.usesDialect() {
		return req, nil
	}
	if req.key, err = keyOf(r.Header); err != nil {
		return nil, err
	}
	return req, nil
}

// bodyTimeout bounds the reading of one request body. With a dialect, operators set
// the time for a request in its profile. The node's own timeout must not be shorter,
// or it would abort uploads that they allow.
func (n *Node) bodyTimeout(profile *config.Profile) time.Duration {
	if n.usesDialect() {
		return max(n.settings.BodyTimeout, time.Duration(profile.Deadline))
	}
	return n.settings.BodyTimeout
}

// readRequestBody reads the part of a body that is buffered for further attempts.
func (n *Node) readRequestBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) (*replayBody, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	tracked := trackedOf(r)
	tracked.OnInterrupt(func() { _ = controller.SetReadDeadline(pastDeadline) })
	body, err := readBody(r.Body, r.ContentLength, n.settings.MaxReplayBytes)
	tracked.OnInterrupt(nil)
	if err != nil {
		return nil, &BodyError{Cause: err}
	}
	body.shared = n.settings.Ablate.SharedStream
	n.stripTrailer(r.Trailer)
	body.onEnd(func() {
		// After the body, net/http keeps reading the connection to notice when the
		// caller closes it. A read deadline left in place would look like such a
		// close, and the call would be cancelled while its caller waits for the
		// answer.
		_ = controller.SetReadDeadline(time.Time{})
		n.stripTrailer(r.Trailer)
	})
	return body, nil
}

// stripTrailer removes the headers that stripReservedHeaders removes, and a customer key
// that a caller sent in the trailer.
func (n *Node) stripTrailer(trailer http.Header) {
	n.stripReservedHeaders(trailer)
	if !n.usesDialect() && len(trailer) > 0 {
		_ = removeAPIKey(trailer, n.config.Current())
	}
}

// keyOf returns the idempotency key, "" if there is none. An invalid key is refused:
// if it were ignored, the call could run twice.
func keyOf(h http.Header) (string, error) {
	key := h.Get(call.HeaderIdempotencyKey)
	if key != "" && !call.ValidToken(key, call.MaxKeyLength) {
		return "", &call.HeaderError{Header: call.HeaderIdempotencyKey, Value: key, Want: "1 to 200 visible ASCII characters"}
	}
	return key, nil
}
