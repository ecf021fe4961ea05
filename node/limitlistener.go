package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

// limitListener returns a listener that accepts at most conns connections at a time,
// each of which can be reset. It counts the connections that linger in lingering.
func limitListener(l net.Listener, conns int, lingering *atomic.Int64) *resetListener {
	raw := &rawListener{Listener: l}
	return &resetListener{Listener: netutil.LimitListener(raw, conns), raw: raw, lingering: lingering}
}

// rawListener stores the connection that it accepted last, which a LimitListener
// hides. Only the accept loop of one server uses it.
type rawListener struct {
	net.Listener
	last net.Conn
	// closing is set by CloseWhenEmpty; ended is set once Accept has failed.
	closing, ended atomic.Bool
}

// acceptLook is how long a listener that closes still waits for connections.
const acceptLook = 50 * time.Millisecond

// deadliner is a listener whose Accept can be given a deadline, as that of TCP.
type deadliner interface{ SetDeadline(t time.Time) error }

// Accept implements net.Listener.
func (l *rawListener) Accept() (net.Conn, error) {
	for {
		closing := l.closing.Load()
		if d, ok := l.Listener.(deadliner); ok && closing {
			// A new deadline for each call, since an Accept past its deadline does not
			// look into the queue.
			_ = d.SetDeadline(time.Now().Add(acceptLook))
		}
		conn, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !closing {
				continue
			}
			err = net.ErrClosed
		}
		if err != nil {
			l.ended.Store(true)
		}
		l.last = conn
		return conn, err
	}
}

// CloseWhenEmpty makes Accept fail once no connection waits to be accepted.
//
// A listener that is closed resets the connections in its queue, on which requests may
// have been sent long ago: while the limit of connections is reached, or the process has
// no processor time, nothing is accepted.
func (l *rawListener) CloseWhenEmpty() {
	d, ok := l.Listener.(deadliner)
	if !ok {
		_ = l.Close()
		return
	}
	l.closing.Store(true)
	_ = d.SetDeadline(pastDeadline)
}

// resetListener accepts connections that can be reset.
type resetListener struct {
	net.Listener
	raw       *rawListener
	lingering *atomic.Int64
}

// Accept implements net.Listener.
func (l *resetListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &resetConn{Conn: conn, raw: l.raw.last, lingering: l.lingering}, nil
}
