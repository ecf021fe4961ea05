package membership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// seedsFrom makes a node join through the given nodes.
func seedsFrom(nodes ...*testNode) func(*Config) {
	return func(c *Config) {
		c.Seeds = func(context.Context) ([]string, error) {
			var addrs []string
			for _, n := range nodes {
				addrs = append(addrs, n.addr)
			}
			return append(addrs, c.Self.GossipAddr), nil
		}
	}
}

// Two nodes start while no other node can be reached, and find only each other. No other
// member has ever known them, so none of them probes them. Callers of the one node were
// routed only to the other until the two asked the seeds again, five minutes after they
// had found each other.
func TestSmallGroupFindsTheRest(t *testing.T) {
	trials := 1
	if *measure {
		trials = 20
	}
	for i := range trials {
		testSmallGroup(t, 7*time.Minute+time.Duration(i)*777*time.Millisecond)
	}
}

func testSmallGroup(t *testing.T, apartFor time.Duration) {
	cluster(t, 20, func(w *network) {
		apart := map[*testNode]bool{}
		w.block(func(from, to *testNode) bool { return apart[from] != apart[to] })
		first := w.add(20, seedsFrom(w.nodes[0], w.nodes[1], w.nodes[2]))
		second := w.add(21, seedsFrom(first, w.nodes[3]))
		w.mu.Lock()
		apart[first], apart[second] = true, true
		w.mu.Unlock()
		w.c.Assert(first.Start(w.ctx), qt.IsNil)
		w.c.Assert(second.Start(w.ctx), qt.IsNil)
		time.Sleep(apartFor)
		w.c.Assert([]int{first.countState(Alive), second.countState(Alive)}, qt.DeepEquals, []int{2, 2})
		w.block(nil)
		took := w.within(15*time.Second, func(n *testNode) bool { return n.countState(Alive) == 22 })
		w.c.Logf("found by all %v after the link was back", took)
	})
}

// A partitioned group is restarted in place. A member that probes the dead incarnations
// gets an answer from a process that it doesn't know and that doesn't know it. The two
// sides must merge this way even if the platform and all seeds are unavailable.
func TestUnknownProcessesAtOldAddressesAreSynced(t *testing.T) {
	cluster(t, 20, func(w *network) {
		apart := map[string]bool{w.nodes[18].addr: true, w.nodes[19].addr: true}
		w.block(func(from, to *testNode) bool { return apart[from.addr] != apart[to.addr] })
		w.within(20*time.Second, func(n *testNode) bool { return n.countState(Dead) >= 2 })
		w.nodes[18].crash()
		w.nodes[19].crash()
		w.start(18, seedsFrom())
		w.start(19, seedsFrom(w.nodes[18]))
		time.Sleep(2 * time.Minute)
		w.block(nil)
		took := w.within(15*time.Second, func(n *testNode) bool { return n.countState(Alive) == 20 })
		w.c.Logf("merged %v after the link was back", took)
	})
}

// A fleet at rest requests seeds, and so queries the platform, no more often than once in
// five minutes per node. A node that has lost the other members requests them soon.
func TestSeedRequestsAreBounded(t *testing.T) {
	for _, size := range measuredSizes() {
		cluster(t, size, func(w *network) {
			asks := func() uint64 { return w.sum(func(s Stats) uint64 { return s.SeedCalls }) }
			time.Sleep(10 * time.Minute)
			before := asks()
			time.Sleep(10 * time.Minute)
			rate := float64(asks()-before) / (10 * time.Minute).Seconds()
			w.c.Logf("size %d: %.2f seed requests a second", size, rate)
			w.c.Assert(rate < 1.25*float64(size)/300, qt.IsTrue)
			w.block(func(from, to *testNode) bool { return from == w.nodes[5] || to == w.nodes[5] })
			w.within(20*time.Minute, func(n *testNode) bool { return n != w.nodes[5] || n.countState(Alive) == 1 })
			before = w.nodes[5].Stats().SeedCalls
			time.Sleep(15 * time.Second)
			w.c.Assert(w.nodes[5].Stats().SeedCalls > before, qt.IsTrue)
		})
	}
}
