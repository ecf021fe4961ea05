package membership

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// processor simulates a CPU that all members of a fleet share. It runs one job at a time,
// so excess work is late.
type processor struct {
	mu    sync.Mutex
	cost  time.Duration // of a message at one side; opening a connection costs ten times as much
	jobs  []job
	ready chan struct{}
	hosts map[string]chan net.Conn
}

type job struct {
	costs int
	conn  *servedConn // the job is skipped if the connection is closed
	run   func()
}

func (p *processor) add(j job) {
	p.mu.Lock()
	p.jobs = append(p.jobs, j)
	p.mu.Unlock()
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

func (p *processor) work(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		if len(p.jobs) == 0 {
			p.mu.Unlock()
			select {
			case <-p.ready:
			case <-ctx.Done():
			}
			continue
		}
		j, cost := p.jobs[0], p.cost
		p.jobs = p.jobs[1:]
		p.mu.Unlock()
		if j.conn == nil || !j.conn.out.ended() {
			select {
			case <-time.After(time.Duration(j.costs) * cost):
				j.run()
			case <-ctx.Done():
			}
		}
	}
}

func (p *processor) setCost(cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cost = cost
}

func newProcessor(ctx context.Context, cost time.Duration) *processor {
	p := &processor{cost: cost, ready: make(chan struct{}, 1), hosts: map[string]chan net.Conn{}}
	go p.work(ctx)
	return p
}

// serve gives a member the real transport, over connections that are served by the
// processor.
func (p *processor) serve(c *Config) {
	accepted := make(chan net.Conn, 1024)
	p.hosts[c.Self.GossipAddr] = accepted
	c.Transport, c.Listener = nil, &servedListener{accepted: accepted, closed: make(chan struct{})}
	c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		opened := make(chan struct{})
		p.add(job{costs: 10, run: func() { close(opened) }})
		select {
		case <-opened:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		a, b := &inbox{ready: make(chan struct{}, 1)}, &inbox{ready: make(chan struct{}, 1)}
		p.hosts[addr] <- &servedConn{p: p, in: a, out: b}
		return &servedConn{p: p, in: b, out: a}, nil
	}
}

type servedListener struct {
	net.Listener
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *servedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *servedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// servedConn delivers written data when the processor runs the job of the write.
type servedConn struct {
	net.Conn
	p       *processor
	in, out *inbox
}

func (c *servedConn) Read(b []byte) (int, error) { return c.in.take(b) }
func (c *servedConn) Write(b []byte) (int, error) {
	data := bytes.Clone(b)
	c.p.add(job{costs: 1, conn: c, run: func() { c.out.put(data, false) }})
	return len(b), nil
}

func (c *servedConn) Close() error {
	c.in.put(nil, true)
	c.out.put(nil, true)
	return nil
}
func (c *servedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *servedConn) SetWriteDeadline(time.Time) error { return nil }

type inbox struct {
	mu    sync.Mutex
	data  []byte
	end   bool
	ready chan struct{}
}

func (i *inbox) put(b []byte, end bool) {
	i.mu.Lock()
	i.data, i.end = append(i.data, b...), i.end || end
	i.mu.Unlock()
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

func (i *inbox) ended() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.end
}

func (i *inbox) take(b []byte) (int, error) {
	for {
		i.mu.Lock()
		n := copy(b, i.data)
		i.data = i.data[n:]
		end := i.end
		i.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		if end {
			return 0, io.EOF
		}
		<-i.ready
	}
}

// Members share CPUs that are overloaded for some seconds, so all answers are late. If
// late probes are given up, repeated through other members, reported as suspicions and
// refuted, and connections are closed and redialled, this costs more than the missing
// capacity: healthy members declared each other dead long after the shortage.
func TestOverloadEndsByItself(t *testing.T) {
	const size = 40
	cluster(t, 0, func(w *network) {
		p := newProcessor(w.ctx, 800*time.Microsecond)
		for i := range size {
			w.add(i, p.serve)
		}
		for _, n := range w.nodes {
			for _, other := range w.nodes {
				e := fullEntry(other.table.self.id, &other.table.self.m)
				n.table.apply(&e, time.Now())
			}
			w.c.Assert(n.Start(w.ctx), qt.IsNil)
		}
		whole := func(n *testNode) bool { return n.countState(Alive) == size }
		w.within(20*time.Second, whole)
		time.Sleep(20 * time.Second)
		p.setCost(10 * time.Millisecond)
		time.Sleep(4 * time.Second)
		p.setCost(800 * time.Microsecond)
		deaths, refuted := w.sum(deathsOf), w.sum(func(s Stats) uint64 { return s.Refutations })
		time.Sleep(8 * time.Second)
		w.c.Logf("8 s after the shortage: %d more deaths and %d more refutations", w.sum(deathsOf)-deaths, w.sum(func(s Stats) uint64 { return s.Refutations })-refuted)
		w.within(0, whole)
		sent := w.sum(func(s Stats) uint64 { return s.Sent })
		time.Sleep(10 * time.Second)
		rate := (w.sum(func(s Stats) uint64 { return s.Sent }) - sent) / 10
		w.c.Logf("%d exchanges a second after the overload", rate)
		w.c.Assert(rate < 3*size, qt.IsTrue)
	})
}

// Several exchanges with one peer are in flight at once. The first is answered in time,
// the others late. Closing the connection for each late answer broke the other exchanges
// on it, and each of them dialled again.
func TestLateAnswersKeepTheConnection(t *testing.T) {
	cluster(t, 0, func(w *network) {
		p := newProcessor(w.ctx, 20*time.Millisecond)
		client, peer := w.add(0, p.serve), w.add(1, p.serve)
		s := newServer(peer.Gossip)
		go s.serve()
		ctx, cancel := context.WithTimeout(w.ctx, 330*time.Millisecond)
		defer cancel()
		answered := make(chan bool, 5)
		for range cap(answered) {
			go func() {
				_, err := client.exchange(ctx, target{addr: peer.addr}, &Message{})
				answered <- err == nil
			}()
		}
		count := 0
		for range cap(answered) {
			if <-answered {
				count++
			}
		}
		w.c.Assert(count > 0 && count < cap(answered), qt.IsTrue)
		time.Sleep(time.Second)
		_, err := client.exchange(w.ctx, target{addr: peer.addr}, &Message{})
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(client.Stats().Dials, qt.Equals, uint64(1))
		s.close()
		peer.cancel()
	})
}
