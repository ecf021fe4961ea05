package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/node/pipelining"
)

// idleConns holds the open connections of callers, and closes those that are idle.
//
// net/http can't do either as callers need it: its idle timeout is fixed when the server
// is created, and its Shutdown closes connections on which a request has arrived that it
// has not yet seen.
type idleConns struct {
	// closing is set once connections are to be closed as soon as they are idle.
	closing atomic.Bool

	mu   sync.Mutex
	open map[*pipelining.Conn]*idleTimer
}

// follow updates the state of a connection. An idle one is closed after idleTimeout.
func (s *idleConns) follow(conn *pipelining.Conn, timer *idleTimer, state http.ConnState, idleTimeout time.Duration) {
	switch state {
	case http.StateNew:
		s.add(conn, timer)
		// net/http itself bounds the wait for the first request.
		idleTimeout = max(idleTimeout, readHeaderTimeout)
	case http.StateIdle:
	case http.StateClosed, http.StateHijacked:
		s.remove(conn)
		timer.close()
		return
	default:
		timer.stop()
		return
	}
	if s.closing.Load() {
		// Not at once: net/http sets its own deadline when this callback has returned.
		idleTimeout = lastLook
	}
	timer.start(idleTimeout, conn.ExpireIdle)
}

func (s *idleConns) add(conn *pipelining.Conn, timer *idleTimer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*pipelining.Conn]*idleTimer)
	}
	s.open[conn] = timer
}

func (s *idleConns) remove(conn *pipelining.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// closeIdle closes all connections that are idle, or as soon as they are.
func (s *idleConns) closeIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, timer := range s.open {
		timer.expireNow()
	}
}

// left returns the number of open connections.
func (s *idleConns) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// watchIdle follows a caller's connection, and closes it when it has been idle for the
// time given by the configuration.
//
// With a fixed timeout, callers reused connections that had been idle longer than the
// node's timeout, as their configuration allowed. The node had already closed these
// connections, and each such request ended without a response.
func (n *Node) watchIdle(conn net.Conn, state http.ConnState) {
	ahead, ok := conn.(*pipelining.Conn)
	if !ok {
		return
	}
	if c, ok := resetConnOf(conn); ok {
		n.callerConns.follow(ahead, &c.idle, state, n.idleTimeout())
	}
}

// idleTimer runs from the end of one request to the start of the next.
//
// A stop leaves the timer itself running, and the next start reuses it if it fires soon
// enough: most connections get their next request long before they expire, and setting a
// timer twice for each request costs more than one that fires in vain.
type idleTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// fires is when the timer fires, zero if it is not set.
	fires  time.Time
	expire func()
	// expires is when the wait ends, zero if no wait is in progress. A timer that fires
	// during a later request finds it zero and must not touch that request's connection.
	expires time.Time
}

func (t *idleTimer) start(after time.Duration, expire func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire = expire
	t.expires = time.Now().Add(after)
	if t.fires.IsZero() || t.expires.Before(t.fires) {
		t.set(after)
	}
}

// set makes the timer fire after a time. The caller holds t.mu.
func (t *idleTimer) set(after time.Duration) {
	t.fires = time.Now().Add(after)
	if t.timer == nil {
		t.timer = time.AfterFunc(after, t.fired)
		return
	}
	t.timer.Reset(after)
}

// fired ends the wait if its time is over.
func (t *idleTimer) fired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fires = time.Time{}
	if t.expires.IsZero() {
		return
	}
	if left := time.Until(t.expires); left > 0 {
		t.set(left)
		return
	}
	t.expires = time.Time{}
	t.expire()
}

// stop ends the wait without a further effect.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expires = time.Time{}
}

// close releases the timer.
func (t *idleTimer) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expires, t.fires = time.Time{}, time.Time{}
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// expireNow ends the wait at once, if one is in progress.
func (t *idleTimer) expireNow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expires.IsZero() {
		return
	}
	t.expires = time.Time{}
	t.expire()
}
