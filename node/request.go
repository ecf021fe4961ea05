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
