package node

import (
	"net/http"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
)

// Dialect translates for callers and for the upstream on this VM if they don't use
// this project's own interface. A Dialect makes no decisions: it reads and writes
// headers. Its methods may be called concurrently. With a Dialect, callers name hosts
// and paths, and the routes of the configuration in force name the service.
type Dialect interface {
	// ReadCaller reads what a caller states about its request.
	ReadCaller(h http.Header) (CallerRequest, error)
	// OwnHeaders returns the canonical names of headers that are never forwarded as
	// received: those that the dialect sets, and the one with the caller's key. The node
	// reads them once.
	OwnHeaders() []string
	// ParentOf returns the id of the request that a call with this id is made for, ""
	// if the id doesn't contain it. It is a hint: a call whose parent isn't found is
	// handled by its own route.
	ParentOf(id string) string
	// WriteUpstream writes the headers that describe a request to the upstream.
	WriteUpstream(h http.Header, u UpstreamRequest)
	// ReadUpstream evaluates the head of the upstream's answer to u.
	ReadUpstream(a *http.Response, u UpstreamRequest) UpstreamAnswer
	// WriteRefusal writes the headers of an answer that the node gives itself, in
	// place of the upstream, and returns its status code.
	WriteRefusal(h http.Header, r NodeRefusal) (status int)
	// DecodeConfig reads a configuration in the form in which the operators of this
	// dialect store it. With an error, the set has its version if the version could be
	// read.
	DecodeConfig(value []byte) (config.Set, error)
}

// CallerRequest is what a caller states about its request.
type CallerRequest struct {
	// ID identifies the request. It is forwarded unchanged.
	ID string
	// Timeout is how long the caller will wait, 0 if the caller doesn't state it.
	Timeout time.Duration
	// Key identifies the customer that the request belongs to.
	Key customer.Key
}

// UpstreamRequest is the description of a request that the upstream receives.
type UpstreamRequest struct {
	ID string
	// Origin is the service on the VM where the request entered the system.
	Origin string
	// Customer is the name of the customer that the request belongs to, "" for a call
	// of an upstream and for a request without a customer.
	Customer string
	// Instance is the incarnation of the upstream that the request is meant for, ""
	// for any.
	Instance string
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
}

// UpstreamAnswer is what the head of an answer proves.
type UpstreamAnswer struct {
	// Outcome is Complete for the upstream's own answer to this request, NotRun if the
	// upstream states that it did not run the request, and Unknown for an answer that
	// can't be trusted.
	Outcome call.Outcome
	// Reason accompanies an outcome other than Complete.
	Reason call.Reason
	// Unidentified is set if the answer does not state which request it belongs to.
	Unidentified bool
	// Instance is the incarnation that answered, "" if the answer doesn't state it.
	Instance string
	// Load is the load that the answer reports. MalformedLoad is set if the answer
	// reports one that can't be read.
	Load          UpstreamLoad
	MalformedLoad bool
	// Notice is what the upstream states about itself in an answer that is proved to be
	// its own, without the instance. MalformedNotice is set if a part of it can't be
	// read.
	Notice          call.UpstreamNotice
	MalformedNotice bool
}

// NodeRefusal is an answer that a node gives itself, in place of the upstream.
type NodeRefusal struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	// RetryAfter is the delay before a retry, 0 if none is given.
	RetryAfter time.Duration
}

// usesDialect reports whether callers and the upstream use a dialect.
func (n *Node) usesDialect() bool { return n.settings.Dialect != nil }

// stripReservedHeaders removes the headers that only nodes may set. Without a dialect
// these are all headers with the project's prefix, so that those of later versions are
// included. A dialect may define headers with that prefix. With a dialect,
// stripReservedHeaders therefore removes only the headers in call.NodeHeaders and in
// OwnHeaders.
func (n *Node) stripReservedHeaders(h http.Header) {
	if !n.usesDialect() {
		stripNodeHeaders(h)
		return
	}
	for name := range h {
		if _, reserved := n.reservedHeaders[name]; reserved {
			delete(h, name)
		}
	}
}

// reservedHeadersOf returns the set of the headers in call.NodeHeaders and in the dialect's
// OwnHeaders.
func reservedHeadersOf(d Dialect) map[string]struct{} {
	reserved := make(map[string]struct{})
	for _, name := range call.NodeHeaders {
		reserved[name] = struct{}{}
	}
	for _, name := range d.OwnHeaders() {
		reserved[name] = struct{}{}
	}
	return reserved
}
