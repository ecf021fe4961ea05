package node

import (
	"net/http"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
)

// Dialect is how callers and the upstream on this VM speak to the node where
// they don't speak this project's own interface. A Dialect only translates: it
// reads and writes headers, and decides nothing. Its methods may be called
// concurrently. With a Dialect, callers name hosts and paths, and the routes of
// the configuration in force name the service.
type Dialect interface {
	// ReadCaller reads what a caller tells of its request.
	ReadCaller(h http.Header) (CallerRequest, error)
	// OwnHeaders are the canonical names of headers that are never passed on as they
	// came: those that the dialect sets, and the one with the caller's key.
	OwnHeaders() []string
	// ParentOf returns the id of the request that a call with this id is made
	// for, "" where the id does not tell. It is a hint: a call whose parent
	// isn't found is treated by its own route.
	ParentOf(id string) string
	// WriteUpstream writes what the upstream is told of a request.
	WriteUpstream(h http.Header, u UpstreamRequest)
	// ReadUpstream judges the head of the upstream's answer to u.
	ReadUpstream(a *http.Response, u UpstreamRequest) UpstreamAnswer
	// WriteRefusal writes an answer that the node gives in its own name, and
	// returns its status code.
	WriteRefusal(h http.Header, r NodeRefusal) (status int)
	// DecodeConfig reads a configuration as the operators of this dialect
	// store it. With an error, the set has its version if that can be read.
	DecodeConfig(value []byte) (config.Set, error)
}

// CallerRequest is what a caller tells of its request.
type CallerRequest struct {
	// ID names the request. It is passed on as it is.
	ID string
	// Timeout is how long the caller will wait, 0 if it does not say.
	Timeout time.Duration
	// Key tells whose request it is.
	Key customer.Key
}

// UpstreamRequest is what the upstream is told of a request.
type UpstreamRequest struct {
	ID string
	// Origin is the service on the VM where the request entered the system.
	Origin string
	// Customer is the name of the customer whose request it is, "" for a call of an
	// upstream and where there is none.
	Customer string
	// Instance is the incarnation of the upstream that is meant, "" for any.
	Instance string
	// Timeout is what is left until the request's deadline.
	Timeout time.Duration
}

// UpstreamAnswer is what the head of an answer proves.
type UpstreamAnswer struct {
	// Outcome is Complete for the upstream's own answer to this request,
	// NotRun where the upstream states that it did not run it, and Unknown for
	// an answer that can't be believed.
	Outcome call.Outcome
	// Reason goes with an outcome other than Complete.
	Reason call.Reason
	// Instance is the incarnation that answered, "" if it does not say.
	Instance string
}

// NodeRefusal is an answer that a node gives in its own name.
type NodeRefusal struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	// RetryAfter is when the caller may come back, 0 if that isn't told.
	RetryAfter time.Duration
}

// spoken tells whether callers and the upstream speak a dialect.
func (n *Node) spoken() bool { return n.settings.Dialect != nil }

// strip removes what only nodes may tell each other. Without a dialect that is
// every header with the project's prefix, those of later versions included. A
// dialect may have headers of its own with that prefix, which pass.
func (n *Node) strip(h http.Header) {
	if !n.spoken() {
		stripOwn(h)
		return
	}
	for _, name := range call.NodeHeaders {
		delete(h, name)
	}
	for _, name := range n.settings.Dialect.OwnHeaders() {
		delete(h, name)
	}
}
