package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"pollengauge.dev/livedial"
	"pollengauge.dev/respread"
)

// Network is how a node listens and dials. Tests use an in-memory one; the default is
// TCP.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

type tcpNetwork struct{ dialer *net.Dialer }

// dialTimeout bounds one connect. Within a region a connect takes milliseconds. TCP
// resends a lost first packet only after a second, so trying another target is faster.
const dialTimeout = 250 * time.Millisecond

func newTCPNetwork() *tcpNetwork { return &tcpNetwork{dialer: livedial.Dialer(dialTimeout)} }

func (*tcpNetwork) Listen(addr string) (net.Listener, error) {
	return livedial.ListenConfig().Listen(context.Background(), "tcp", addr)
}

func (t *tcpNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", addr)
}

// The states of a sealConn since the last call of arm.
const (
	connUntouched int32 = iota // no byte of the current request has been written
	connWritten                // at least one write has begun
	connSealed                 // no byte has been written, and every write fails
)

// sealConn proves that a request was never sent.
//
// RoundTrip may return (after a cancellation, or because the peer closed an idle
// connection) while the transport's write loop is still about to write the request. If
// the call were then reported as not-run, it could run twice: once by the late write,
// once by the retry. seal decides this in one atomic step: either no write has begun
// and all later ones fail, or a write has begun and the fate is unknown.
type sealConn struct {
	*respread.Conn
	state atomic.Int32
	// requests counts the requests that have got the connection. identified is the number of
	// the last one whose answer stated which request it belongs to.
	requests, identified atomic.Int64
	// retired is set once the connection may get no further request.
	retired atomic.Bool
}

// arm resets the state for a new request and returns its number on the connection. The
// transport calls it (through httptrace.GotConn) before it hands the request to its write loop.
func (c *sealConn) arm() (number int64) {
	c.state.Store(connUntouched)
	c.Begin()
	return c.requests.Add(1)
}

// exchange is one request on a connection. conn is nil if the connection can't be sealed.
type exchange struct {
	conn   *sealConn
	number int64
}

// noteIdentified records that the answer stated which request it belongs to.
func (e exchange) noteIdentified() { e.conn.identified.Store(e.number) }

// mayBelong reports whether an answer that does not state which request it belongs to can be the
// one to this request: the one before it on the connection did state its own. If it did not,
// this one may be a second copy of it, which an upstream may send late.
func (e exchange) mayBelong() bool { return e.conn.identified.Load() >= e.number-1 }

// retire lets the connection get no further request. Unless it has one already, it is closed; a
// request that gets it from the pool just now is proved unsent.
func (e exchange) retire() {
	e.conn.retired.Store(true)
	if e.conn.requests.Load() == e.number {
		_ = e.conn.Close()
	}
}

// seal reports whether the current request is proved not to have been sent. If so, all
// later writes fail.
func (c *sealConn) seal() bool {
	return c.state.CompareAndSwap(connUntouched, connSealed) || c.state.Load() == connSealed
}

// Write implements net.Conn.
func (c *sealConn) Write(p []byte) (int, error) {
	if c.retired.Load() {
		c.state.CompareAndSwap(connUntouched, connSealed)
	}
	if !c.state.CompareAndSwap(connUntouched, connWritten) && c.state.Load() == connSealed {
		return 0, &SealedError{}
	}
	return c.Conn.Write(p)
}

// SealedError is the error of a write on a connection whose request was already
// reported as not sent.
type SealedError struct{}

// Error implements error.
func (*SealedError) Error() string { return "connection sealed: its request was reported as not sent" }
