package respread

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// InterruptedError reports the end of a stream within a response that may not be whole, because
// the request was not written to its end.
type InterruptedError struct{}

// Error implements error.
func (*InterruptedError) Error() string {
	return "the connection ended during a response while the request could not be written"
}

// Conn is a connection to a server. Begin and Written report the requests on it.
type Conn struct {
	net.Conn
	// received is set once a part of the response has been read.
	received atomic.Bool

	mu sync.Mutex
	// changed is signalled when writing ends.
	changed sync.Cond
	// writing is set while a request is being written. failed is set once a write has failed,
	// or the connection is closed.
	writing, failed bool
}

// NewConn returns a Conn that wraps conn.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.changed.L = &c.mu
	return c
}

// Begin reports that a request is about to be written.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
	c.received.Store(false)
}

// Written reports that the request was written to its end, or that it can't be.
func (c *Conn) Written(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.failed = c.failed || err != nil
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail()
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.fail()
	return c.Conn.Close()
}

func (c *Conn) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = true
	c.changed.Broadcast()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received.Load() {
		c.received.Store(true)
	}
	if errors.Is(err, io.EOF) && c.received.Load() && c.interrupted() {
		return n, &InterruptedError{}
	}
	return n, err
}

// interrupted waits until the request has been written, and reports whether that has failed. A
// server may end its response before it has read a long request, and read on.
func (c *Conn) interrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing && !c.failed {
		c.changed.Wait()
	}
	return c.failed
}
