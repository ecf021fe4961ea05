package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"pollengauge.dev/livedial"
)

// Network is how a node listens and dials. Tests pass an in-memory one; the
// default is TCP.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

type tcpNetwork struct{ dialer *net.Dialer }

// dialTimeout bounds one connect. Within a region it takes milliseconds. A lost
// first packet is sent again only after a second; another target is found sooner.
const dialTimeout = 250 * time.Millisecond

func newTCPNetwork() *tcpNetwork { return &tcpNetwork{dialer: livedial.Dialer(dialTimeout)} }

func (*tcpNetwork) Listen(addr string) (net.Listener, error) {
	return livedial.ListenConfig().Listen(context.Background(), "tcp", addr)
}

func (t *tcpNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", addr)
}

// The states of a sealConn since its last arming.
const (
	connUntouched int32 = iota // no byte of the current request was written
	connWritten                // at least one write began
	connSealed                 // no byte was written and none ever will be
)

// sealConn proves that a request was never sent.
//
// The failure: RoundTrip gives up (a cancellation, a connection that the peer
// closed while idle) while the transport's write loop may still be about to
// write the request. Claiming not-run then would let the request run twice:
// once by the late write, once by the retry. seal decides in one atomic step:
// either no write began and all later ones fail, or a write began and the
// fate is unknown.
type sealConn struct {
	net.Conn
	state atomic.Int32
}

// arm starts the account of a new request. The transport calls it (through
// httptrace.GotConn) before it hands the request to its write loop.
func (c *sealConn) arm() { c.state.Store(connUntouched) }

// seal reports whether the current request is proved not to have been sent.
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

// SealedError is what a write gets on a connection whose request was already
// declared not sent.
type SealedError struct{}

// Error implements error.
func (*SealedError) Error() string { return "connection sealed: its request was declared not sent" }
