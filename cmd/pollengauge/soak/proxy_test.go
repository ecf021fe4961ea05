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

// proxy stands on one kind of link and lets it fail.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
	delay time.Duration
	// held has the directions that carry nothing for now. As with a cut cable,
	// bytes wait for its end.
	held [directions]bool
	// changed is closed when held does.
	changed chan struct{}
	closed  bool
}

// link is one connection through a proxy.
type link struct {
	client, server *net.TCPConn
	// silent links lose all further bytes for good, without a reset.
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

// pump copies one direction to its end.
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

// pass waits until bytes may go on, and reports whether the proxy still stands.
func (p *proxy) pass(direction int) bool {
	for {
		p.mu.Lock()
		held, delay, changed, closed := p.held[direction], p.delay, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// change alters the proxy and wakes what waits in it.
func (p *proxy) change(alter func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alter()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) hold(toServerHeld, toClientHeld bool) {
	p.change(func() { p.held = [directions]bool{toServerHeld, toClientHeld} })
}

func (p *proxy) slow(delay time.Duration) { p.change(func() { p.delay = delay }) }

// silence loses whatever the present connections still send.
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

// The proxy itself must do what it is told, or the soak would play calm days:
// bytes pass, wait through a cut and then arrive, and are lost in silence.
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
	say := func(text string) {
		_, err := io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
	}
	hear := func(want string) {
		buf := make([]byte, len(want))
		_, err := io.ReadFull(conn, buf)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buf), qt.Equals, want)
	}
	say("one")
	hear("one")
	p.hold(true, false)
	say("two")
	p.hold(false, false)
	hear("two")
	p.silence()
	say("three")
	p.resetAll()
	_, err = io.ReadAll(conn)
	c.Check(err, qt.IsNotNil)
}
