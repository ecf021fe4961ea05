package zonenet

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDistances(t *testing.T) {
	c := qt.New(t)
	n := New(Distances{Zone: time.Millisecond, Client: "client"})
	for _, test := range []struct {
		from, to string
		want     time.Duration
	}{
		{HostName("a", "zone-1"), HostName("b", "zone-1"), 0},
		{HostName("a", "zone-1"), HostName("b", "zone-2"), time.Millisecond},
		{"client", HostName("b", "zone-2"), 0},
		{HostName("a", "zone-1"), "client", 0},
	} {
		c.Check(n.Delay(test.from, test.to), qt.Equals, test.want, qt.Commentf("%s to %s", test.from, test.to))
	}
}

func TestConnectionsCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := New(Distances{Connect: time.Second})
		host := n.Host("a.zone-1")
		listener, err := host.Listen("x:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = listener.Close() }()
		go func() {
			for {
				if _, err := listener.Accept(); err != nil {
					return
				}
			}
		}()
		for _, test := range []struct {
			from *Host
			want time.Duration
		}{{host, 0}, {n.Host("b.zone-1"), time.Second}} {
			start := time.Now()
			conn, err := test.from.Dial(t.Context(), listener.Addr().String())
			c.Assert(err, qt.IsNil)
			c.Check(time.Since(start), qt.Equals, test.want)
			c.Check(conn.Close(), qt.IsNil)
		}
	})
}
