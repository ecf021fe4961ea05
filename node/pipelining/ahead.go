package pipelining

import (
	"context"
	"net/http"
)

// MaxAhead is how many requests are begun before their turn. Each one holds
// a goroutine and a connection to another node; answers come one by one, so
// of more than a few the last are late anyhow.
const MaxAhead = 16

// Answer is the answer to a request that was begun before its turn.
type Answer interface {
	// Drop lets go of an answer whose turn will not come. It does not block.
	Drop()
}

// Begin begins a request before its turn. It returns nil for one that has to
// wait. ctx ends when the caller leaves. It must not block.
type Begin func(ctx context.Context, r *http.Request) Answer

// begun is a request that was begun before its turn.
type begun struct {
	request *http.Request
	answer  Answer
	end     int64
}

// Serve tells that a handler begins to serve r. Done has to follow.
func (c *Conn) Serve(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	if len(c.queue) == 0 {
		// What stands behind a request that may change something may depend on it
		// (RFC 9112, 9.3.2: in parallel only if all methods are safe).
		c.waiting = !safeMethod(r.Method)
		c.end = c.split.serve(r)
		c.lookAhead()
		return
	}
	c.serveBegun(r)
}

// serveBegun takes r, which was begun before its turn, from the queue. The lock is
// held.
func (c *Conn) serveBegun(r *http.Request) {
	first := c.queue[0]
	c.queue = c.queue[1:]
	if !sameRequest(first.request, r) {
		// The two readings of the connection differ, so neither boundary can be
		// trusted. Only requests that may run more than once are begun early.
		first.answer.Drop()
		c.dropAll()
		c.end = -1
		return
	}
	c.current = first.answer
	c.end = first.end
	c.lookAhead()
}

// Take returns the answer of the request being served if that was begun before
// its turn, else nil. Whoever takes it has to let go of it.
func (c *Conn) Take() Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.current
	c.current = nil
	return taken
}

// sameRequest tells whether a request that was begun is the one that net/http read.
func sameRequest(a, b *http.Request) bool {
	if a.Method != b.Method || a.RequestURI != b.RequestURI || a.Host != b.Host || len(a.Header) != len(b.Header) {
		return false
	}
	for name := range a.Header {
		if a.Header.Get(name) != b.Header.Get(name) {
			return false
		}
	}
	return true
}

// Done tells that the handler has returned. An answer that it did not take is
// dropped: a handler may refuse a request that was begun, as when a limit came
// down meanwhile, and its run would count as under way for ever.
func (c *Conn) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	if c.current != nil {
		c.current.Drop()
		c.current = nil
	}
	c.changed.Broadcast()
}

// Last reports whether the answer being made may close the connection, and if so
// begins no further request. It may not while requests behind it were begun: the
// caller would take them for unread, and their work would be lost.
func (c *Conn) Last() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return false
	}
	c.split.giveUp()
	return true
}

// lookAhead begins what may begin, and sees to it that the socket is read on
// once the caller sends requests behind one another. The lock is held.
func (c *Conn) lookAhead() {
	if !c.serving {
		return
	}
	if c.end < 0 && !c.split.lost && c.split.settleChunked() {
		c.end = c.split.base
	}
	c.beginNext()
	if (len(c.queue) > 0 || c.split.behind()) && !c.pumping && !c.reading {
		c.startPump()
	}
}

// beginNext begins what stands behind the queue, up to the first request that has
// to wait. The lock is held.
func (c *Conn) beginNext() {
	for len(c.queue) < MaxAhead && !c.waiting {
		r, length := c.split.next()
		if r == nil {
			return
		}
		if c.left == nil {
			c.left, c.cancel = context.WithCancel(context.Background())
		}
		r.RemoteAddr = c.RemoteAddr().String()
		answer := c.begin(c.left, r)
		if answer == nil {
			c.waiting = true // and so does all behind it
			return
		}
		c.split.drop(length)
		c.queue = append(c.queue, begun{request: r, answer: answer, end: c.split.base})
	}
}

// dropAll ends what was begun. The lock is held.
func (c *Conn) dropAll() {
	for _, b := range c.queue {
		b.answer.Drop()
	}
	c.queue = nil
	c.split.giveUp()
	if c.cancel != nil {
		c.cancel()
	}
}
