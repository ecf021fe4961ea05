package node

import (
	"net/http"
	"net/url"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// request is one call on its way through a node.
type request struct {
	method  string
	service string
	// caller is who asks, "" below the root.
	caller string
	// whose tells the customer. It is known only where the request enters.
	whose ownership
	// quotaEnds is until when its place below the customer's limit can be given back,
	// zero where it has none.
	quotaEnds time.Time
	// use is the customer's demand as a part of its limit, 0 if not known.
	use float64
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

// idempotentMethod tells whether running a call twice is harmless: safe methods
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

// readBelowRoot reads a request of another node, or of the upstream here for a
// visit: its trace and its key come with it.
func (n *Node) readBelowRoot(w http.ResponseWriter, r *http.Request, service string, profile *config.Profile) (*request, error) {
	req, err := n.readRequest(w, r, service, profile)
	if err != nil {
		return nil, err
	}
	req.span = n.startSpan(r.Header)
	if n.spoken() {
		return req, nil
	}
	if req.key, err = keyOf(r.Header); err != nil {
		return nil, err
	}
	return req, nil
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
	n.stripTrailer(r.Trailer)
	body.onEnd(func() {
		// net/http goes on to watch the connection for its end, and a deadline
		// left in place would look like one: the call would be cancelled while
		// its caller waits for the answer.
		_ = controller.SetReadDeadline(time.Time{})
		n.stripTrailer(r.Trailer)
	})
	return body, nil
}

// stripTrailer is strip, and takes out a key that a caller put there.
func (n *Node) stripTrailer(trailer http.Header) {
	n.strip(trailer)
	if !n.spoken() && len(trailer) > 0 {
		_ = takeKey(trailer, n.config.Current())
	}
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
