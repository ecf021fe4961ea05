package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// resetConn is a connection that can be closed so that its peer sees an error.
type resetConn struct {
	net.Conn
	raw  net.Conn
	idle idleTimer
	// expiring is set from ExpireIdle to the Read that it ends.
	expiring atomic.Bool
	// clearWrite is set while the write deadline is to be cleared before the next Write.
	clearWrite atomic.Bool
	// peerEnded is set once a Read has failed for good.
	peerEnded atomic.Bool
	// closing is set by the first Close. lingering counts the connections of the listener
	// that wait for their peer's end.
	closing   atomic.Bool
	lingering *atomic.Int64
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

// SetReadDeadline implements net.Conn.
func (c *resetConn) SetReadDeadline(t time.Time) error {
	c.expiring.Store(false)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. net/http clears the deadline after each response,
// and the next response sets it again, so it is cleared only if a Write needs that.
func (c *resetConn) SetWriteDeadline(t time.Time) error {
	c.clearWrite.Store(t.IsZero())
	if t.IsZero() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	if c.clearWrite.Load() {
		c.clearWrite.Store(false)
		if err := c.Conn.SetWriteDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerEnded.Store(true)
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.expiring.Swap(false) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Bounds on the time for which a closed connection lingers, and on the bytes that it
// discards meanwhile.
const (
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 4 << 20
)

// Close implements net.Conn. It closes the sending side and discards what still arrives
// until the peer closes too, at the longest for lingerTime.
//
// The kernel resets a connection that is closed with unread bytes. The reset discards what
// the peer has not received yet, which can be the end of a response.
func (c *resetConn) Close() error {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if again := c.closing.Swap(true); again || !ok || c.peerEnded.Load() {
		return c.Conn.Close()
	}
	if err := half.CloseWrite(); err != nil {
		return c.Conn.Close()
	}
	c.lingering.Add(1)
	go c.linger()
	return nil
}

func (c *resetConn) linger() {
	defer c.lingering.Add(-1)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	_ = c.Conn.Close()
}

// Reset closes the connection without the normal end of stream; TCP sends a reset.
func (c *resetConn) Reset() {
	if l, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	c.closing.Store(true)
	_ = c.Conn.Close()
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
		c.Reset()
	}
	_ = conn.Close()
}

// resetConnOf returns the resetConn that conn is or wraps.
func resetConnOf(conn net.Conn) (*resetConn, bool) {
	for {
		switch c := conn.(type) {
		case *resetConn:
			return c, true
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil, false
		}
	}
}
