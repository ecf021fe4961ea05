package pipelining

import (
	"context"
	"net"
	"sync"
	"time"
)

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

// New returns a Conn on top of conn.
func New(conn net.Conn, begin Begin) *Conn {
	c := &Conn{Conn: conn, begin: begin}
	c.changed = sync.NewCond(&c.mu)
	return c
}

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
