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
	"pollengauge.dev/observe"
)

const (
	// maxHeaderFields bounds the number of fields in a header block.
	maxHeaderFields = 128
	// nodeHeaderFields and nodeHeaderBytes are the room for what nodes add.
	//
	// The failure: the edge takes a request whose header block is just within
	// the limit, the next node refuses it because of the context added to it,
	// and a filing that could have run ends without a fate. Each listener for
	// nodes therefore takes this much more than the edge does.
	nodeHeaderFields = 16
	nodeHeaderBytes  = 4 << 10
	// fieldOverhead is the ": " and the line end of a field.
	fieldOverhead = 4
	// answerGrace is how long an answer may take to be written where the
	// request's deadline leaves less.
	answerGrace = 5 * time.Second
)

// headLimit bounds the head of one request. No fields means as many as the bytes
// hold.
type headLimit struct{ bytes, fields int }

// headLimitOf is the node's own bound. Where a dialect is spoken, operators bound
// what callers send, and that by bytes alone: a head of many short fields is as
// proper as one of a few long ones.
func (n *Node) headLimitOf(listener Listener) headLimit {
	limit := headLimit{bytes: n.settings.MaxHeaderBytes, fields: maxHeaderFields}
	if listener == PeerListener {
		limit.bytes += nodeHeaderBytes
		limit.fields += nodeHeaderFields
	}
	if n.spoken() {
		limit.fields = 0
	}
	return limit
}

// check measures the head in the form in which it would be sent on.
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

// guard is the first to see the requests of a listener.
func (n *Node) guard(listener Listener, next http.Handler) http.Handler {
	limit := n.headLimitOf(listener)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer n.recovered(listener, w, r)
		if conn := connOf(r); conn != nil {
			conn.Serve(r)
			defer conn.Done()
		}
		// The deadline of the answer before on this connection ends here.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		err := limit.check(r)
		if err == nil && n.forCallers(listener) {
			err = n.limitCaller(w, r)
		}
		switch {
		case err == nil:
			next.ServeHTTP(w, r)
		case n.spoken() && n.forCallers(listener):
			n.writeRefused(w, n.refuse(call.NotRun, n.noteBad(err), 0), r)
		default:
			n.writeBad(w, r, err)
		}
	})
}

// recovered reports a panic other than the one that tears a connection down,
// and tears it down: the receiver must not take half an answer for a whole one.
func (n *Node) recovered(listener Listener, w http.ResponseWriter, r *http.Request) {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		n.metrics.Panics.Inc(1)
		n.log.Emit(observe.PanicRecovered, observe.Str("listener", string(listener)), observe.Str("stack", string(debug.Stack())))
	}
	breakConn(w, r)
	panic(http.ErrAbortHandler)
}

// connState follows the connections of a listener.
func (n *Node) connState(listener Listener, limit int) func(net.Conn, http.ConnState) {
	count := n.countConns(listener, limit)
	if !n.forCallers(listener) {
		return count
	}
	return func(conn net.Conn, state http.ConnState) {
		count(conn, state)
		n.watchIdle(conn, state)
	}
}

func newConnCounts() map[Listener]*atomic.Int64 {
	counts := make(map[Listener]*atomic.Int64)
	for _, l := range []Listener{EdgeListener, PeerListener, OutboundListener, AdminListener} {
		counts[l] = new(atomic.Int64)
	}
	return counts
}

// countConns tells when a listener holds as many connections as it may.
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

// limitWrite bounds the writing of an answer by the request's deadline.
//
// The failure: a caller asks for a long answer and does not read it. The write
// blocks, the answer's source can't end, and the slot at the upstream is held;
// a few such callers stop a service. Nobody waits for an answer after the
// deadline, so the connection is torn down then.
func limitWrite(w http.ResponseWriter, deadline time.Time) {
	if grace := time.Now().Add(answerGrace); deadline.Before(grace) {
		deadline = grace
	}
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}

const ownPrefix = "pollengauge"

// isOwn reports whether a header name belongs to nodes. Upstreams that take
// their headers through CGI-like variables can't tell _ from -, so a name with
// either is one.
func isOwn(name string) bool {
	if len(name) <= len(ownPrefix) || !strings.EqualFold(name[:len(ownPrefix)], ownPrefix) {
		return false
	}
	separator := name[len(ownPrefix)]
	return separator == '-' || separator == '_'
}

// stripOwn removes every header or trailer that only nodes may set, those of
// later versions included. What a node believes, it writes afterwards.
func stripOwn(h http.Header) {
	for name := range h {
		if isOwn(name) {
			delete(h, name)
		}
	}
}

// ownHeader returns one header that only nodes may set, "" if there is none.
func ownHeader(h http.Header) string {
	for name := range h {
		if isOwn(name) && name != call.HeaderRequest {
			return name
		}
	}
	return ""
}
