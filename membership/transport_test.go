package membership

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// loopback starts a member on its own port.
func loopback(c *qt.C, i int, seeds ...string) *Gossip {
	return loopbackAt(c, "127.0.0.1:0", i, seeds...)
}

func loopbackAt(c *qt.C, addr string, i int, seeds ...string) *Gossip {
	listener, err := net.Listen("tcp", addr)
	c.Assert(err, qt.IsNil)
	addr = listener.Addr().String()
	g, err := New(Config{
		Self:     Member{ID: NewID(), Service: fmt.Sprintf("service-%d", i%5), Addr: addr, GossipAddr: addr, Zone: "a", Region: "hu-central", Slots: 300},
		Listener: listener, MaxInbound: 64, MaxPayloadBytes: 64 << 10, MaxMessageBytes: 64 << 10,
		Seeds: func(context.Context) ([]string, error) { return seeds, nil },
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { g.Close() })
	c.Assert(g.Start(c.Context()), qt.IsNil)
	return g
}

// eventually polls, because real sockets don't run in virtual time.
func eventually(c *qt.C, ok func() bool) {
	c.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("condition not met within 10 s")
}

// A peer that hangs, sends garbage, closes the connection midway or sends without end
// must cost its caller one failed exchange, within the caller's timeout, and no more
// memory than the message limit.
func TestBadPeers(t *testing.T) {
	endless := func(conn net.Conn) {
		enc := gob.NewEncoder(conn)
		enc.Encode(&rpc.Response{ServiceMethod: rpcMethod, Seq: 0})
		enc.Encode(&Message{From: string(peerID[:]), Data: make([]byte, 1<<20)})
		io.Copy(io.Discard, conn) // closing with the request unread would reset the connection
	}
	hangUp := func(conn net.Conn) { conn.Read(make([]byte, 4)); conn.Write([]byte{40, 1}) }
	peers := map[string]struct {
		behave func(net.Conn)
		want   string
	}{
		"never answers":   {func(conn net.Conn) { io.Copy(io.Discard, conn) }, ".*deadline exceeded"},
		"answers garbage": {func(conn net.Conn) { conn.Write(bytes.Repeat([]byte("HTTP/1.1 400 "), 100)) }, "gossip call .*"},
		"closes midway":   {hangUp, "gossip call .*"},
		"sends too much":  {endless, ".*longer than 131072 bytes"},
	}
	for name, peer := range peers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() { defer conn.Close(); peer.behave(conn) }()
				}
			}()
			g := loopback(c, 0)
			ctx, cancel := context.WithTimeout(c.Context(), 200*time.Millisecond)
			defer cancel()
			_, err = g.exchange(ctx, target{addr: listener.Addr().String()}, &Message{})
			c.Assert(err, qt.ErrorMatches, peer.want)
			var failure *TransportError
			c.Assert(err, qt.ErrorAs, &failure)
			c.Assert(g.transport.(*rpcTransport).clients.Len(), qt.Equals, 0)
			c.Assert(g.Stats().BytesIn <= 2*uint64(g.cfg.maxReplyBytes()), qt.IsTrue)
		})
	}
}

// A client sends a request longer than the limit and half a request, and opens more
// connections than are allowed. Members must still be able to exchange messages.
func TestBadClients(t *testing.T) {
	c := qt.New(t)
	g := loopback(c, 0)
	client, err := rpc.Dial("tcp", g.cfg.Self.GossipAddr)
	c.Assert(err, qt.IsNil)
	c.Assert(client.Call(rpcMethod, &Message{From: "short"}, &Message{}), qt.ErrorMatches, `membership message: from "short": want 16 bytes`)
	huge := &Message{From: string(peerID[:]), Data: make([]byte, 1<<20)}
	c.Assert(client.Call(rpcMethod, huge, &Message{}), qt.IsNotNil)
	for range g.cfg.MaxInbound + 10 {
		conn, err := net.Dial("tcp", g.cfg.Self.GossipAddr)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		conn.Write([]byte{50, 1, 2})
	}
	eventually(c, func() bool { return g.Stats().InboundRefused >= 10 })
	other := loopback(c, 1)
	_, err = g.exchange(c.Context(), target{addr: other.cfg.Self.GossipAddr}, &Message{})
	c.Assert(err, qt.IsNil)
	c.Assert(other.Stats().Received, qt.Equals, uint64(1))
}

// Over real sockets, members join through one seed. One member leaves, closes and is
// replaced at the same port, and the others reach the new process although their
// connections to the old one are broken. With -measure the test logs the traffic and CPU
// time of a member.
func TestLoopbackCluster(t *testing.T) {
	c := qt.New(t)
	size, window := 12, time.Duration(0)
	if *measure {
		size, window = 60, 20*time.Second
	}
	seed := loopback(c, 0)
	members := []*Gossip{seed}
	for i := range size - 1 {
		members = append(members, loopback(c, i+1, seed.cfg.Self.GossipAddr))
	}
	all := func(count int) {
		for _, g := range members {
			eventually(c, func() bool { return len(g.Members()) == count })
		}
	}
	all(size)
	sum := func() (n uint64) {
		for _, g := range members {
			n += g.Stats().BytesIn + g.Stats().BytesOut
		}
		return n
	}
	time.Sleep(window)
	before, cpu := sum(), cpuTime()
	time.Sleep(window)
	if window > 0 {
		n := float64(size) * window.Seconds()
		c.Logf("%d members: %.0f B/s in+out without TCP/IP headers, %v of CPU a second, each", size, float64(sum()-before)/n, (cpuTime()-cpu)/time.Duration(n))
	}
	last := members[size-1]
	c.Assert(last.Leave(c.Context()), qt.IsNil)
	c.Assert(last.Close(), qt.IsNil)
	members = members[:size-1]
	all(size - 1)
	c.Assert(last.Start(c.Context()), qt.ErrorMatches, "membership is closed.*")
	members = append(members, loopbackAt(c, last.cfg.Self.GossipAddr, size, seed.cfg.Self.GossipAddr))
	all(size)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
