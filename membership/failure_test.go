package membership

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// largest is the size of today's fleet. Tests of failures that don't depend on the size
// run with fewer members, unless figures are measured.
const largest = 560

func sizeOr(size int) int {
	if *measure {
		return largest
	}
	return size
}

func (n *testNode) id() string { return n.cfg.Self.ID }

// countState returns the number of members that are in a state in the node's own view.
func (n *testNode) countState(s State) int { return n.view.Load().states[s] }

// A process is stopped for a minute and declared dead. When it resumes, it still
// considers itself a healthy member, and the others silent because it missed their
// answers. It must learn of its death, refute it under its old ID with a higher Seq, and
// not cause any other member to be suspected.
func TestPausedProcessRejoins(t *testing.T) {
	cluster(t, 40, func(w *network) {
		paused := w.nodes[9]
		seq := paused.Self().Seq
		paused.setDown(true)
		resume := paused.pause()
		w.within(10*time.Second, func(n *testNode) bool { return n.state(paused.id()) == Dead })
		time.Sleep(time.Minute)
		raised := w.sum(func(s Stats) uint64 { return s.SuspicionsRaised })
		paused.setDown(false)
		resume()
		took := w.within(4*time.Second, func(n *testNode) bool { return n.state(paused.id()) == Alive && n.countState(Alive) == 40 })
		w.c.Logf("alive everywhere %v after it resumed", took)
		w.c.Assert(paused.Self().Seq > seq, qt.IsTrue)
		time.Sleep(20 * time.Second)
		w.c.Assert(w.sum(func(s Stats) uint64 { return s.SuspicionsRaised })-raised, qt.Equals, uint64(0))
		w.c.Assert(paused.Stats().Pauses, qt.Equals, uint64(1))
	})
}

// A process restarts at its old address within a second, with a clock that went back an
// hour. The address answers, so no probe of the old incarnation fails, and the new
// incarnation looks older. All members must accept the new one.
func TestRestartReplacesTheOldIncarnation(t *testing.T) {
	cluster(t, 40, func(w *network) {
		old := w.nodes[11].id()
		w.nodes[11].crash()
		time.Sleep(time.Second)
		fresh := w.start(11, func(c *Config) {
			c.Clock = func() time.Time { return time.Now().Add(-time.Hour) }
		})
		took := w.within(4*time.Second, func(n *testNode) bool {
			return n.state(fresh.id()) == Alive && n.state(old) == Dead && n.countState(Alive) == 40
		})
		w.c.Logf("replaced everywhere after %v", took)
	})
}

// The link between two regions fails for minutes, and in the last case for so long that
// each side has forgotten the other and can find it only through the seeds. Each side
// must go on with its own half. When the link is back, neither side may lose members of
// its own half while both learn that the other side is alive, and the configuration that
// one side accepted meanwhile must reach the other, without an operator.
func TestRegionPartitionHeals(t *testing.T) {
	cuts := []time.Duration{2 * time.Minute, 31 * time.Minute}
	if *measure {
		cuts = []time.Duration{2 * time.Minute, 5 * time.Minute, 30 * time.Minute, 31 * time.Minute}
	}
	for _, cut := range cuts {
		testRegionPartition(t, sizeOr(60), cut)
	}
}

func testRegionPartition(t *testing.T, size int, cut time.Duration) {
	cluster(t, size, func(w *network) {
		w.block(func(from, to *testNode) bool { return from.region != to.region })
		m := w.metered()
		took := w.within(40*time.Second, func(n *testNode) bool { return n.countState(Alive) == size/2 && n.countState(Dead) == size/2 })
		w.c.Logf("partition sides separated after %v, %d bytes a node", took, m.perNode(size))
		w.nodes[0].config.Offer("", 5, []byte("accepted during the cut"))
		w.nodes[0].Broadcast()
		time.Sleep(cut)
		lowest := size
		m.reset()
		w.block(nil)
		took = w.within(30*time.Second, func(n *testNode) bool {
			lowest = min(lowest, len(n.Members()))
			return n.countState(Alive) == size && n.config.LocalVersion() == 5
		})
		w.c.Logf("merged %v after a partition of %v, %d bytes a node", took, cut, m.perNode(size))
		w.c.Assert(lowest >= size/2, qt.IsTrue)
	})
}

// A tenth of the members can't be reached by another tenth, in one direction only, so
// exchanges between them fail both ways. All members can reach them through others; a
// suspicion would take healthy upstreams out of service.
func TestAsymmetricReachability(t *testing.T) {
	cluster(t, 40, func(w *network) {
		before := w.sum(deathsOf)
		w.block(func(from, to *testNode) bool {
			return slices.Contains(w.nodes[0:4], from) && slices.Contains(w.nodes[4:8], to)
		})
		time.Sleep(2 * time.Minute)
		w.c.Assert(w.sum(deathsOf)-before, qt.Equals, uint64(0))
		w.within(0, func(n *testNode) bool { return n.countState(Alive) == 40 })
		w.c.Assert(w.sum(func(s Stats) uint64 { return s.ProbesFailed }) > 0, qt.IsTrue)
	})
}

// In a full fleet an upstream drains and an operator changes a profile: both must be
// known everywhere within two seconds. Then 48 VMs, more than a rack, are replaced at
// once, including seeds, and another 48 are lost for good.
func TestLargestFleet(t *testing.T) {
	cluster(t, largest, func(w *network) {
		w.metered()
		drained := w.nodes[100]
		w.c.Assert(drained.Update(func(m *Member) { m.Draining = true; m.Addr = "ignored" }), qt.IsNil)
		took := w.within(2*time.Second, func(n *testNode) bool {
			m, _, _ := n.Lookup(drained.id())
			return m.Draining && m.Addr == drained.cfg.Self.Addr
		})
		w.c.Logf("draining known everywhere after %v", took)

		w.meter.reset()
		w.nodes[200].config.Offer("", 3, make([]byte, 20_000))
		w.nodes[200].Broadcast()
		took = w.within(2*time.Second, func(n *testNode) bool { return n.config.LocalVersion() == 3 })
		w.c.Logf("20 kB of configuration everywhere after %v, %d bytes a node", took, w.meter.perNode(largest))
		w.c.Assert(w.sum(func(s Stats) uint64 { return s.Pulls }) < largest+largest/10, qt.IsTrue)

		leaver := w.nodes[300]
		w.c.Assert(leaver.Leave(context.Background()), qt.IsNil)
		leaver.crash()
		took = w.within(2*time.Second, func(n *testNode) bool { return n.state(leaver.id()) == Left })
		w.c.Logf("leaving known everywhere after %v", took)

		w.meter.reset()
		gone := map[string]bool{}
		for i := range 48 {
			gone[w.nodes[i].id()] = true
			w.nodes[i].crash()
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 48 {
			w.start(i)
		}
		took = w.within(20*time.Second, func(n *testNode) bool {
			return n.countState(Alive) == largest-1 && n.config.LocalVersion() == 3 && !gone[n.Members()[0].ID]
		})
		w.c.Logf("48 replaced everywhere after %v, %d bytes a node", took, w.meter.perNode(largest))

		w.meter.reset()
		for _, n := range w.nodes[400:448] {
			n.crash()
		}
		took = w.within(20*time.Second, func(n *testNode) bool { return n.countState(Alive) == largest-49 })
		w.c.Logf("loss of 48 known everywhere after %v, %d bytes a node", took, w.meter.perNode(largest))
	})
}

// A member receives everything, but nothing that it sends arrives, neither requests nor
// replies. The others must exclude it. It learns that it was declared dead and can't
// refute that, and must not cause healthy members to be excluded. As soon as its messages
// arrive again, it must be back.
func TestMemberThatCannotSendRejoins(t *testing.T) {
	cluster(t, 40, func(w *network) {
		mute := w.nodes[7]
		w.block(func(from, to *testNode) bool { return from == mute })
		took := w.within(30*time.Second, func(n *testNode) bool { return n == mute || n.state(mute.id()) == Dead })
		w.c.Logf("excluded everywhere after %v", took)
		time.Sleep(time.Minute)
		w.within(0, func(n *testNode) bool { return n == mute || n.countState(Alive) == 39 })
		w.block(nil)
		took = w.within(15*time.Second, func(n *testNode) bool { return n.countState(Alive) == 40 })
		w.c.Logf("back everywhere %v after its messages arrived again", took)
		w.c.Assert(mute.Stats().Refutations > 0, qt.IsTrue)
	})
}

// A VM restarts in an orderly way: its process leaves and starts again at the same
// address, while the store that contains the seeds is unavailable. Without ProbeLeft no
// other member probes a member that left, so the new process would stay alone, without
// configuration, until the store is back. With ProbeLeft the others find it within a few
// seconds.
func TestMemberThatLeftIsFoundAtItsAddress(t *testing.T) {
	cluster(t, 12, func(w *network) {
		for _, n := range w.nodes {
			n.Gossip.mu.Lock()
			n.cfg.ProbeLeft = true
			n.cfg.HealInterval = time.Second
			n.due.heal = time.Now()
			n.Gossip.mu.Unlock()
		}
		left := w.nodes[5]
		w.c.Assert(left.Leave(w.ctx), qt.IsNil)
		left.crash()
		w.within(5*time.Second, func(n *testNode) bool { return n.state(left.id()) == Left })
		fresh := w.start(5, func(c *Config) {
			c.Seeds = func(context.Context) ([]string, error) { return nil, &LeaveUnconfirmedError{} }
		})
		took := w.within(4*time.Second, func(n *testNode) bool {
			return n.state(fresh.id()) == Alive && n.countState(Alive) == 12
		})
		w.c.Logf("found by all after %v", took)
	})
}

// A process starts while no source can provide the other members' addresses. The first
// member that probes it also sends its own entry, and is therefore known to it. The
// process must request the rest of the table at once: from then on calls are routed to
// it, and the calls that its upstream makes would find no target.
func TestFirstKnownMemberIsSyncedAtOnce(t *testing.T) {
	cluster(t, 12, func(w *network) {
		fresh := w.add(12, func(c *Config) {
			c.Seeds = func(context.Context) ([]string, error) { return nil, &LeaveUnconfirmedError{} }
		})
		w.c.Assert(fresh.Start(w.ctx), qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		fresh.Gossip.mu.Lock()
		fresh.due.sync = fresh.now().Add(time.Minute)
		fresh.Gossip.mu.Unlock()
		sender := w.nodes[3]
		sender.Gossip.mu.Lock()
		entry := fullEntry(sender.table.self.id, &sender.table.self.m)
		sender.Gossip.mu.Unlock()
		_, err := fresh.Handle(w.ctx, &Message{Kind: KindPing, From: entry.ID, FromSeq: entry.Seq, Entries: []Entry{entry}})
		w.c.Assert(err, qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		w.c.Check(fresh.countState(Alive), qt.Equals, 13)
	})
}
