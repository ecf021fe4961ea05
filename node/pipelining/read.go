package pipelining

import (
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Limits of the reading goroutine.
const (
	// maxUnread is the maximum number of received bytes that wait for net/http. At
	// this limit the goroutine stops reading, and from readSize on if the connections
	// that share a ReadAhead hold as much as they may.
	maxUnread = 32 << 10
	// readSize is the size of one read, in bytes. It equals net/http's buffer.
	readSize = 4 << 10
)

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
		c.dropEarly()
	}
	if !withheld {
		c.delivered += int64(count)
		c.lookAhead()
		c.noteWaiting()
		return count, err
	}
	c.withhold(p[:count], err)
	return c.readUnread(p)
}

// withhold stores the bytes that Read itself has received of requests queued behind
// the one being served, and starts the reading goroutine. net/http gets them when
// their turn comes. The caller holds c.mu.
//
// net/http reads in the background while a request is served, to notice that the
// caller disconnects. If Read returned the first byte of the next request, net/http
// would stop watching the connection.
func (c *Conn) withhold(p []byte, err error) {
	c.addUnread(p)
	if err != nil && !isTimeout(err) {
		c.readErr = err
	}
	c.lookAhead()
	c.noteWaiting()
	if !c.pumping {
		c.startPump()
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// startPump starts the goroutine that reads the socket from now on. The caller holds
// c.mu.
func (c *Conn) startPump() {
	c.pumping = true
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil && c.readErr == nil {
		c.readErr = err
	}
	c.armTimer()
	if c.readErr == nil {
		go c.pump()
	}
}

// pump reads the socket until a read fails or the connection is closed.
func (c *Conn) pump() {
	buf := make([]byte, readSize)
	for {
		count, err := c.Conn.Read(buf)
		if !c.received(buf[:count], err) {
			return
		}
	}
}

// received stores the bytes that pump has read, and reports whether pump should
// continue.
func (c *Conn) received(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addUnread(p)
	c.split.add(p)
	c.lookAhead()
	c.noteWaiting()
	if err != nil {
		c.readErr = err
		c.dropEarly()
	}
	c.changed.Broadcast()
	for c.holdsEnough() && !c.closed {
		c.changed.Wait()
	}
	return err == nil && !c.closed
}

// readUnread is Read once a goroutine reads the socket. The caller holds c.mu.
func (c *Conn) readUnread(p []byte) (int, error) {
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.expiring && len(c.unread) > 0 && !c.withheld():
			c.expiring = false
			return c.deliver(p), nil
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			c.expiring = false
			return 0, os.ErrDeadlineExceeded
		case len(c.unread) > 0 && !c.withheld():
			return c.deliver(p), nil
		case c.readErr != nil:
			return 0, c.readErr
		}
		c.changed.Wait()
	}
}

// deliver copies received bytes to net/http's buffer. The caller holds c.mu.
func (c *Conn) deliver(p []byte) int {
	count := copy(p, c.unread)
	c.unread = append(c.unread[:0], c.unread[count:]...)
	if len(c.unread) == 0 {
		c.unread = nil
	}
	c.countUnread()
	c.delivered += int64(count)
	c.changed.Broadcast()
	return count
}

// withheld reports whether the next received bytes belong to requests queued behind
// the one being served. The caller holds c.mu.
func (c *Conn) withheld() bool { return c.serving && c.requestEnd >= 0 && c.delivered >= c.requestEnd }

// addUnread appends received bytes that wait for net/http. The caller holds c.mu.
func (c *Conn) addUnread(p []byte) {
	c.unread = append(c.unread, p...)
	c.countUnread()
}

// countUnread updates what the connection holds of the shared ReadAhead. The caller holds c.mu.
func (c *Conn) countUnread() {
	held := int64(len(c.unread))
	if c.closed {
		held = 0
	}
	if c.handlers.ReadAhead != nil {
		c.handlers.ReadAhead.held.Add(held - c.counted)
	}
	c.counted = held
}

// holdsEnough reports whether no more may be read before net/http has read. The caller holds c.mu.
func (c *Conn) holdsEnough() bool {
	return len(c.unread) >= maxUnread || len(c.unread) >= readSize && c.handlers.ReadAhead.exhausted()
}

// ReadAhead bounds the received bytes that wait for net/http on all connections that share it,
// beside those of one read on each connection.
type ReadAhead struct {
	max  int64
	held atomic.Int64
}

// NewReadAhead returns a ReadAhead of limit bytes.
func NewReadAhead(limit int64) *ReadAhead { return &ReadAhead{max: limit} }

func (r *ReadAhead) exhausted() bool { return r != nil && r.held.Load() >= r.max }
