package headread

import (
	"net"
	"sync"
	"time"
)

// leastWaits are the times for which a connection has to have waited before it is closed in favour
// of another one, in the order in which connections are closed.
var leastWaits = [...]struct {
	wait  wait
	least time.Duration
}{{firstHead, 100 * time.Millisecond}, {moreBody, time.Second}, {nextHead, 10 * time.Second}}

// Listener accepts connections whose heads are read under limits. While it has as many
// connections as it may, it closes those that wait for bytes: first those that have never sent a
// request, then those on which the rest of a body does not come, last those that are kept for the
// next request, and of these the one that has waited longest.
//
// A listener that only stops accepting would let clients that hold idle connections shut out all
// others.
type Listener struct {
	net.Listener
	cfg Config
	max int

	mu   sync.Mutex
	open map[*Conn]struct{}
	// looking is set while a timer looks for a connection to close.
	looking bool
}

// NewListener returns a listener that accepts from l, which accepts at most limit connections at a
// time.
func NewListener(l net.Listener, limit int, cfg Config) *Listener {
	return &Listener{Listener: l, cfg: cfg, max: limit, open: make(map[*Conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.makeRoom()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := New(conn, &l.cfg)
	c.onClose = l.remove
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// lookInterval is the time between two searches for a connection to close, while there is none.
const lookInterval = 50 * time.Millisecond

// makeRoom closes a connection if there are as many as there may be, now or as soon as one waits
// for long enough.
func (l *Listener) makeRoom() {
	conn, waits := l.toClose()
	switch {
	case conn == nil:
	case waits == nextHead:
		conn.ExpireIdle()
	default:
		conn.Reset()
	}
}

// toClose returns the connection to close, nil if there is none, and what it waits for. It is called
// again later while there should be one.
func (l *Listener) toClose() (*Conn, wait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < l.max {
		return nil, noWait
	}
	now := time.Now()
	longest := l.longestWaiting()
	for _, next := range leastWaits {
		if one := longest[next.wait]; one.conn != nil && now.Sub(one.since) >= next.least {
			return one.conn, next.wait
		}
	}
	if !l.looking {
		l.looking = true
		time.AfterFunc(lookInterval, l.look)
	}
	return nil, noWait
}

// look makes room once the time for the next search has come.
func (l *Listener) look() {
	l.mu.Lock()
	l.looking = false
	l.mu.Unlock()
	l.makeRoom()
}

// waitingConn is a connection that waits, and since when.
type waitingConn struct {
	conn  *Conn
	since time.Time
}

// longestWaiting returns, by what connections wait for, the one that has waited longest. The caller
// holds l.mu.
func (l *Listener) longestWaiting() [moreBody + 1]waitingConn {
	var longest [moreBody + 1]waitingConn
	for c := range l.open {
		waits, since := c.waiting()
		if one := &longest[waits]; one.conn == nil || since.Before(one.since) {
			*one = waitingConn{c, since}
		}
	}
	return longest
}
