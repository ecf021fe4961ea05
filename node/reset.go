package node

import (
	"net"
	"net/http"

	"golang.org/x/net/netutil"

	"pollengauge.dev/node/pipelining"
)

// limitListener returns a listener that accepts at most conns connections at a time,
// each of which can be reset.
func limitListener(l net.Listener, conns int) net.Listener {
	raw := &rawListener{Listener: l}
	return &resetListener{Listener: netutil.LimitListener(raw, conns), raw: raw}
}

// rawListener stores the connection that it accepted last, which a LimitListener
// hides. Only the accept loop of one server uses it.
type rawListener struct {
	net.Listener
	last net.Conn
}

// Accept implements net.Listener.
func (l *rawListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.last = conn
	return conn, err
}

type resetListener struct {
	net.Listener
	raw *rawListener
}

// Accept implements net.Listener.
func (l *resetListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &resetConn{Conn: conn, raw: l.raw.last}, nil
}

// resetConn is a connection that can be closed so that its peer sees an error.
type resetConn struct {
	net.Conn
	raw  net.Conn
	idle idleTimer
}

// reset closes the connection without the normal end of stream; TCP sends a reset.
func (c *resetConn) reset() {
	if l, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// resetHTTP10Conn resets the connection of an HTTP/1.0 request.
//
// An answer of unknown length may break off. HTTP/1.0 has no chunks whose end could be
// missing: the answer ends where the connection ends. If the connection were closed
// normally, the caller would take a part of the answer for a complete one.
func resetHTTP10Conn(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := resetConnOf(conn); ok {
		c.reset()
	}
	_ = conn.Close()
}

// resetConnOf returns the resetConn that conn is or wraps.
func resetConnOf(conn net.Conn) (*resetConn, bool) {
	if ahead, ok := conn.(*pipelining.Conn); ok {
		conn = ahead.Conn
	}
	c, ok := conn.(*resetConn)
	return c, ok
}
