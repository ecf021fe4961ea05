package secure_test

import (
	"context"
	"io"
	"io/fs"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/secure"
	"pollengauge.dev/secure/securetest"
)

// pipeNetwork is an in-memory network with one listener.
type pipeNetwork struct{ accept chan net.Conn }

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{accept: make(chan net.Conn, 16)} }

func (p *pipeNetwork) Listen(string) (net.Listener, error) { return p, nil }
func (p *pipeNetwork) Accept() (net.Conn, error) {
	conn, ok := <-p.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (*pipeNetwork) Close() error   { return nil }
func (*pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }
func (p *pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.accept <- far
	return near, nil
}

// files is an in-memory directory whose files a test can change.
type files struct {
	mu   sync.Mutex
	data map[string]string
}

func (f *files) set(cert, key, ca string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = map[string]string{"cert": cert, "key": key, "ca": ca}
}

func (f *files) read(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, ok := f.data[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return []byte(text), nil
}

// process is one process: its files, its source and the notifications that it received.
type process struct {
	*secure.Source
	files         *files
	mu            sync.Mutex
	changed       int
	refused       []error
	rejectedPeers []error
}

func newProcess(c *qt.C, leaf securetest.Leaf, ca, name string) *process {
	s := &process{files: &files{}}
	s.files.set(leaf.Cert, leaf.Key, ca)
	record := func(list *[]error) func(error) {
		return func(err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			*list = append(*list, err)
		}
	}
	source, err := secure.NewSource(secure.Config{
		Cert: "cert", Key: "key", CA: "ca", Name: name, ReadFile: s.files.read,
		Notify: secure.Notify{Changed: func(secure.Info) { s.changed++ }, Refused: record(&s.refused), PeerRefused: record(&s.rejectedPeers)},
	})
	c.Assert(err, qt.IsNil)
	s.Source = source
	return s
}

// exchangeByte dials from one side to the other, sends one byte and reads it back.
func exchangeByte(from, to *process) error {
	inner := newPipeNetwork()
	l, _ := secure.Wrap(inner, to.Source).Listen("")
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		var b [1]byte
		if _, err := io.ReadFull(conn, b[:]); err == nil {
			_, _ = conn.Write(b[:])
		}
	}()
	conn, err := secure.Wrap(inner, from.Source).Dial(context.Background(), "peer")
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// An unauthorized process on the network dials the port between nodes, or responds
// instead of a node. It has no certificate, one of another authority, an expired one,
// one without the peers' name, or one for servers only. The dial must fail, so that a
// call counts as not sent, and the side that rejects the connection must report it.
func TestOnlyPeersConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ca, other := securetest.NewAuthority("ours"), securetest.NewAuthority("theirs")
		named := securetest.Options{Names: []string{"node.pollengauge"}}
		good := newProcess(c, ca.Issue("a", named), ca.PEM(), "node.pollengauge")
		again := newProcess(c, ca.Issue("b", named), ca.PEM(), "node.pollengauge")
		c.Assert(exchangeByte(good, again), qt.IsNil)
		c.Assert(exchangeByte(again, good), qt.IsNil)
		short := securetest.Options{Names: named.Names, Lifetime: time.Minute}
		unauthorized := map[string]*process{
			"other authority": newProcess(c, other.Issue("x", named), ca.PEM()+other.PEM(), ""),
			"no name":         newProcess(c, ca.Issue("x", securetest.Options{}), ca.PEM(), ""),
			"expired":         newProcess(c, ca.Issue("x", short), ca.PEM(), ""),
		}
		time.Sleep(2 * time.Minute)
		for what, x := range unauthorized {
			synctest.Wait()
			before := len(good.rejectedPeers)
			var refused *secure.PeerError
			c.Check(exchangeByte(x, good), qt.ErrorAs, &refused, qt.Commentf(what))
			c.Check(exchangeByte(good, x), qt.ErrorAs, &refused, qt.Commentf(what))
			synctest.Wait()
			c.Check(len(good.rejectedPeers), qt.Equals, before+1, qt.Commentf(what))
		}
		_, err := secure.NewSource(secure.Config{Cert: ca.Issue("x", securetest.Options{ServerOnly: true}).Cert, Key: "k", CA: ca.PEM()})
		c.Check(err, qt.ErrorAs, new(*secure.MaterialError))
	})
}

// An unauthorized process connects and sends nothing, or sends plain HTTP. Accept must
// continue with the next connection, and the connection that sends nothing must be
// closed after the handshake timeout.
func TestSilentAndPlaintextClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ca := securetest.NewAuthority("ours")
		s := newProcess(c, ca.Issue("a", securetest.Options{}), ca.PEM(), "")
		inner := newPipeNetwork()
		l, _ := secure.Wrap(inner, s.Source).Listen("")
		silent, _ := inner.Dial(t.Context(), "")
		plain, _ := inner.Dial(t.Context(), "")
		for range 2 {
			conn, err := l.Accept()
			c.Assert(err, qt.IsNil)
			go func() { _, _ = conn.Read(make([]byte, 1)) }()
		}
		go func() { _, _ = io.WriteString(plain, "GET / HTTP/1.1\r\n\r\n") }()
		_, err := io.Copy(io.Discard, plain)
		c.Check(err, qt.IsNil)
		start := time.Now()
		_, err = silent.Read(make([]byte, 1))
		c.Check(err, qt.Equals, io.EOF)
		c.Check(time.Since(start) <= 5*time.Second, qt.IsTrue)
		synctest.Wait()
		c.Check(s.rejectedPeers, qt.HasLen, 2)
		// In the opposite direction, the peer accepts the connection and sends nothing.
		inner = newPipeNetwork()
		_, err = secure.Wrap(inner, s.Source).Dial(t.Context(), "peer")
		c.Check(err, qt.ErrorAs, new(*secure.PeerError))
	})
}

// Follows the key rotation that SECURITY.md describes, step by step, with processes of
// old and new keys running at the same time. They must be able to connect after each
// step, and after the last step a process with the old key must be rejected.
func TestKeyChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		old, next := securetest.NewAuthority("old"), securetest.NewAuthority("new")
		issue := func(a *securetest.Authority) securetest.Leaf { return a.Issue("n", securetest.Options{}) }
		first, second := newProcess(c, issue(old), old.PEM(), ""), newProcess(c, issue(old), old.PEM(), "")
		left := newProcess(c, issue(old), old.PEM(), "")
		go first.Run(ctx, nil)
		go second.Run(ctx, nil)
		both, oldLeaf, newLeaf := old.PEM()+next.PEM(), issue(old), issue(next)
		steps := []struct {
			leaf securetest.Leaf
			ca   string
		}{{oldLeaf, both}, {newLeaf, both}, {newLeaf, next.PEM()}}
		for i, step := range steps {
			for _, s := range []*process{first, second} {
				s.files.set(step.leaf.Cert, step.leaf.Key, step.ca)
				time.Sleep(6 * time.Second)
				synctest.Wait()
				c.Check(s.changed, qt.Equals, i+1)
				c.Check(exchangeByte(first, second), qt.IsNil, qt.Commentf("step %d", i))
				c.Check(exchangeByte(second, first), qt.IsNil, qt.Commentf("step %d", i))
			}
		}
		c.Check(exchangeByte(left, first), qt.IsNotNil)
		c.Check(exchangeByte(first, left), qt.IsNotNil)
		cancel()
		synctest.Wait()
	})
}

// The files are changed by mistake, or are read while only a part of them is changed.
// The last usable key must stay in use, the error must be reported once, and the change
// must be applied when it is complete. A signal must apply it without waiting for the
// next poll.
func TestUnusableKeyKeepsTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ca, other := securetest.NewAuthority("ours"), securetest.NewAuthority("theirs")
		a, b := ca.Issue("a", securetest.Options{}), ca.Issue("b", securetest.Options{})
		s := newProcess(c, a, ca.PEM(), "")
		wake := make(chan os.Signal)
		go s.Run(ctx, wake)
		foreign := other.Issue("x", securetest.Options{})
		expired := ca.Issue("x", securetest.Options{From: -2 * time.Hour})
		// The changes happen between two polls: a poll that reads the three files while
		// they change would correctly report the mixture too.
		time.Sleep(time.Second)
		for i, bad := range [][3]string{
			{b.Cert, a.Key, ca.PEM()}, {"", a.Key, ca.PEM()}, {a.Cert, a.Key, ca.PEM()[:200]},
			{a.Cert, a.Key, ca.PEM() + other.PEM()[:200]}, {foreign.Cert, foreign.Key, ca.PEM()},
			{expired.Cert, expired.Key, ca.PEM()}, {a.Cert, a.Key, a.Cert},
		} {
			s.files.set(bad[0], bad[1], bad[2])
			time.Sleep(20 * time.Second)
			synctest.Wait()
			c.Check(s.refused, qt.HasLen, i+1)
			c.Check(s.refused[i], qt.ErrorAs, new(*secure.MaterialError))
			c.Check(exchangeByte(s, s), qt.IsNil)
		}
		s.files.set(b.Cert, b.Key, ca.PEM())
		wake <- syscall.SIGHUP
		synctest.Wait()
		c.Check(s.changed, qt.Equals, 1)
		cancel()
	})
}

// BenchmarkDial measures a connection on loopback with one byte in each direction,
// without and with TLS.
func BenchmarkDial(b *testing.B) {
	c := qt.New(b)
	ca := securetest.NewAuthority("ours")
	s := newProcess(c, ca.Issue("a", securetest.Options{}), ca.PEM(), "")
	for name, network := range map[string]secure.Network{"plain": &tcp{}, "tls": secure.Wrap(&tcp{}, s.Source)} {
		b.Run(name, func(b *testing.B) {
			l, err := network.Listen("127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(conn, conn) }()
				}
			}()
			for b.Loop() {
				conn, err := network.Dial(b.Context(), l.Addr().String())
				c.Assert(err, qt.IsNil)
				_, err = conn.Write([]byte{7})
				c.Assert(err, qt.IsNil)
				_, err = io.ReadFull(conn, make([]byte, 1))
				c.Assert(err, qt.IsNil)
				_ = conn.Close()
			}
		})
	}
}
