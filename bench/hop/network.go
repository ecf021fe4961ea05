package hop

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// network is the nodes' TCP network. It counts connections and writes, and can
// close the connections that calls travel on.
type network struct {
	dialer net.Dialer
	dials  atomic.Int64
	writes atomic.Int64

	mu sync.Mutex
	// open holds the dialed connections by address.
	open map[string][]net.Conn
}

func newNetwork() *network { return &network{open: make(map[string][]net.Conn)} }

// Listen implements node.Network.
func (n *network) Listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: listener, network: n}, nil
}

// Dial implements node.Network.
func (n *network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	n.dials.Add(1)
	counting := &countingConn{Conn: conn, network: n}
	n.mu.Lock()
	n.open[addr] = append(n.open[addr], counting)
	n.mu.Unlock()
	return counting, nil
}

// closeDialed closes the connections that were dialed to addr.
func (n *network) closeDialed(addr string) {
	n.mu.Lock()
	conns := n.open[addr]
	delete(n.open, addr)
	n.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

type countingListener struct {
	net.Listener
	network *network
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, network: l.network}, nil
}

// countingConn counts writes, each of which is one system call.
type countingConn struct {
	net.Conn
	network *network
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.network.writes.Add(1)
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	return &countingRawConn{RawConn: raw, network: c.network}, nil
}

// countingRawConn counts the writes that are made without the methods of the connection.
type countingRawConn struct {
	syscall.RawConn
	network *network
}

// Write implements syscall.RawConn.
func (c *countingRawConn) Write(f func(fd uintptr) bool) error {
	c.network.writes.Add(1)
	return c.RawConn.Write(f)
}
