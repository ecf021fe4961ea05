package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The directions of a link.
const (
	toServer = iota
	toClient
	directions
)

// proxy forwards the connections of one kind of link and injects faults on them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
	delay time.Duration
	// blocked marks the directions that carry no bytes. As with an unplugged cable,
	// bytes are not lost but wait until the direction is unblocked.
	blocked [directions]bool
	// changed is closed and replaced at each change of blocked, delay or closed.
	changed chan struct{}
	closed  bool
}

// link is one connection through a proxy.
type link struct {
	client, server *net.TCPConn
	// silent marks directions that drop all further bytes without a reset.
	silent [directions]atomic.Bool
}

func newProxy(addr, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: make(map[*link]struct{}), changed: make(chan struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn.(*net.TCPConn))
	}
}

func (p *proxy) join(client *net.TCPConn) {
	if !p.pass(toServer) {
		reset(client)
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	l := &link{client: client, server: conn.(*net.TCPConn)}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(l, toServer, l.server, l.client) })
	pumps.Go(func() { p.pump(l, toClient, l.client, l.server) })
	pumps.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = l.client.Close()
	_ = l.server.Close()
}

// pump copies one direction of a link until it ends or fails.
func (p *proxy) pump(l *link, direction int, to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if l.silent[direction].Load() {
			if err != nil {
				return
			}
			continue
		}
		if !p.pass(direction) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// pass waits until the direction is not blocked and for the delay. It reports whether
// the proxy is still open.
func (p *proxy) pass(direction int) bool {
	for {
		p.mu.Lock()
		blocked, delay, changed, closed := p.blocked[direction], p.delay, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !blocked {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// change alters the proxy's state and wakes the goroutines that wait in pass.
func (p *proxy) change(alter func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alter()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) block(toServerHeld, toClientHeld bool) {
	p.change(func() { p.blocked = [directions]bool{toServerHeld, toClientHeld} })
}

func (p *proxy) slow(delay time.Duration) { p.change(func() { p.delay = delay }) }

// silence makes the present connections drop all further bytes.
func (p *proxy) silence() {
	p.each(func(l *link) {
		l.silent[toServer].Store(true)
		l.silent[toClient].Store(true)
	})
}

// resetAll resets the present connections.
func (p *proxy) resetAll() {
	p.each(func(l *link) {
		reset(l.client)
		reset(l.server)
	})
}

func (p *proxy) each(do func(l *link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		do(l)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.change(func() { p.closed = true })
	p.resetAll()
}

// reset closes a connection so that its other end sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// If the proxy did not inject its faults, the soak would test a healthy network. Bytes
// must pass, must wait while a direction is blocked and arrive afterwards, and must be
// dropped by silent connections.
func TestProxyHoldsSilencesAndResets(t *testing.T) {
	c := qt.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", echo.Addr().String())
	c.Assert(err, qt.IsNil)
	defer p.close()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	write := func(text string) {
		_, err := io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
	}
	expect := func(want string) {
		buf := make([]byte, len(want))
		_, err := io.ReadFull(conn, buf)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buf), qt.Equals, want)
	}
	write("one")
	expect("one")
	p.block(true, false)
	write("two")
	p.block(false, false)
	expect("two")
	p.silence()
	write("three")
	p.resetAll()
	_, err = io.ReadAll(conn)
	c.Check(err, qt.IsNotNil)
}
