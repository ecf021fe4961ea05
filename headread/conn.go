package headread

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound the heads of the requests on a connection.
type Limits struct {
	// Bytes bounds the request line, and all fields together, as they are sent.
	Bytes int
	// Timeout is the time from the first byte of a head to its last.
	Timeout time.Duration
}

// Config configures the connections of a listener. Its functions may be called concurrently.
type Config struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// Budget is shared by all connections of the process.
	Budget *Budget
	// Refused is called with the reason when a head is refused. It must not block.
	Refused func(Refusal)
}

// Conn is a connection that is read by one net/http server. The functions of the server's
// ConnState must include ConnState.
type Conn struct {
	net.Conn
	cfg *Config

	// Only Read uses these fields. held are the bytes that were received and not passed on,
	// the first passable of which may be passed on.
	held     []byte
	passable int
	head     headScanner
	body     bodyScanner
	// unadmitted is set if held begins with a complete head that waits for room.
	unadmitted bool
	readErr    error
	// refusal is why a head is not passed on, nil if there is none. refused is set once that
	// has been acted on.
	refusal Refusal
	refused bool

	// bodyAwaited is since when Read has waited for more of an open body, in nanoseconds of the
	// Unix epoch, 0 if it does not.
	bodyAwaited atomic.Int64
	// hijacked is set once the connection is no longer read as HTTP.
	hijacked atomic.Bool

	mu     sync.Mutex
	closed bool
	// reserved is the room in the budget for held.
	reserved int64
	// costs are the rooms in the budget of the requests that were passed on and have not
	// ended.
	costs []int64
	// deadline is the one that net/http has set. headBy is the time by which the head that
	// has begun has to be complete, zero if none has, and looked is set during LastLook.
	deadline, headBy time.Time
	looked           bool
	// stopWait ends the wait for room in the budget, nil if there is none.
	stopWait context.CancelFunc
	// since is when the connection began to wait for a request, and served is set once it has
	// served one.
	since  time.Time
	served bool

	// onClose is called when the connection closes, if it is set.
	onClose func(*Conn)
}

// New returns a Conn that wraps conn.
func New(conn net.Conn, cfg *Config) *Conn { return &Conn{Conn: conn, cfg: cfg, since: time.Now()} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		var err error
		switch {
		case c.passable > 0:
			return c.pass(p), nil
		case c.hijacked.Load() && len(c.held) > 0:
			c.passable = len(c.held)
		case c.hijacked.Load():
			return c.Conn.Read(p)
		case c.refused:
			return c.discard(p)
		case c.refusal != nil:
			err = c.refuse()
		case c.unadmitted:
			c.passable, err = c.examine(c.held)
		case c.readErr != nil:
			return 0, c.readErr
		case len(c.held) == 0:
			// Most heads arrive in one piece. They are examined where net/http wants them.
			n, readErr := c.readInto(p)
			if n == 0 {
				return 0, readErr
			}
			c.noteError(readErr)
			var passable int
			passable, err = c.examine(p[:n])
			if passable < n {
				c.hold(p[passable:n])
			}
			if passable > 0 {
				return passable, nil
			}
		default:
			err = c.readMore()
		}
		if err != nil {
			return 0, err
		}
	}
}

// readInto reads what may be passed on at once.
func (c *Conn) readInto(p []byte) (int, error) {
	if !c.body.open() {
		return c.Conn.Read(p)
	}
	c.bodyAwaited.Store(time.Now().UnixNano())
	defer c.bodyAwaited.Store(0)
	return c.Conn.Read(p)
}

// noteError stores the error of a read that also returned bytes, unless it is a timeout, after
// which the connection can be read again.
func (c *Conn) noteError(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
}

// pass copies bytes that may be passed on to p.
func (c *Conn) pass(p []byte) int {
	n := copy(p, c.held[:c.passable])
	c.passable -= n
	c.held = c.held[n:]
	if len(c.held) == 0 {
		c.drop()
	}
	return n
}

// minHeld is the least capacity for bytes that are withheld.
const minHeld = 1 << 10

// hold stores bytes that may not be passed on yet.
func (c *Conn) hold(b []byte) {
	if !c.setCapacity(max(len(b), minHeld)) {
		c.refusal = &BusyError{}
		return
	}
	c.held = append(c.held, b...)
}

// drop drops the bytes that are held.
func (c *Conn) drop() {
	c.held = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreserve()
}

// examine accounts for b, which begins with the bytes that are held, and returns how many of its
// first bytes may be passed on. It sets the refusal if the head behind them may not be. The error
// is the one with which Read returns.
func (c *Conn) examine(b []byte) (passable int, err error) {
	c.unadmitted = false
	for passable < len(b) {
		if c.body.open() {
			skipped, refusal := c.body.skip(b[passable:])
			passable += skipped
			if c.refusal = refusal; refusal != nil {
				return passable, nil
			}
			continue
		}
		limits := c.cfg.Limits()
		length, refusal := c.head.scan(b[passable:])
		size := length
		if length == 0 {
			size = len(b) - passable
		}
		switch {
		case refusal != nil:
			c.refusal = refusal
			return passable, nil
		case c.head.measure(size) > limits.Bytes:
			c.refusal = &TooLargeError{Limit: limits.Bytes}
			return passable, nil
		case length == 0:
			if !c.head.onlyEmptyLines(b[passable:]) {
				c.startTimer(limits.Timeout)
			}
			return passable, nil
		}
		c.stopTimer()
		cost := c.cfg.Budget.cost(length, c.head.fields)
		if cost > 0 && !c.cfg.Budget.parsed.TryAcquire(cost) {
			// Bytes before this head must not wait for it.
			if passable > 0 {
				c.unadmitted, c.head = true, headScanner{}
				return passable, nil
			}
			if err := c.awaitRoom(cost); err != nil || c.refusal != nil {
				c.unadmitted, c.head = true, headScanner{}
				return 0, err
			}
		}
		if !c.begin(cost) {
			c.cfg.Budget.release(cost)
			return 0, net.ErrClosed
		}
		c.body = bodyScanner{framing: c.head.framing}
		c.head = headScanner{}
		passable += length
	}
	return passable, nil
}

// begin records that a request is passed on. It returns false if the connection is closed.
func (c *Conn) begin(cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.costs = append(c.costs, cost)
	return true
}

// end records that the oldest request has ended.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now()
	c.served = true
	if len(c.costs) == 0 {
		return
	}
	c.cfg.Budget.release(c.costs[0])
	c.costs = c.costs[:copy(c.costs, c.costs[1:])]
}

// awaitRoom waits for room in the budget. It sets the refusal if there is none in time. The wait
// ends with an error when net/http ends the Read.
func (c *Conn) awaitRoom(cost int64) error {
	ctx, stop := context.WithTimeout(context.Background(), admitWait)
	defer stop()
	c.mu.Lock()
	if past(c.deadline) || c.closed {
		c.mu.Unlock()
		return os.ErrDeadlineExceeded
	}
	c.stopWait = stop
	c.mu.Unlock()
	err := c.cfg.Budget.parsed.Acquire(ctx, cost)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWait = nil
	switch {
	case err == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.refusal = &BusyError{}
		return nil
	default:
		return os.ErrDeadlineExceeded
	}
}

// readMore reads more of the head that has begun.
func (c *Conn) readMore() error {
	if len(c.held) == cap(c.held) && !c.setCapacity(2*cap(c.held)) {
		c.refusal = &BusyError{}
		return nil
	}
	n, err := c.Conn.Read(c.held[len(c.held):cap(c.held)])
	if n == 0 {
		return c.ended(err)
	}
	c.held = c.held[:len(c.held)+n]
	c.noteError(err)
	c.passable, err = c.examine(c.held)
	return err
}

// setCapacity makes room for size bytes that are withheld, and reports whether the budget allows it.
func (c *Conn) setCapacity(size int) bool {
	if !c.reserve(int64(size) - freeHeld) {
		return false
	}
	c.held = append(make([]byte, 0, size), c.held...)
	return true
}

// reserve takes room in the budget for bytes that are withheld, up to total bytes, and reports
// whether there is any.
func (c *Conn) reserve(total int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	more := total - c.reserved
	if more <= 0 || c.closed {
		return true
	}
	if !c.cfg.Budget.held.TryAcquire(more) {
		return false
	}
	c.reserved += more
	return true
}

// unreserve returns the room for bytes that are withheld. The caller holds c.mu.
func (c *Conn) unreserve() {
	c.cfg.Budget.held.Release(c.reserved)
	c.reserved = 0
}

// LastLook is how long a head that is late is still read: its last bytes may have arrived while
// the process had no processor time.
const LastLook = 50 * time.Millisecond

// ended returns the error of a read within a head with which Read ends. After the time for the
// head it sets the refusal, and returns no error.
func (c *Conn) ended(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headBy.IsZero() || !past(c.headBy) || past(c.deadline) {
		return err
	}
	if c.looked {
		c.refusal = &SlowError{}
		return nil
	}
	c.looked = true
	return c.Conn.SetReadDeadline(time.Now().Add(LastLook))
}

// past reports whether a deadline has passed. The zero time is no deadline.
func past(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// startTimer bounds the time for the head that has begun, if that has not been done.
func (c *Conn) startTimer(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headBy.IsZero() {
		c.headBy, c.looked = time.Now().Add(timeout), false
		_ = c.setDeadline()
	}
}

// stopTimer ends the time for a head.
func (c *Conn) stopTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headBy.IsZero() {
		c.headBy = time.Time{}
		_ = c.setDeadline()
	}
}

// setDeadline sets the earlier of the two deadlines. The caller holds c.mu.
func (c *Conn) setDeadline() error {
	by := c.deadline
	if !c.headBy.IsZero() && (by.IsZero() || c.headBy.Before(by)) {
		by = c.headBy
	}
	return c.Conn.SetReadDeadline(by)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.stopWait != nil && past(t) {
		c.stopWait()
	}
	return c.setDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// malformedRequest is a request line that net/http answers with 400.
const malformedRequest = "!\r\n\r\n"

// refuse refuses the head that is held, and ends the reading of requests. While an earlier
// request is in progress, net/http has to write the refusal behind its response, and gets
// malformedRequest for that.
func (c *Conn) refuse() error {
	c.refused = true
	c.cfg.Refused(c.refusal)
	c.drop()
	c.mu.Lock()
	inProgress := len(c.costs) > 0
	c.headBy = time.Time{}
	_ = c.setDeadline()
	c.mu.Unlock()
	if inProgress {
		c.held, c.passable = []byte(malformedRequest), len(malformedRequest)
		return nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusalText(c.refusal))
	c.readErr = io.EOF
	return io.EOF
}

// Bounds of a refusal.
const (
	refusalTimeout = time.Second
	// busyRetry is the Retry-After of a refusal for want of memory.
	busyRetry = 1
)

// refusalText returns the response to a head that is refused.
func refusalText(r Refusal) string {
	status := strconv.Itoa(r.Status()) + " " + http.StatusText(r.Status())
	retry := ""
	if r.Status() == http.StatusServiceUnavailable {
		retry = "Retry-After: " + strconv.Itoa(busyRetry) + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" + retry + "\r\n" + status
}

// discard reads and drops what follows a head that was refused.
func (c *Conn) discard(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	for {
		if _, err := c.Conn.Read(p); err != nil {
			return 0, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// Reset closes the connection at once.
func (c *Conn) Reset() {
	c.release()
	if conn, ok := c.Conn.(interface{ Reset() }); ok {
		conn.Reset()
		return
	}
	_ = c.Conn.Close()
}

// release returns the connection's room in the budget.
func (c *Conn) release() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	for _, cost := range c.costs {
		c.cfg.Budget.release(cost)
	}
	c.costs = nil
	c.unreserve()
	if c.stopWait != nil {
		c.stopWait()
	}
	c.mu.Unlock()
	if c.onClose != nil {
		c.onClose(c)
	}
}

// ExpireIdle ends the Read that waits for the next request, unless bytes arrive within a short
// time. It does nothing once a head has begun, whose time is bounded.
func (c *Conn) ExpireIdle() {
	c.mu.Lock()
	begun := !c.headBy.IsZero()
	c.mu.Unlock()
	if begun {
		return
	}
	if conn, ok := c.Conn.(interface{ ExpireIdle() }); ok {
		conn.ExpireIdle()
		return
	}
	_ = c.Close()
}

// NetConn returns the connection under c.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Detach returns the connection under c, and what it has received and not passed on. The caller
// has hijacked c from net/http, and no longer uses it.
func (c *Conn) Detach() (net.Conn, []byte) {
	held := c.held
	c.held, c.passable = nil, 0
	c.release()
	return c.Conn, held
}

// ConnState has to be called with every change of a connection's state.
func ConnState(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateHijacked {
		return
	}
	c, ok := Unwrap(conn)
	switch {
	case !ok:
	case state == http.StateHijacked:
		c.hijacked.Store(true)
		c.stopTimer()
	default:
		c.end()
	}
}

// Unwrap returns the Conn that conn is or wraps.
func Unwrap(conn net.Conn) (*Conn, bool) {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c, true
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil, false
		}
	}
}

// wait is what a connection waits for.
type wait uint8

const (
	// noWait is that of a connection with a whole request in progress.
	noWait wait = iota
	// firstHead and nextHead are for a complete head.
	firstHead
	nextHead
	// moreBody is for more of a body.
	moreBody
)

// waiting returns what the connection waits for, and since when.
func (c *Conn) waiting() (wait, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch awaited := c.bodyAwaited.Load(); {
	case c.closed || c.hijacked.Load():
		return noWait, time.Time{}
	case len(c.costs) > 0 && awaited != 0:
		return moreBody, time.Unix(0, awaited)
	case len(c.costs) > 0:
		return noWait, time.Time{}
	case c.served:
		return nextHead, c.since
	default:
		return firstHead, c.since
	}
}
