package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"pollengauge.dev/node"
)

// fabric is a network on which hosts can be parted: loopback TCP, or memory.
type fabric struct {
	// under is what carries the connections.
	under node.Network

	mu sync.Mutex
	// owners are the hosts by the addresses that they listen on.
	owners map[string]*host
	open   map[*link]struct{}
	// cut is the availability zone that is parted from the others, "" if none.
	cut string
}

func newFabric(inMemory bool) *fabric {
	f := &fabric{under: &tcp{}, owners: make(map[string]*host), open: make(map[*link]struct{})}
	if inMemory {
		f.under = newMemory()
	}
	return f
}

// host is one node's place on the fabric. It satisfies node.Network.
type host struct {
	fabric *fabric
	zone   string
	// lost is set when the VM is gone: nothing reaches it any more.
	lost   bool
	writes atomic.Uint64
}

func (f *fabric) host(zone string) *host { return &host{fabric: f, zone: zone} }

// tcp is the network that a node uses by itself.
type tcp struct{ dialer net.Dialer }

// Listen implements node.Network.
func (*tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements node.Network.
func (t *tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", addr)
}

// Listen implements node.Network.
func (h *host) Listen(addr string) (net.Listener, error) {
	listener, err := h.fabric.under.Listen(addr)
	if err != nil {
		return nil, err
	}
	h.fabric.mu.Lock()
	h.fabric.owners[listener.Addr().String()] = h
	h.fabric.mu.Unlock()
	return &countingListener{Listener: listener, host: h}, nil
}

// Dial implements node.Network. Towards a host that is out of reach it hangs
// until ctx ends, as when packets are lost.
func (h *host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	h.fabric.mu.Lock()
	to := h.fabric.owners[addr]
	parted := h.fabric.parted(h, to)
	h.fabric.mu.Unlock()
	if parted {
		return nil, unreachable(ctx)
	}
	conn, err := h.fabric.under.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	l := &link{countingConn: countingConn{Conn: conn, host: h}, to: to}
	if !h.fabric.add(l) {
		_ = conn.Close()
		return nil, unreachable(ctx)
	}
	return l, nil
}

// unreachable waits as a dial does whose packets are lost.
func unreachable(ctx context.Context) error {
	<-ctx.Done()
	return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
}

// parted reports whether nothing gets from one host to another. The lock is
// held. A host in another process is nil and never out of reach.
func (f *fabric) parted(a, b *host) bool {
	if b == nil {
		return a.lost
	}
	if a.lost || b.lost {
		return true
	}
	return f.cut != "" && (a.zone == f.cut) != (b.zone == f.cut)
}

// add counts a connection in, unless its ends were parted while it was dialled:
// change has not seen it, and it would carry messages across the cut to its end.
func (f *fabric) add(l *link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parted(l.host, l.to) {
		return false
	}
	f.open[l] = struct{}{}
	return true
}

// connections counts those between nodes that are open.
func (f *fabric) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// part cuts a zone off from the others; "" heals.
func (f *fabric) part(zone string) { f.change(func() { f.cut = zone }) }

// lose takes a host off the fabric for good.
func (f *fabric) lose(h *host) { f.change(func() { h.lost = true }) }

// change closes the connections that lead nowhere after it. On a real network
// they would stay open and be silent; the members' timeouts treat both alike.
func (f *fabric) change(apply func()) {
	f.mu.Lock()
	apply()
	var broken []*link
	for l := range f.open {
		if f.parted(l.host, l.to) {
			broken = append(broken, l)
		}
	}
	f.mu.Unlock()
	for _, l := range broken {
		_ = l.Close()
	}
}

// link is a connection from one host to another.
type link struct {
	countingConn
	to *host
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.host.fabric.mu.Lock()
	delete(l.host.fabric.open, l)
	l.host.fabric.mu.Unlock()
	return l.Conn.Close()
}

type countingListener struct {
	net.Listener
	host *host
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, host: l.host}, nil
}

// countingConn counts writes, each of which is at least one segment.
type countingConn struct {
	net.Conn
	host *host
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.host.writes.Add(1)
	return c.Conn.Write(p)
}
