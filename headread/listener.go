package headread

import (
	"net"
	"sync"
	"time"
)

// Times for which a connection has to have waited for a request before it is closed in favour of
// another one.
const (
	// newWait is for a connection that has not served a request.
	newWait = 100 * time.Millisecond
	// idleWait is for any other.
	idleWait = time.Second
)

// Listener accepts connections whose heads are read under limits. While it has as many
// connections as it may, it closes those that wait for a request: first those that have never
// sent one, and of these the one that has waited longest.
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
// for a request.
func (l *Listener) makeRoom() {
	conn, served := l.toClose()
	switch {
	case conn == nil:
	case served:
		conn.ExpireIdle()
	default:
		conn.Reset()
	}
}

// toClose returns the connection to close, nil if there is none. It is called again later while
// there should be one.
func (l *Listener) toClose() (conn *Conn, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < l.max {
		return nil, false
	}
	conn, served = l.longestWaiting(time.Now())
	if conn == nil && !l.looking {
		l.looking = true
		time.AfterFunc(lookInterval, l.look)
	}
	return conn, served
}

// look makes room once the time for the next search has come.
func (l *Listener) look() {
	l.mu.Lock()
	l.looking = false
	l.mu.Unlock()
	l.makeRoom()
}

// longestWaiting returns the connection to close, nil if there is none. The caller holds l.mu.
func (l *Listener) longestWaiting(now time.Time) (found *Conn, foundServed bool) {
	var foundSince time.Time
	for c := range l.open {
		since, served, waits := c.waiting()
		least := newWait
		if served {
			least = idleWait
		}
		switch {
		case !waits || now.Sub(since) < least:
		case found == nil, foundServed && !served, foundServed == served && since.Before(foundSince):
			found, foundServed, foundSince = c, served, since
		}
	}
	return found, foundServed
}
