package pipelining

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Conn is a caller's connection, read by one net/http server.
//
// Until the caller pipelines a request, each Read goes straight to the socket. From
// then on a goroutine reads the socket, so that requests are started as they arrive,
// and the end of the connection is noticed while a request is being served.
type Conn struct {
	net.Conn
	handlers Handlers

	mu sync.Mutex
	// changed is signalled on every change of state that a waiting Read depends on.
	changed *sync.Cond
	split   splitter
	queue   []earlyRequest
	// nextWaits is set while the next request after the queue has to wait for its
	// turn.
	nextWaits bool
	// serving is set while a handler runs. requestEnd is the stream offset at which
	// its request ends, -1 if unknown.
	serving    bool
	requestEnd int64
	// currentAnswer is the answer to the request being served, nil unless the request
	// was started early.
	currentAnswer Answer
	// reading is set while Read itself reads the socket.
	reading bool
	// delivered counts the bytes that net/http has read.
	delivered int64
	// pumping is set once a goroutine reads the socket. unread holds the bytes that
	// were received but not yet read by net/http, and readErr the error that ended
	// the reading.
	pumping bool
	unread  []byte
	readErr error
	// counted is the part of unread that handlers.ReadAhead counts.
	counted int64
	// waitingSince is when the oldest bytes behind the request being served arrived.
	waitingSince time.Time
	// closing is set once a response has announced that it closes the connection.
	closing  bool
	closed   bool
	deadline time.Time
	// expiring is set while deadline is the one of ExpireIdle.
	expiring bool
	timer    *time.Timer
	// earlyCtx is the context of the requests that were started early. It is created
	// with the first of them and cancelled when the connection ends or the read-ahead
	// is given up.
	earlyCtx    context.Context
	cancelEarly context.CancelFunc
}

// Handlers are the functions that a Conn calls while it is locked. They must not block
// or call the Conn.
type Handlers struct {
	// Begin starts a request before its turn.
	Begin Begin
	// Abandoned is called when the connection closes with a request that was read
	// completely and not served, unless the caller closed the connection or a response
	// announced the close. received is the time since when the connection holds the
	// request, or one before it.
	Abandoned func(r *http.Request, received time.Time)
	// ReadAhead bounds what the connections hold, nil for no bound.
	ReadAhead *ReadAhead
}

// New returns a Conn that wraps conn.
func New(conn net.Conn, handlers Handlers) *Conn {
	c := &Conn{Conn: conn, handlers: handlers}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// NetConn returns the connection under c.
func (c *Conn) NetConn() net.Conn { return c.Conn }

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

// IdleConn is a connection that can be closed as idle.
type IdleConn interface {
	// ExpireIdle ends the Read that waits for the next request, unless bytes arrive
	// within a short time.
	ExpireIdle()
}

// idleLook is how long ExpireIdle waits for the goroutine that reads the socket.
const idleLook = 50 * time.Millisecond

// ExpireIdle implements IdleConn.
func (c *Conn) ExpireIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.requestEnd >= 0 && c.delivered > c.requestEnd {
		// net/http has read a part of the next request. A deadline would end the wait for
		// the rest, or look like the end of the connection to its handler.
		return
	}
	if !c.pumping {
		if idle, ok := c.Conn.(IdleConn); ok {
			idle.ExpireIdle()
		}
		return
	}
	c.expiring = true
	c.deadline = time.Now().Add(idleLook)
	c.armTimer()
	c.changed.Broadcast()
}

// armTimer wakes a waiting Read at the deadline. The caller holds c.mu.
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
	c.reportAbandoned()
	c.closed = true
	c.countUnread()
	c.dropEarly()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
