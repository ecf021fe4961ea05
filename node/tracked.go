package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/node/inflight"
	"pollengauge.dev/node/pipelining"
	"pollengauge.dev/observe"
)

// servedConn is what the node knows of a connection to one of its HTTP listeners.
type servedConn struct {
	// pipelined is nil on connections that are not read ahead.
	pipelined *pipelining.Conn
	// current is the request that is being served. Only the goroutine that serves the
	// connection uses it.
	current *inflight.Request
}

// servedConnKey is the key of a *servedConn in a request's context.
type servedConnKey struct{}

func withServedConn(ctx context.Context, conn net.Conn) context.Context {
	served := &servedConn{}
	served.pipelined, _ = conn.(*pipelining.Conn)
	return context.WithValue(ctx, servedConnKey{}, served)
}

func servedConnOf(r *http.Request) *servedConn {
	served, _ := r.Context().Value(servedConnKey{}).(*servedConn)
	return served
}

// track adds a request to the registry. It returns nil for requests of operators.
func (n *Node) track(listener Listener, r *http.Request) *inflight.Request {
	served := servedConnOf(r)
	if served == nil || listener == AdminListener {
		return nil
	}
	served.current = n.inflight.Begin(string(listener), n.now())
	return served.current
}

// trackedOf returns the entry of a request in the registry, nil if it has none.
func trackedOf(r *http.Request) *inflight.Request {
	if served := servedConnOf(r); served != nil {
		return served.current
	}
	return nil
}

// cut records that the connection of a request closes without a complete response, unless
// the request has ended.
func (n *Node) cut(q *inflight.Request, cause inflight.Cause) {
	if !q.Cut() {
		return
	}
	n.metrics.RequestsCut.With(string(cause)).Inc(1)
	if cause == inflight.CallerLeft {
		return // event 4015 reports it
	}
	n.log.Emit(observe.RequestCut, observe.Str("request", call.ShortID(q.ID())), observe.Str("cause", string(cause)),
		observe.Dur("age", q.Age(n.now())), observe.Str("listener", q.Listener()))
}

// cutAnswer records that the response to a request can't be finished because of err.
func (n *Node) cutAnswer(q *inflight.Request, req *request, err error) {
	n.noteAbort(req, err)
	n.cut(q, cutCause(err))
}

// cutCause returns the cause for an error of writeAnswer.
func cutCause(err error) inflight.Cause {
	switch {
	case errors.As(err, new(*WriteError)):
		return inflight.CallerLeft
	case errors.Is(err, context.DeadlineExceeded):
		return inflight.Deadline
	default:
		return inflight.UpstreamBroke
	}
}

// cutUnserved records that a connection closes with a request that was read and not
// served.
func (n *Node) cutUnserved(r *http.Request, received time.Time) {
	n.inflight.CutUnserved()
	n.metrics.RequestsCut.With(string(inflight.Pipelined)).Inc(1)
	n.log.Emit(observe.RequestCut, observe.Str("request", call.ShortID(n.requestIDOf(r))), observe.Str("cause", string(inflight.Pipelined)),
		observe.Dur("age", n.now().Sub(received)))
}

// requestIDOf returns the id that a caller gave its request, "" if it gave none.
func (n *Node) requestIDOf(r *http.Request) string {
	if !n.usesDialect() {
		return r.Header.Get(headerRequestID)
	}
	stated, err := n.settings.Dialect.ReadCaller(r.Header)
	if err != nil {
		return ""
	}
	return stated.ID
}

// cutOpen records all requests that are being served as cut. The caller closes their
// connections.
func (n *Node) cutOpen(cause inflight.Cause) {
	for _, q := range n.inflight.Open() {
		n.cut(q, cause)
	}
}

// closeCause returns the cause for the requests that Close cuts.
func (n *Node) closeCause() inflight.Cause {
	if n.drainTimedOut.Load() {
		return inflight.DrainTimeout
	}
	return inflight.Shutdown
}
