package control

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/node"
)

// slowDial has something happen while a connection is dialled.
type slowDial struct {
	node.Network
	meanwhile func()
}

func (s *slowDial) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := s.Network.Dial(ctx, addr)
	s.meanwhile()
	return conn, err
}

// A zone is cut off at the moment at which a node dials across. The connection
// used to stay open through the whole cut: members went on hearing of each other,
// no side ever took the other for dead, and the measured phase ran into its limit.
func TestNoConnectionIsDialledAcrossACut(t *testing.T) {
	c := qt.New(t)
	f := newFabric(true)
	here, there := f.host(cutZone), f.host("zone-1")
	l, err := there.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
		}
	}()
	f.under = &slowDial{Network: f.under, meanwhile: func() { f.part(cutZone) }}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = here.Dial(ctx, l.Addr().String())
	c.Check(err, qt.ErrorAs, new(*net.OpError))
	c.Check(f.connections(), qt.Equals, 0)
	f.under = f.under.(*slowDial).Network
	f.part("")
	_, err = here.Dial(t.Context(), l.Addr().String())
	c.Check(err, qt.IsNil)
	c.Check(f.connections(), qt.Equals, 1)
}
