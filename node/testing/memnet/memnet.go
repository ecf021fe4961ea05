// Package memnet is an in-memory network for tests. A Network joins hosts with
// addresses, a Host opens listeners and connections, and the Network can inject
// faults at any moment. Connections block on channels only, so that nodes run on it
// under testing/synctest in virtual time. As with a socket, a write returns once its
// bytes are buffered, so that a delay or a freeze doesn't block the writer.
package memnet

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Network joins hosts. The zero value is not usable; see New.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cuts      map[[2]string]bool
	nextPort  int
	filter    Filter
	delay     func(from, to string) time.Duration
	quotas    map[[2]string]int
	frozen    map[string]chan struct{}
}

// Filter may limit a new connection: the connection breaks once limit bytes have been
// written in both directions together. A negative limit means none.
type Filter func(from, to string) (limit int)

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		cuts:      make(map[[2]string]bool),
		quotas:    make(map[[2]string]int),
		frozen:    make(map[string]chan struct{}),
		nextPort:  1000,
	}
}

// Host is the network as seen by one host. It implements node.Network.
type Host struct {
	net  *Network
	name string
}

// Host returns the host of the given name.
func (n *Network) Host(name string) *Host { return &Host{net: n, name: name} }

// SetFilter limits connections that are opened from now on.
func (n *Network) SetFilter(f Filter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.filter = f
}

// SetDelay sets the one-way delay of each write from one host to another, also on
// open connections.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Cut breaks all connections between two hosts, and refuses connections that host
// from dials to host to, until Heal. Connections that host to dials afterwards are
// not affected.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	n.cuts[[2]string{from, to}] = true
	broken := n.between(from, to)
	n.mu.Unlock()
	for _, c := range broken {
		c.reset()
	}
}

// Heal ends a Cut.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, [2]string{from, to})
}

// Kill closes all listeners and breaks all connections of a host at once, like the
// loss of its VM.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.from == host || c.to == host {
			broken = append(broken, c)
		}
	}
	var closed []*listener
	for addr, l := range n.listeners {
		if hostOf(addr) == host {
			closed = append(closed, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closed {
		_ = l.Close()
	}
	for _, c := range broken {
		c.reset()
	}
}

func (n *Network) between(from, to string) []*conn {
	var found []*conn
	for c := range n.conns {
		if c.from == from && c.to == to {
			found = append(found, c)
		}
	}
	return found
}

func hostOf(addr string) string {
	host, _, _ := strings.Cut(addr, ":")
	return host
}

// Listen opens a listener. Port 0 selects a free port, and the host part of addr is
// replaced by this host's name.
func (h *Host) Listen(addr string) (net.Listener, error) {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if port == "0" {
		h.net.nextPort++
		port = strconv.Itoa(h.net.nextPort)
	}
	full := h.name + ":" + port
	if _, taken := h.net.listeners[full]; taken {
		return nil, &net.OpError{Op: "listen", Net: "mem", Err: &ConnError{What: "address in use"}}
	}
	l := &listener{net: h.net, addr: memAddr(full), accepted: make(chan *conn), closed: make(chan struct{})}
	h.net.listeners[full] = l
	return l, nil
}

// Dial connects to an address of the network.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := hostOf(addr)
	h.net.mu.Lock()
	l, ok := h.net.listeners[addr]
	cut := h.net.cuts[[2]string{h.name, to}]
	filter := h.net.filter
	h.net.mu.Unlock()
	if !h.net.awaitThaw(ctx.Done(), h.name, to) {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
	if !ok || cut {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: &ConnError{What: connRefused}}
	}
	limit := -1
	if filter != nil {
		limit = filter(h.name, to)
	}
	near, far := newPair(h.net, h.name, to, limit)
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	near.reset()
	return nil, &net.OpError{Op: "dial", Net: "mem", Err: &ConnError{What: connRefused}}
}

type memAddr string

// Network implements net.Addr.
func (memAddr) Network() string { return "mem" }

// String implements net.Addr.
func (a memAddr) String() string { return string(a) }

type listener struct {
	net      *Network
	addr     memAddr
	accepted chan *conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		delete(l.net.listeners, string(l.addr))
		l.net.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
