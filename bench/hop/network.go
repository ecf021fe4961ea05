package hop

import (
	"context"
	"net"
	"slices"
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
	// writesAt counts the writes on connections to each listener, by its address.
	writesAt map[string]*atomic.Int64
}

func newNetwork() *network {
	return &network{open: make(map[string][]net.Conn), writesAt: make(map[string]*atomic.Int64)}
}

// counterOf returns the counter of writes on connections to the listener at addr.
func (n *network) counterOf(addr string) *atomic.Int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.writesAt[addr] == nil {
		n.writesAt[addr] = new(atomic.Int64)
	}
	return n.writesAt[addr]
}

// writesExcept returns the writes on connections to all listeners but those at the addresses.
// Each write belongs to one listener, so that the writes of the others change nothing.
func (n *network) writesExcept(addrs ...string) (writes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, counter := range n.writesAt {
		if !slices.Contains(addrs, addr) {
			writes += counter.Load()
		}
	}
	return writes
}

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
	counting := &countingConn{Conn: conn, network: n, writes: n.counterOf(addr)}
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
	return &countingConn{Conn: conn, network: l.network, writes: l.network.counterOf(l.Addr().String())}, nil
}

// countingConn counts writes, each of which is one system call.
type countingConn struct {
	net.Conn
	network *network
	// writes is the counter of the listener that the connection belongs to.
	writes *atomic.Int64
}

func (c *countingConn) count() {
	c.network.writes.Add(1)
	c.writes.Add(1)
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.count()
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	return &countingRawConn{RawConn: raw, conn: c}, nil
}

// countingRawConn counts the writes that are made without the methods of the connection.
type countingRawConn struct {
	syscall.RawConn
	conn *countingConn
}

// Write implements syscall.RawConn.
func (c *countingRawConn) Write(f func(fd uintptr) bool) error {
	c.conn.count()
	return c.RawConn.Write(f)
}
