package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two members are each other's only peers after a network partition in which each
// declared the other dead. Each has refuted its own death, which it received from members
// that are gone. When the link is back, each sends the other only claims that the other
// has refuted before, so neither receives anything new. Callers of the one must
// nevertheless be routed to the other again.
func TestOutdatedClaimsDontKeepMembersApart(t *testing.T) {
	cluster(t, 2, func(w *network) {
		w.block(func(from, to *testNode) bool { return true })
		w.within(20*time.Second, func(n *testNode) bool { return n.countState(Dead) == 1 })
		for _, n := range w.nodes {
			own := n.Self()
			n.Gossip.mu.Lock()
			n.cfg.Seeds = nil
			e := Entry{ID: string(n.table.self.id[:]), State: Dead, Seq: own.Seq + 3}
			n.applyAll([]Entry{e}, true, n.cfg.Clock())
			n.rumors = newRumors() // already sent to the members that are gone
			n.Gossip.unlockAndPublish()
		}
		w.block(nil)
		took := w.within(15*time.Second, func(n *testNode) bool { return n.countState(Alive) == 2 })
		w.c.Logf("merged %v after the link was back", took)
	})
}

// One member believes another dead because of an outdated claim, while the other believes
// it alive and keeps probing it. The first answer must be corrected at once, not when the
// member with the outdated claim next probes dead members.
func TestOutdatedClaimInAnAnswerIsCorrected(t *testing.T) {
	cluster(t, 2, func(w *network) {
		wrong, other := w.nodes[0], w.nodes[1]
		wrong.Gossip.mu.Lock()
		wrong.table.markDead(other.table.self.id, time.Now())
		wrong.due.heal = time.Now().Add(time.Hour)
		wrong.due.sync = time.Now().Add(time.Hour)
		wrong.cfg.Seeds = nil
		wrong.unlockAndPublish()
		other.Gossip.mu.Lock()
		other.table.setSeq(other.table.self, other.table.self.m.Seq+4)
		other.due.sync = time.Now().Add(time.Hour)
		other.unlockAndPublish()
		took := w.within(3*time.Second, func(n *testNode) bool { return n.countState(Alive) == 2 })
		w.c.Logf("corrected after %v", took)
		w.c.Assert(wrong.Stats().Dead, qt.Equals, 0)
	})
}
