package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// silentTransport is a transport on which no peer answers. It records the start and end
// times of pulls.
type silentTransport struct {
	mu    sync.Mutex
	pulls []time.Time
	ends  []time.Time
}

func (a *silentTransport) Exchange(ctx context.Context, _ string, m *Message) (*Message, error) {
	note := func(at *[]time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if m.Kind == KindPull {
			*at = append(*at, time.Now())
		}
	}
	note(&a.pulls)
	<-ctx.Done()
	note(&a.ends)
	return nil, ctx.Err()
}

func (a *silentTransport) Close() error { return nil }

// A peer announces a version but its answers don't arrive, because it is frozen or its
// link is broken in one direction. This member gets the version from the platform
// meanwhile. The extended timeout of transfers from that peer must not apply to the next
// version, or this member would wait many seconds for a silent peer.
func TestTransferTimeoutResetsForANewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		config := &testConfig{}
		link := &silentTransport{}
		g, err := New(Config{
			Self:      Member{ID: NewID(), Service: "filing", Addr: "own:1", GossipAddr: "own:1", Zone: "a", Region: "hu-central"},
			Transport: link, Delegate: config,
		})
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		g.ctx = ctx
		peer := memberID(peerID)
		g.mu.Lock()
		g.table.rows[peer] = &record{m: Member{GossipAddr: "peer:1"}}
		g.mu.Unlock()
		for range 4 {
			g.fetch(peer, 5)
			time.Sleep(20 * time.Second)
		}
		config.Offer("platform", 5, nil)
		g.fetch(peer, 6)
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		c.Assert(link.pulls, qt.HasLen, 5)
		for i := range link.pulls {
			t.Log("transfer", i, "held for", link.ends[i].Sub(link.pulls[i]))
		}
		c.Check(link.ends[4].Sub(link.pulls[4]) <= pullTimeout, qt.IsTrue)
	})
}

// A transfer from one peer hangs, with an extended timeout because the previous transfer
// timed out. Another peer announces the version too. It must be queried before that
// timeout, which is longer than the time within which a version must be in force.
func TestSilentPeerDoesNotDelayAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		link := &silentTransport{}
		g, err := New(Config{
			Self:      Member{ID: NewID(), Service: "filing", Addr: "own:1", GossipAddr: "own:1", Zone: "a", Region: "hu-central"},
			Transport: link, Delegate: &testConfig{},
		})
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		g.ctx = ctx
		silent, good := memberID(peerID), memberID(peerID)
		good[0]++
		g.mu.Lock()
		g.table.rows[silent] = &record{m: Member{GossipAddr: "silent:1"}}
		g.table.rows[good] = &record{m: Member{GossipAddr: "good:1"}}
		g.mu.Unlock()
		g.fetch(silent, 5)
		time.Sleep(1300 * time.Millisecond)
		g.fetch(silent, 5)
		time.Sleep(1200 * time.Millisecond) // 2.5 s since the first announcement
		g.fetch(good, 5)
		synctest.Wait()
		c.Check(link.pulls, qt.HasLen, 3)
		cancel()
		synctest.Wait()
	})
}
