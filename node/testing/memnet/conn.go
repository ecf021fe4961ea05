package memnet

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// budget is the number of bytes that a connection may still carry. A negative value
// means unlimited.
type budget struct {
	mu        sync.Mutex
	remaining int
}

// take consumes up to n bytes of the budget and returns how many may pass.
func (b *budget) take(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining < 0 {
		return n
	}
	n = min(n, b.remaining)
	b.remaining -= n
	return n
}

// conn is one end of a connection.
type conn struct {
	net      *Network
	from, to string
	peer     *conn
	// shared limits both directions together, quota this direction alone.
	shared *budget
	quota  budget
	// in is the stream that the peer writes.
	in     *stream
	local  memAddr
	remote memAddr

	closed chan struct{}
	once   sync.Once
	// abortive makes Close reset the connection.
	abortive      atomic.Bool
	readDeadline  *deadline
	writeDeadline *deadline
}

func newPair(n *Network, from, to string, limit int) (near, far *conn) {
	shared := &budget{remaining: limit}
	near = newConn(n, shared, from, to)
	far = newConn(n, shared, to, from)
	near.peer, far.peer = far, near
	n.mu.Lock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	near.quota.remaining = n.takeQuota(from, to)
	far.quota.remaining = n.takeQuota(to, from)
	n.mu.Unlock()
	return near, far
}

func newConn(n *Network, shared *budget, from, to string) *conn {
	return &conn{
		net:           n,
		from:          from,
		to:            to,
		shared:        shared,
		in:            newStream(),
		local:         memAddr(from + ":1"),
		remote:        memAddr(to + ":1"),
		closed:        make(chan struct{}),
		readDeadline:  newDeadline(),
		writeDeadline: newDeadline(),
	}
}

func opError(op string, cause error) error { return &net.OpError{Op: op, Net: "mem", Err: cause} }

var errReset error = &ConnError{What: "connection reset"}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		count, wait, err := c.in.read(p, c.net.thawSignal(c.from, c.to))
		if wait == nil {
			return count, err
		}
		timer, stop := wait.timer()
		select {
		case <-wait.changed:
		case <-wait.thawed:
		case <-timer:
		case <-c.closed:
			stop()
			return 0, opError("read", net.ErrClosed)
		case <-c.readDeadline.wait():
			stop()
			return 0, opError("read", os.ErrDeadlineExceeded)
		}
		stop()
	}
}

// Write passes on the bytes that the budgets allow. If that is less than p, it then
// closes both ends: the peer still receives the bytes written so far.
func (c *conn) Write(p []byte) (int, error) {
	allowed := c.quota.take(c.shared.take(len(p)))
	written, err := c.send(p[:allowed])
	if err == nil && allowed < len(p) {
		_ = c.Close()
		_ = c.peer.Close()
		err = opError("write", errReset)
	}
	return written, err
}

func (c *conn) send(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		arrives := time.Now().Add(c.net.delayOf(c.from, c.to))
		count, full, err := c.peer.in.write(p, arrives)
		written += count
		p = p[count:]
		if err != nil {
			return written, opError("write", err)
		}
		if full == nil {
			continue
		}
		select {
		case <-full:
		case <-c.closed:
			return written, opError("write", net.ErrClosed)
		case <-c.writeDeadline.wait():
			return written, opError("write", os.ErrDeadlineExceeded)
		}
	}
	select {
	case <-c.closed:
		return written, opError("write", net.ErrClosed)
	default:
		return written, nil
	}
}

// Close implements net.Conn. Bytes written before still arrive.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		c.in.closeRead()
		if c.abortive.Load() {
			c.peer.in.reset()
			return
		}
		c.peer.in.closeWrite(time.Now().Add(c.net.delayOf(c.from, c.to)))
	})
	return nil
}

// SetLinger implements the method of net.TCPConn for sec 0: Close then resets the
// connection, and bytes that the peer has not read yet are lost.
func (c *conn) SetLinger(sec int) error {
	c.abortive.Store(sec == 0)
	return nil
}

// reset breaks both ends at once. Bytes in transit are lost.
func (c *conn) reset() {
	c.in.reset()
	c.peer.in.reset()
	_ = c.Close()
	_ = c.peer.Close()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// deadline provides a channel that closes at a time that can be changed.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
	past    bool
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	if d.past {
		d.past = false
		d.expired = make(chan struct{})
	}
	d.timer = nil
	if t.IsZero() {
		return
	}
	left := time.Until(t)
	if left <= 0 {
		// Start no timer that has already expired: under testing/synctest it runs on
		// its creator's thread, and two that do so at once share one context of the
		// race detector, which crashes the process.
		d.past = true
		close(d.expired)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(left, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.timer == timer && !d.past {
			d.past = true
			close(d.expired)
		}
	})
	d.timer = timer
}
