package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"pollengauge.dev/livedial"
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
	net.Conn
	state atomic.Int32
}

// arm resets the state for a new request. The transport calls it (through
// httptrace.GotConn) before it hands the request to its write loop.
func (c *sealConn) arm() { c.state.Store(connUntouched) }

// seal reports whether the current request is proved not to have been sent. If so, all
// later writes fail.
func (c *sealConn) seal() bool {
	return c.state.CompareAndSwap(connUntouched, connSealed) || c.state.Load() == connSealed
}

// Write implements net.Conn.
func (c *sealConn) Write(p []byte) (int, error) {
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
