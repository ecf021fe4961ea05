package pipelining

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Bounds of one connection.
const (
	// MaxAhead is how many requests are begun before their turn. Each one holds
	// a goroutine and a connection to another node; answers come one by one, so
	// of more than a few the last are late anyhow.
	MaxAhead = 16
	// maxUnread is how many received bytes wait for net/http before no more are
	// read, in bytes.
	maxUnread = 32 << 10
	// readSize is the size of one read, in bytes: that of net/http's buffer.
	readSize = 4 << 10
)

// Answer is the answer to a request that was begun before its turn.
type Answer interface {
	// Drop lets go of an answer whose turn will not come. It does not block.
	Drop()
}

// Begin begins a request before its turn. It returns nil for one that has to
// wait. ctx ends when the caller leaves. It must not block.
type Begin func(ctx context.Context, r *http.Request) Answer

// Conn is a caller's connection, read by one net/http server.
//
// Until a caller sends a request behind another, each read goes straight to the
// socket. From then on a goroutine reads, so that requests are begun as they
// come and the end of the connection is noticed while one is served.
type Conn struct {
	net.Conn
	begin Begin

	mu sync.Mutex
	// changed tells of anything that a waiting Read looks at.
	changed *sync.Cond
	split   splitter
	queue   []begun
	// waiting is set while what stands behind the queue has to wait for its turn.
	waiting bool
	// serving is set while a handler runs, and end is the offset at which its
	// request ends, -1 if that isn't known.
	serving bool
	end     int64
	// current is the answer of the request being served, nil unless it was begun
	// before its turn.
	current Answer
	// reading is set while Read itself reads the socket.
	reading bool
	// taken counts the bytes that net/http has read.
	taken int64
	// pumping is set once a goroutine reads the socket; unread is what it has
	// read and net/http has not, and failed how its reading ended.
	pumping  bool
	unread   []byte
	failed   error
	closed   bool
	deadline time.Time
	timer    *time.Timer
	// left ends the requests that were begun; it is made with the first one.
	left   context.Context
	cancel context.CancelFunc
}

// begun is a request that was begun before its turn.
type begun struct {
	request *http.Request
	answer  Answer
	end     int64
}

// New returns a Conn on top of conn.
func New(conn net.Conn, begin Begin) *Conn {
	c := &Conn{Conn: conn, begin: begin}
	c.changed = sync.NewCond(&c.mu)
	return c
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

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pumping {
		return c.readUnread(p)
	}
	c.reading = true
	c.mu.Unlock()
	count, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	withheld := count > 0 && c.withheld()
	c.split.add(p[:count])
	if err != nil && !isTimeout(err) {
		c.dropAll()
	}
	if !withheld {
		c.taken += int64(count)
		c.lookAhead()
		return count, err
	}
	// net/http waits for the caller to leave while a request is served, and
	// would stop at this byte of the next one. It gets it when its turn comes.
	c.unread = append(c.unread, p[:count]...)
	if err != nil && !isTimeout(err) {
		c.failed = err
	}
	c.lookAhead()
	if !c.pumping {
		c.startPump()
	}
	return c.readUnread(p)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// startPump reads the socket from here on. The lock is held.
func (c *Conn) startPump() {
	c.pumping = true
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil && c.failed == nil {
		c.failed = err
	}
	c.armTimer()
	if c.failed == nil {
		go c.pump()
	}
}

func (c *Conn) pump() {
	buf := make([]byte, readSize)
	for {
		count, err := c.Conn.Read(buf)
		if !c.received(buf[:count], err) {
			return
		}
	}
}

// received takes what the pump has read, and reports whether it is to go on.
func (c *Conn) received(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = append(c.unread, p...)
	c.split.add(p)
	c.lookAhead()
	if err != nil {
		c.failed = err
		c.dropAll()
	}
	c.changed.Broadcast()
	for len(c.unread) >= maxUnread && !c.closed {
		c.changed.Wait()
	}
	return err == nil && !c.closed
}

// readUnread is Read where a goroutine reads the socket. The lock is held.
func (c *Conn) readUnread(p []byte) (int, error) {
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(c.unread) > 0 && !c.withheld():
			count := copy(p, c.unread)
			c.unread = append(c.unread[:0], c.unread[count:]...)
			c.taken += int64(count)
			c.changed.Broadcast()
			return count, nil
		case c.failed != nil:
			return 0, c.failed
		}
		c.changed.Wait()
	}
}

// withheld tells whether what was received belongs to requests behind the one
// being served. The lock is held.
func (c *Conn) withheld() bool { return c.serving && c.end >= 0 && c.taken >= c.end }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if !c.pumping {
		return c.Conn.SetReadDeadline(t)
	}
	c.armTimer()
	c.changed.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// armTimer wakes a waiting Read at the deadline. The lock is held.
func (c *Conn) armTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if left := time.Until(c.deadline); !c.deadline.IsZero() && left > 0 {
		c.timer = time.AfterFunc(left, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.dropAll()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
