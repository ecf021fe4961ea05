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
	// closeBy is the time by which a closing listener fails, nil before CloseWhenEmpty.
	closeBy atomic.Pointer[time.Time]
	// ended is set once Accept has failed.
	ended atomic.Bool
}

// Times of a listener that closes. Callers may open connections faster than it looks for
// more, so both are bounded.
const (
	// acceptLook is how long it waits for one more connection.
	acceptLook = 10 * time.Millisecond
	// maxAcceptTime is how long it accepts connections.
	maxAcceptTime = 100 * time.Millisecond
)

// deadliner is a listener whose Accept can be given a deadline, as that of TCP.
type deadliner interface{ SetDeadline(t time.Time) error }

// Accept implements net.Listener.
func (l *rawListener) Accept() (net.Conn, error) {
	for {
		closeBy := l.closeBy.Load()
		if closeBy != nil && !time.Now().Before(*closeBy) {
			l.ended.Store(true)
			return nil, net.ErrClosed
		}
		if d, ok := l.Listener.(deadliner); ok && closeBy != nil {
			// A new deadline for each call, since an Accept past its deadline does not
			// look into the queue.
			_ = d.SetDeadline(time.Now().Add(acceptLook))
		}
		conn, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if closeBy == nil {
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

// CloseWhenEmpty makes Accept fail once no connection waits to be accepted, at the latest
// after maxAcceptTime.
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
	closeBy := time.Now().Add(maxAcceptTime)
	l.closeBy.Store(&closeBy)
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
