package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

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
	// expiring is set from ExpireIdle to the Read that it ends.
	expiring atomic.Bool
}

// lastLook is how long a connection that closes as idle still waits for bytes.
const lastLook = 50 * time.Millisecond

// ExpireIdle ends the Read that waits for the next request, unless bytes arrive within
// lastLook.
//
// A process that had no processor time finds the end of its idle timeout and the bytes of
// a request at the same moment, and a Read past its deadline reports the deadline without
// looking for bytes. If the connection were closed then, the request would be lost however
// long ago it was sent.
func (c *resetConn) ExpireIdle() {
	c.expiring.Store(true)
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.expiring.Swap(false) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
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
