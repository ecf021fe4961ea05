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
		timer.stop()
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
type idleTimer struct {
	mu     sync.Mutex
	timer  *time.Timer
	expire func()
	// generation counts starts and stops. A timer that has fired but lost the race
	// for mu to the next request must not touch that request's connection.
	generation uint64
}

func (t *idleTimer) start(after time.Duration, expire func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.generation++
	generation := t.generation
	t.expire = expire
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.generation == generation {
			expire()
		}
	})
}

func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
}

// expireNow ends the wait at once, if the timer runs.
func (t *idleTimer) expireNow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer == nil {
		return
	}
	t.clear()
	t.expire()
}

// clear stops the timer. The caller holds t.mu.
func (t *idleTimer) clear() {
	t.generation++
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}
