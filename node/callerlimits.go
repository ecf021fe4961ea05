package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"pollengauge.dev/config"
)

// spokenIdleTimeout is how long a caller's connection is kept without a request
// where a dialect is spoken and the configuration gives no time. Callers there
// open connections by the hundred, and what they leave holds descriptors.
const spokenIdleTimeout = 15 * time.Second

// forCallers tells whether callers from outside use l.
func (n *Node) forCallers(l Listener) bool {
	return l == EdgeListener || (l == OutboundListener && n.spoken())
}

// limitCaller holds a caller's request to the configuration in force.
func (n *Node) limitCaller(w http.ResponseWriter, r *http.Request) error {
	limits := n.config.Current().Limits()
	if limits.HeaderBytes > 0 {
		limit := n.headLimitOf(EdgeListener)
		limit.bytes = limits.HeaderBytes
		if err := limit.check(r); err != nil {
			return err
		}
	}
	if limits.BodyBytes == 0 {
		return nil
	}
	limit := int64(limits.BodyBytes)
	if r.ContentLength > limit {
		return &BodyLimitError{Got: r.ContentLength, Limit: limit}
	}
	if r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	return nil
}

// idleTimeout is how long a caller's connection is kept without a request.
func (n *Node) idleTimeout() time.Duration {
	limit := time.Duration(n.config.Current().Limits().IdleTimeout)
	switch {
	case limit > 0:
		return limit
	case n.spoken():
		return spokenIdleTimeout
	}
	return keepAliveTimeout
}

// longestIdle is what net/http itself allows a connection of l. Those of callers
// are ended by watchIdle.
func (n *Node) longestIdle(l Listener) time.Duration {
	if n.forCallers(l) {
		return time.Duration(config.MaxIdleTimeout)
	}
	return keepAliveTimeout
}

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// watchIdle ends a caller's connection that has been idle for as long as the
// configuration allows. net/http can't: its time is fixed with the server.
//
// The failure: callers used connections again that had been idle for longer than
// the node's fixed time, as their configuration allowed. The node had closed
// them, and each such request ended without an answer.
func (n *Node) watchIdle(conn net.Conn, state http.ConnState) {
	c, ok := resetConnOf(conn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.idle.start(n.idleTimeout(), func() { _ = conn.SetReadDeadline(longAgo) })
		return
	}
	c.idle.stop()
}

// idleTimer runs from the end of one request to the begin of the next.
type idleTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// turn counts starts and stops: a timer that has fired but lost the race for
	// mu to the next request must not touch that request's connection.
	turn uint64
}

func (t *idleTimer) start(after time.Duration, expire func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	turn := t.turn
	t.timer = time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.turn == turn {
			expire()
		}
	})
}

func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}
