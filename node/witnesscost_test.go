package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/standin"
)

// Measures that a note costs a call exactly one round trip to the witness. Time is
// virtual and includes network delays, so the figure is exact.
func TestWitnessCostsOneRoundTrip(t *testing.T) {
	for _, oneWay := range []time.Duration{500 * time.Microsecond, time.Millisecond} {
		took := make(map[string]time.Duration)
		for _, record := range []string{"none", "peer"} {
			inFleet(t, func(f *fleet) {
				f.apply(strings.Replace(witnessedProfiles, "peer", record, 1))
				a := f.add("a", "filing", 10, answerOK, inZone("zone-a"))
				f.add("b", "portal", 10, answerOK, inZone("zone-b"))
				f.settle()
				f.net.SetDelay(func(from, to string) time.Duration {
					if from != to && from != "client" && to != "client" {
						return oneWay
					}
					return 0
				})
				f.ask(a, http.MethodPost, "/file", "X-Operation", "connects")
				start := time.Now()
				const calls = 100
				for range calls {
					f.c.Check(f.ask(a, http.MethodPost, "/file", "X-Operation", "op").outcome, qt.Equals, "complete")
				}
				took[record] = time.Since(start) / calls
			})
		}
		t.Logf("one way %s: a call takes %s without and %s with a witness", oneWay, took["none"], took["peer"])
		qt.Check(t, took["peer"]-took["none"], qt.Equals, 2*oneWay)
	}
}

// countedNetwork counts the bytes on connections to one address.
type countedNetwork struct {
	Network
	to    func() string
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (n *countedNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, addr)
	if err != nil || addr != n.to() {
		return conn, err
	}
	return &countedConn{Conn: conn, bytes: &n.bytes}, nil
}

func (c *countedConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	c.bytes.Add(int64(count))
	return count, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	count, err := c.Conn.Write(p)
	c.bytes.Add(int64(count))
	return count, err
}

// BenchmarkWitness measures sequential filings over loopback, without and with a
// witness, and the bytes that the node and its witness exchange per filing.
func BenchmarkWitness(b *testing.B) {
	for _, record := range []string{"none", "peer"} {
		b.Run(record, func(b *testing.B) {
			c := qt.New(b)
			store := standin.NewMemory()
			set, err := config.Parse([]byte(strings.Replace(witnessedProfiles, "peer", record, 1)), config.YAML)
			c.Assert(err, qt.IsNil)
			_, err = config.Apply(b.Context(), store, set, config.ApplyOptions{Author: "test"})
			c.Assert(err, qt.IsNil)
			start := func(service string, adjust func(*Settings)) *Node {
				settings := DefaultSettings()
				settings.Service = service
				settings.Store = store
				settings.GossipInterval = 50 * time.Millisecond
				adjust(&settings)
				n, err := New(settings)
				c.Assert(err, qt.IsNil)
				c.Assert(n.Start(b.Context()), qt.IsNil)
				b.Cleanup(n.Close)
				return n
			}
			witness := start("portal", func(*Settings) {})
			network := &countedNetwork{Network: witness.network, to: func() string { return witness.Addr(PeerListener) }}
			owner := start("filing", func(s *Settings) {
				s.Peers = []string{witness.Addr("gossip")}
				s.Network = network
			})
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
			b.Cleanup(upstream.Close)
			c.Assert(owner.Announce(Announcement{Service: "filing", Addr: upstream.Listener.Addr().String(), Slots: 10}), qt.IsNil)
			for len(owner.gossip.Members()) < 2 || owner.config.Status().Version == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(2 * joinTime)
			network.bytes.Store(0)
			for b.Loop() {
				resp, err := http.Post("http://"+owner.Addr(EdgeListener)+"/file", "text/plain", strings.NewReader("x"))
				c.Assert(err, qt.IsNil)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			}
			b.ReportMetric(float64(network.bytes.Load())/float64(b.N), "witness-B/op")
		})
	}
}
