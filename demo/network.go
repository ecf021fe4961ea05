package demo

import (
	"context"
	"net"
	"sync"
	"time"

	"pollengauge.dev/objects"
)

// delays holds the availability zone of each address and the network delays.
type delays struct {
	// between is the one-way delay between two zones. Within a zone no delay
	// is added to that of loopback.
	between time.Duration
	// connect is the additional delay of opening a connection.
	connect time.Duration

	mu    sync.RWMutex
	zones map[string]string
}

func newDelays(between, connect time.Duration) *delays {
	return &delays{between: between, connect: connect, zones: map[string]string{}}
}

// setZone records that addr is in zone.
func (d *delays) setZone(addr, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones[addr] = zone
}

func (d *delays) oneWay(zone, addr string) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	target, known := d.zones[addr]
	if !known || target == zone {
		return 0
	}
	return d.between
}

// zoneNetwork is the network as seen from one zone. It implements
// node.Network.
type zoneNetwork struct {
	delays *delays
	zone   string
	dialer net.Dialer
}

// Listen opens a loopback listener.
func (n *zoneNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial opens a connection with the delay between this zone and that of addr.
func (n *zoneNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	objects.Pause(ctx, n.delays.connect)
	oneWay := n.delays.oneWay(n.zone, addr)
	if oneWay == 0 {
		return conn, nil
	}
	return &delayedConn{Conn: conn, oneWay: oneWay}, nil
}

// dialContext is Dial with the signature of http.Transport.DialContext.
func (n *zoneNetwork) dialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return n.Dial(ctx, addr)
}

// delayedConn adds the one-way delay to the first write of a request and to the
// first read of its answer. HTTP/1.1 has one exchange at a time on a connection,
// so sleeping in Write and Read keeps the bytes in order and needs no goroutine.
type delayedConn struct {
	net.Conn
	oneWay time.Duration

	mu      sync.Mutex
	sending bool
}

// setDirection records the direction of the next bytes and reports whether it changed.
func (c *delayedConn) setDirection(sending bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.sending != sending
	c.sending = sending
	return changed
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	if c.setDirection(true) {
		time.Sleep(c.oneWay)
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.setDirection(false) {
		time.Sleep(c.oneWay)
	}
	return n, err
}
