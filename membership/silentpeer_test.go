package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// answering is a transport on which no peer answers.
type answering struct {
	mu    sync.Mutex
	pulls []time.Time
	ends  []time.Time
}

func (a *answering) Exchange(ctx context.Context, _ string, m *Message) (*Message, error) {
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

func (a *answering) Close() error { return nil }

// A peer shows a version and its answers don't come (it froze, or its link is
// cut one way). The version comes from the platform meanwhile. The time that transfers
// from that peer were given must not be kept for the next version, or this member
// waits for many seconds on a peer that is silent.
func TestTimeOfATransferIsShortAgainOnceUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		config := &testConfig{}
		link := &answering{}
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

// A transfer from one peer hangs, and has more time since the one before was cut off.
// Another peer shows the version too. It must be asked before that time is up, which
// is longer than a version may take to be in force.
func TestSilentPeerDoesNotHoldTheVersionBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		link := &answering{}
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
		time.Sleep(1200 * time.Millisecond) // 2.5 s since the news
		g.fetch(good, 5)
		synctest.Wait()
		c.Check(link.pulls, qt.HasLen, 3)
		cancel()
		synctest.Wait()
	})
}
