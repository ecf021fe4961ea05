package pipelining

import (
	"context"
	"net/http"
)

// MaxAhead is the maximum number of requests of a connection that are started early.
// Each one holds a goroutine and a connection to another node. Responses are sent one
// by one, so with more than a few the last ones are late in any case.
const MaxAhead = 16

// Answer is the answer to a request that was started early.
type Answer interface {
	// Drop releases an answer that will not be sent. It does not block.
	Drop()
}

// Begin starts a request early. It returns nil for a request that has to wait for its
// turn. ctx ends when the caller disconnects. Begin must not block.
type Begin func(ctx context.Context, r *http.Request) Answer

// earlyRequest is a request that was started early. end is its end offset in the stream.
type earlyRequest struct {
	request *http.Request
	answer  Answer
	end     int64
}

// Serve reports that a handler starts to serve r. A call of Done must follow.
func (c *Conn) Serve(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	defer c.noteWaiting()
	if len(c.queue) == 0 {
		// Requests queued behind one that may change something may depend on it (RFC
		// 9112, 9.3.2: in parallel only if all methods are safe).
		c.nextWaits = !safeMethod(r.Method)
		c.requestEnd = c.split.serve(r)
		c.lookAhead()
		return
	}
	c.serveEarly(r)
}

// serveEarly removes r, which was started early, from the queue. The caller holds
// c.mu.
func (c *Conn) serveEarly(r *http.Request) {
	first := c.queue[0]
	c.queue = c.queue[1:]
	if !sameRequest(first.request, r) {
		// net/http and the splitter parsed the connection differently, so neither
		// request boundary can be trusted. Dropping the answers is safe, because only
		// requests that may run more than once are started early.
		first.answer.Drop()
		c.dropEarly()
		c.requestEnd = -1
		return
	}
	c.currentAnswer = first.answer
	c.requestEnd = first.end
	c.lookAhead()
}

// Take returns the answer to the request being served if the request was started
// early, else nil. The caller of Take must release the answer.
func (c *Conn) Take() Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.currentAnswer
	c.currentAnswer = nil
	return taken
}

// sameRequest reports whether the request that was started early equals the one that
// net/http read.
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

// Done reports that the handler has returned. An answer that the handler did not take
// is dropped: a handler may refuse a request that was started early, for example when
// a limit was lowered meanwhile, and its run would count as in flight for ever.
func (c *Conn) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	if c.currentAnswer != nil {
		c.currentAnswer.Drop()
		c.currentAnswer = nil
	}
	c.changed.Broadcast()
}

// MayClose reports whether the response that is about to be sent may close the connection,
// and if so stops starting requests early. It may not if anything behind its request was
// received: the caller would not get a response to that.
func (c *Conn) MayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.receivedBehind() {
		return false
	}
	c.closing = true
	c.split.giveUp()
	return true
}

// receivedBehind reports whether bytes behind the request being served were received, or
// may have been. The caller holds c.mu.
func (c *Conn) receivedBehind() bool {
	return c.requestEnd < 0 || c.delivered+int64(len(c.unread)) > c.requestEnd
}

// lookAhead starts the queued requests that may start early, and starts the reading
// goroutine once the caller pipelines requests. The caller holds c.mu.
func (c *Conn) lookAhead() {
	if !c.serving {
		return
	}
	if c.requestEnd < 0 && !c.split.gaveUp && c.split.finishChunked() {
		c.requestEnd = c.split.base
	}
	c.startNext()
	if (len(c.queue) > 0 || c.split.hasUnaccounted()) && !c.pumping && !c.reading {
		c.startPump()
	}
}

// startNext starts the received requests in order, up to the first that has to wait
// for its turn. The caller holds c.mu.
func (c *Conn) startNext() {
	for len(c.queue) < MaxAhead && !c.nextWaits {
		r, length := c.split.next()
		if r == nil {
			return
		}
		if c.earlyCtx == nil {
			c.earlyCtx, c.cancelEarly = context.WithCancel(context.Background())
		}
		r.RemoteAddr = c.RemoteAddr().String()
		answer := c.handlers.Begin(c.earlyCtx, r)
		if answer == nil {
			c.nextWaits = true // and so must all requests queued behind it
			return
		}
		c.split.consume(length)
		c.queue = append(c.queue, earlyRequest{request: r, answer: answer, end: c.split.base})
	}
}

// dropEarly drops all requests that were started early. The caller holds c.mu.
func (c *Conn) dropEarly() {
	for _, b := range c.queue {
		b.answer.Drop()
	}
	c.queue = nil
	c.split.giveUp()
	if c.cancelEarly != nil {
		c.cancelEarly()
	}
}
