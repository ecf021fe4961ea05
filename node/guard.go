package node

import (
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/headread"
	"pollengauge.dev/node/inflight"
	"pollengauge.dev/observe"
)

const (
	// maxHeaderFields is the maximum number of fields in a header block.
	maxHeaderFields = 128
	// nodeHeaderFields and nodeHeaderBytes are reserved for the headers that nodes
	// add. Each listener for nodes accepts this much more than the edge does.
	//
	// Otherwise the edge would accept a request whose header block is just within the
	// limit, the next node would refuse it because of the added context, and a filing
	// that could have run would end without a fate.
	nodeHeaderFields = 16
	nodeHeaderBytes  = 4 << 10
	// fieldOverhead is the size of the ": " and the line end of a field, in bytes.
	fieldOverhead = 4
	// answerGrace is the minimum time for writing a response, used where the
	// request's deadline leaves less.
	answerGrace = 5 * time.Second
)

// headLimit bounds the head of one request. With fields 0, only bytes is checked.
type headLimit struct{ bytes, fields int }

// headLimitOf returns the node's own limit for a listener. Where a dialect is used, heads are
// limited by size alone: a head of many short fields is as valid as one of a few long ones. Those
// of callers are limited as they are sent, by the listener.
func (n *Node) headLimitOf(listener Listener) headLimit {
	limit := headLimit{bytes: n.settings.MaxHeaderBytes, fields: maxHeaderFields}
	if listener == PeerListener {
		limit.bytes += nodeHeaderBytes
		limit.fields += nodeHeaderFields
	}
	if n.usesDialect() {
		limit.fields = 0
	}
	return limit
}

// check returns a *HeadError if the head exceeds the limit. It measures the head in the
// form in which it would be forwarded.
func (l headLimit) check(r *http.Request) error {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	fields := 0
	for name, values := range r.Header {
		fields += len(values)
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	if size > l.bytes {
		return &HeadError{What: "bytes", Got: size, Limit: l.bytes}
	}
	if l.fields > 0 && fields > l.fields {
		return &HeadError{What: "fields", Got: fields, Limit: l.fields}
	}
	return nil
}

// guard is the outermost handler of a listener. It recovers panics and enforces the
// limits on request heads and bodies.
func (n *Node) guard(listener Listener, next http.Handler) http.Handler {
	limit := n.headLimitOf(listener)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := n.track(listener, r)
		defer n.recoverPanic(listener, w, r)
		if conn := connOf(r); conn != nil {
			conn.Serve(r)
			defer conn.Done()
		}
		var err error
		if !n.usesDialect() || !n.forCallers(listener) {
			err = limit.check(r)
		}
		if err == nil && n.forCallers(listener) {
			err = n.limitCaller(w, r)
		}
		switch {
		case err == nil:
			next.ServeHTTP(w, r)
		case n.usesDialect() && n.forCallers(listener):
			n.writeRefused(w, n.refuse(call.NotRun, n.logBadRequest(err), 0), r)
		default:
			n.answerBadRequest(w, r, err)
		}
		tracked.Answered()
	})
}

// recoverPanic recovers a panic and closes the connection, so that the receiver
// doesn't take a partial response for a complete one. It logs every panic other than
// http.ErrAbortHandler, which handlers use to close a connection.
func (n *Node) recoverPanic(listener Listener, w http.ResponseWriter, r *http.Request) {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		n.metrics.Panics.Inc(1)
		n.log.Emit(observe.PanicRecovered, observe.Str("listener", string(listener)), observe.Str("stack", string(debug.Stack())))
	}
	// A handler that closed the connection on purpose has recorded the cause.
	n.cut(trackedOf(r), inflight.Fault)
	resetHTTP10Conn(w, r)
	panic(http.ErrAbortHandler)
}

// connState returns the callback that follows the connections of a listener.
func (n *Node) connState(listener Listener, limit int) func(net.Conn, http.ConnState) {
	count := n.countConns(listener, limit)
	return func(conn net.Conn, state http.ConnState) {
		headread.ConnState(conn, state)
		count(conn, state)
		if n.forCallers(listener) {
			n.watchIdle(conn, state)
		}
	}
}

func newConnCounts() map[Listener]*atomic.Int64 {
	counts := make(map[Listener]*atomic.Int64)
	for _, l := range []Listener{EdgeListener, PeerListener, OutboundListener, AdminListener} {
		counts[l] = new(atomic.Int64)
	}
	return counts
}

// countConns counts the open connections of a listener and logs an event when they
// reach the limit.
func (n *Node) countConns(listener Listener, limit int) func(net.Conn, http.ConnState) {
	open := n.conns[listener]
	return func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if open.Add(1) == int64(limit) {
				n.log.Emit(observe.TooManyConnections, observe.Str("listener", string(listener)), observe.Int("limit", limit))
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
}

// setWriteDeadline bounds the writing of a response by the request's deadline.
//
// Without it, a caller could request a long response and not read it. The write would
// block, the response could not be read to its end, and the slot at the upstream
// would stay occupied; a few such callers would stop a service. Nobody waits for a
// response after the deadline, so the connection is closed then.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	if grace := time.Now().Add(answerGrace); deadline.Before(grace) {
		deadline = grace
	}
	if conn, ok := w.(writeDeadliner); ok {
		_ = conn.SetWriteDeadline(deadline)
	}
}

// writeDeadliner is the part of net/http's ResponseWriter that an http.ResponseController
// would use. No handler of a node wraps its ResponseWriter.
type writeDeadliner interface{ SetWriteDeadline(time.Time) error }

const nodeHeaderPrefix = "pollengauge"

// isNodeHeader reports whether a header name is reserved for nodes. Upstreams that read
// headers through CGI-like variables can't tell _ from -, so names with either
// separator are reserved.
func isNodeHeader(name string) bool {
	if len(name) <= len(nodeHeaderPrefix) || !strings.EqualFold(name[:len(nodeHeaderPrefix)], nodeHeaderPrefix) {
		return false
	}
	separator := name[len(nodeHeaderPrefix)]
	return separator == '-' || separator == '_'
}

// stripNodeHeaders removes every header or trailer that only nodes may set, including those
// of later versions. Values that a node trusts are set again afterwards.
func stripNodeHeaders(h http.Header) {
	for name := range h {
		if isNodeHeader(name) {
			delete(h, name)
		}
	}
}

// findNodeHeader returns the name of a header in h that only nodes may set, "" if there is
// none.
func findNodeHeader(h http.Header) string {
	for name := range h {
		if isNodeHeader(name) && name != call.HeaderRequest {
			return name
		}
	}
	return ""
}
