package membership

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// narrowLink connects members in memory with a bandwidth of rate bytes a second.
type narrowLink struct {
	rate      int
	listeners map[string]*narrowListener
	// bytesCarried counts the bytes of all connections; mu guards it.
	mu           sync.Mutex
	bytesCarried int
}

type narrowListener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

type narrowAddr string

func (narrowAddr) Network() string  { return "narrow" }
func (a narrowAddr) String() string { return string(a) }

// Accept implements net.Listener.
func (l *narrowListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *narrowListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *narrowListener) Addr() net.Addr { return narrowAddr(l.addr) }

func (n *narrowLink) listen(addr string) *narrowListener {
	l := &narrowListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (n *narrowLink) dial(ctx context.Context, addr string) (net.Conn, error) {
	there, back := n.pipe(), n.pipe()
	l := n.listeners[addr]
	select {
	case l.conns <- &narrowConn{in: there, out: back}:
		return &narrowConn{in: back, out: there}, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// narrowPipe is one direction of a connection. Writes take no time, as if into a large
// buffer, and bytes arrive at the rate of the link.
type narrowPipe struct {
	link    *narrowLink
	mu      sync.Mutex
	queue   []segment
	last    time.Time
	closed  bool
	changed chan struct{}
}

type segment struct {
	data    []byte
	arrives time.Time
}

func (n *narrowLink) pipe() *narrowPipe {
	return &narrowPipe{link: n, changed: make(chan struct{}, 1)}
}

func (p *narrowPipe) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *narrowPipe) write(data []byte) (int, error) {
	const segmentBytes = 1 << 10
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	if p.closed {
		return 0, net.ErrClosed
	}
	for part := range slices.Chunk(bytes.Clone(data), segmentBytes) {
		if now := time.Now(); p.last.Before(now) {
			p.last = now
		}
		p.last = p.last.Add(time.Duration(len(part)) * time.Second / time.Duration(p.link.rate))
		p.queue = append(p.queue, segment{data: part, arrives: p.last})
	}
	return len(data), nil
}

// take returns bytes that have arrived, or the time to wait for the next ones.
func (p *narrowPipe) take(to []byte) (n int, wait time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, 0, io.EOF
	}
	if len(p.queue) == 0 {
		return 0, time.Hour, nil
	}
	head := &p.queue[0]
	if wait := time.Until(head.arrives); wait > 0 {
		return 0, wait, nil
	}
	n = copy(to, head.data)
	if head.data = head.data[n:]; len(head.data) == 0 {
		p.queue = p.queue[1:]
	}
	p.link.mu.Lock()
	p.link.bytesCarried += n
	p.link.mu.Unlock()
	return n, 0, nil
}

func (p *narrowPipe) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.notify()
}

type narrowConn struct{ in, out *narrowPipe }

// Read implements net.Conn.
func (c *narrowConn) Read(to []byte) (int, error) {
	for {
		n, wait, err := c.in.take(to)
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-c.in.changed:
		}
		timer.Stop()
	}
}

// Write implements net.Conn.
func (c *narrowConn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn.
func (c *narrowConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *narrowConn) LocalAddr() net.Addr              { return narrowAddr("near") }
func (c *narrowConn) RemoteAddr() net.Addr             { return narrowAddr("far") }
func (c *narrowConn) SetDeadline(time.Time) error      { return nil }
func (c *narrowConn) SetReadDeadline(time.Time) error  { return nil }
func (c *narrowConn) SetWriteDeadline(time.Time) error { return nil }

// member starts a member on the link.
func (n *narrowLink) member(c *qt.C, name string, config *testConfig, seeds ...string) *Gossip {
	addr := name + ":1"
	g, err := New(Config{
		Self:     Member{ID: NewID(), Service: "filing", Addr: addr, GossipAddr: addr, Zone: "a", Region: "hu-central"},
		Listener: n.listen(addr), Dial: n.dial, Delegate: config,
		Seeds: func(context.Context) ([]string, error) { return seeds, nil },
	})
	c.Assert(err, qt.IsNil)
	c.Assert(g.Start(c.Context()), qt.IsNil)
	return g
}

// routesText returns a payload that resembles the routes of an operator's configuration.
func routesText(size int) []byte {
	var text bytes.Buffer
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, `{"name":"c%d","host":"desk.example","pathPrefix":"/customer%d/","shares":[{"service":"desk","weight":1}],"profile":"read"},`, i, i)
	}
	return text.Bytes()
}

// noise returns a payload that can't be compressed.
func noise(size int) []byte {
	data := make([]byte, size)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

// A configuration has grown to 700 KB, and a member's link carries 200 KB a second. With
// a fixed timeout of a second each transfer would be cut off and restarted for ever, and
// callers of that member would get the old routes. Compressible text must arrive before
// the timeout, and a payload that takes longer must get a longer timeout after the first
// one fails.
func TestLongPayloadCrossesANarrowLink(t *testing.T) {
	const size = 700_000
	for _, tc := range []struct {
		name    string
		data    []byte
		within  time.Duration
		carried int
	}{
		{"routes", routesText(size), 2500 * time.Millisecond, size / 4},
		{"noise", noise(size), 15 * time.Second, 4 * size},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				link := &narrowLink{rate: 200_000, listeners: map[string]*narrowListener{}}
				has, lacks := &testConfig{}, &testConfig{}
				first := link.member(c, "first", has)
				second := link.member(c, "second", lacks, "first:1")
				time.Sleep(5 * time.Second)
				c.Assert(second.Members(), qt.HasLen, 2)
				has.Offer("", 7, tc.data)
				first.Broadcast()
				time.Sleep(tc.within)
				_, got := lacks.Payload()
				c.Check(bytes.Equal(got, tc.data), qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(tc.data)))
				link.mu.Lock()
				c.Check(link.bytesCarried < tc.carried, qt.IsTrue, qt.Commentf("%d bytes on the link", link.bytesCarried))
				link.mu.Unlock()
				for _, g := range []*Gossip{first, second} {
					c.Check(g.Close(), qt.IsNil)
				}
				synctest.Wait()
			})
		})
	}
}

// A member of an earlier build requests the configuration, and doesn't support compressed
// data. If it got compressed data, it would reject the version and receive it late or
// never.
func TestPayloadIsPackedOnlyForPeersThatUnpack(t *testing.T) {
	c := qt.New(t)
	link := &narrowLink{rate: 1 << 30, listeners: map[string]*narrowListener{}}
	config := &testConfig{}
	data := routesText(50_000)
	config.Offer("", 7, data)
	g := link.member(c, "first", config)
	defer func() { c.Check(g.Close(), qt.IsNil) }()
	for _, packs := range []bool{false, true} {
		reply, err := g.Handle(c.Context(), &Message{Kind: KindPull, From: string(peerID[:]), Packed: packs})
		c.Assert(err, qt.IsNil)
		c.Check(reply.Packed, qt.Equals, packs)
		c.Check(bytes.Equal(reply.Data, data), qt.Equals, !packs)
		got, err := g.payloadOf(reply)
		c.Assert(err, qt.IsNil)
		c.Check(bytes.Equal(got, data), qt.IsTrue)
	}
}

// A peer sends some kilobytes that decompress to gigabytes, or invalid data. Neither may
// fill the memory, and each must return a typed error.
func TestUnpackIsBounded(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 20
	for _, packed := range [][]byte{gzipped(make([]byte, limit+1)), []byte("nonsense"), gzipped(noise(1000))[:500]} {
		_, err := unpack(packed, limit)
		c.Check(err, qt.ErrorAs, new(*InvalidError))
	}
	data, err := unpack(gzipped(make([]byte, limit)), limit)
	c.Assert(err, qt.IsNil)
	c.Check(data, qt.HasLen, limit)
}

// slowReader is a connection whose peer needs perPart to read writeChunkBytes bytes.
type slowReader struct {
	net.Conn
	deadline time.Time
	perPart  time.Duration
}

// SetWriteDeadline implements net.Conn.
func (s *slowReader) SetWriteDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

// Write implements net.Conn.
func (s *slowReader) Write(p []byte) (int, error) {
	time.Sleep(s.perPart * time.Duration(len(p)) / writeChunkBytes)
	if time.Now().After(s.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return len(p), nil
}

// A long payload is sent slowly, but each part within the write timeout: the transfer
// must not be aborted. A peer that reads nothing for the write timeout must still be
// detected.
func TestWritesTimeOutOnlyWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := &Config{ProbeTimeout: 500 * time.Millisecond}
		write := func(perPart time.Duration) (int, error) {
			conn := newLimitedConn(&slowReader{perPart: perPart}, cfg, &stats{}, 1)
			return conn.Write(make([]byte, 100*writeChunkBytes))
		}
		n, err := write(100 * time.Millisecond)
		c.Check(err, qt.IsNil)
		c.Check(n, qt.Equals, 100*writeChunkBytes)
		_, err = write(600 * time.Millisecond)
		c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	})
}
