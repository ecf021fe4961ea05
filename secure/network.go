package secure

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// Network opens listeners and connections.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// handshakeTimeout bounds a handshake, so that a peer or an unknown process that stops
// responding during it can't block a connection or a dial.
const handshakeTimeout = 5 * time.Second

// confirmationByte is the byte with which the accepting side confirms that it accepts
// the dialling side as a peer.
//
// In TLS 1.3 the dialling side completes its handshake before the other side has
// verified its certificate. If the dialling side sent a call at once and the peer then
// rejected the certificate, the connection would break after the first byte. The fate of
// the call would be unknown, and an unrepeatable call that certainly did not run could
// not be retried on another node. Waiting for this byte turns the rejection into a
// failed dial.
const confirmationByte = 1

// Wrap returns a network that runs mutual TLS over the connections of inner, with the
// certificate and authorities of source.
func Wrap(inner Network, source *Source) Network {
	return &network{inner: inner, source: source}
}

type network struct {
	inner  Network
	source *Source
}

// Listen implements Network.
func (n *network) Listen(addr string) (net.Listener, error) {
	l, err := n.inner.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, source: n.source}, nil
}

// Dial implements Network. It returns when the peer has confirmed this side's
// certificate.
func (n *network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	inner, err := n.inner.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(inner, n.source.clientConfig())
	if err := authenticateClient(ctx, conn); err != nil {
		_ = inner.Close()
		return nil, &PeerError{Remote: addr, Cause: err}
	}
	return conn, nil
}

// authenticateClient performs the handshake of the dialling side and waits for the
// peer's confirmation. When ctx ends, the connection is closed and the wait ends.
func authenticateClient(ctx context.Context, conn *tls.Conn) error {
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.NetConn().Close() })
	var answer [1]byte
	_, err := conn.Read(answer[:])
	if !stop() {
		return &ConfirmError{Cause: ctx.Err()}
	}
	if err != nil || answer[0] != confirmationByte {
		return &ConfirmError{Cause: err}
	}
	return nil
}

type listener struct {
	net.Listener
	source *Source
}

// Accept implements net.Listener. It does not wait for the handshake; otherwise one
// client that doesn't respond would block all others.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: tls.Server(inner, l.source.serverConfig()), source: l.source}, nil
}

// serverConn is an accepted connection that authenticates its peer at the first read or
// write.
type serverConn struct {
	*tls.Conn
	source *Source
	once   sync.Once
	err    error
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	if err := c.authenticate(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) {
	if err := c.authenticate(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// authenticate performs the handshake and confirms the peer's certificate at the first
// call. It returns the same result at every call.
func (c *serverConn) authenticate() error {
	c.once.Do(func() {
		c.err = c.handshake()
		if c.err == nil {
			return
		}
		c.err = &PeerError{Remote: c.RemoteAddr().String(), Cause: c.err}
		_ = c.NetConn().Close()
		if c.source.cfg.Notify.PeerRefused != nil {
			c.source.cfg.Notify.PeerRefused(c.err)
		}
	})
	return c.err
}

func (c *serverConn) handshake() error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := c.HandshakeContext(ctx); err != nil {
		return err
	}
	// When ctx ends, the connection is closed and the write ends.
	stop := context.AfterFunc(ctx, func() { _ = c.NetConn().Close() })
	defer stop()
	_, err := c.Conn.Write([]byte{confirmationByte})
	return err
}
