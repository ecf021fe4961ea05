package membership

import (
	"context"
	"slices"
	"time"
)

// relayCount is the number of members that are asked to probe a member that did not
// answer.
const relayCount = 3

// maxRelayedProbes bounds the concurrent probes on behalf of other members. For the
// duration of a probe, each one occupies one of the requests that its sender may have in
// progress here.
const maxRelayedProbes = 16

// probeLegs is the maximum duration of a probe in multiples of the current timeout: the
// direct probe, the wait for a late answer, and the relayed probes. A probe that took
// much longer spans a pause of this process.
const probeLegs = 2 + relayLegs

// relayLegs is the part of probeLegs for the relayed probes.
const relayLegs = 3

// probeNext prepares the probe of the next neighbour. The fixed order bounds the time
// between two probes of one member; a random order leaves gaps of two rounds. The lock is
// held.
func (g *Gossip) probeNext() func() {
	g.refreshPeers()
	if len(g.peers) == 0 {
		return nil
	}
	id := g.peers[g.probeTurn%len(g.peers)]
	g.probeTurn++
	return g.probeOf(id, Entry{})
}

// probeDoubted prepares the probe of one of the members about which claims contradict
// each other. The lock is held.
func (g *Gossip) probeDoubted() func() {
	ids := make([]memberID, 0, len(g.doubts))
	for id := range g.doubts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b memberID) int { return slices.Compare(a[:], b[:]) })
	id := ids[g.cfg.Rand.IntN(len(ids))]
	claim := g.doubts[id]
	delete(g.doubts, id)
	return g.probeOf(id, claim)
}

// probeOf prepares the probe of a member. The probe carries the claim against the member,
// so that the member can refute it. The lock is held.
func (g *Gossip) probeOf(id memberID, claim Entry) func() {
	row := g.table.rows[id]
	if row == nil || row == g.table.self || (row.m.State == Left && claim.Seq <= row.m.Seq) {
		return nil
	}
	peer := target{id: id, addr: row.m.GossipAddr, seq: row.m.Seq, state: row.m.State}
	pauses := g.pauses
	var claims []Entry
	switch {
	case row.m.State != Alive:
		claims = []Entry{stateEntry(id, &row.m)}
	case claim.State == Dead:
		claims = []Entry{claim}
	}
	return func() { g.probe(peer, claims, pauses) }
}

// probe pings a member directly, and then through other members, so that a network fault
// between two members doesn't make either of them suspect.
func (g *Gossip) probe(peer target, claims []Entry, pauses int) {
	g.stats.probes.Add(1)
	wait, begin := g.timeouts().wait, g.cfg.Clock()
	latest := begin.Add(probeLegs*wait + g.cfg.Interval)
	reply, err := g.ping(g.ctx, wait, peer, claims)
	if err == nil {
		if rawID(reply.From) != peer.id {
			g.onReplaced(peer, reply)
		}
		return
	}
	g.stats.probesFailed.Add(1)
	if g.ctx.Err() != nil || peer.state.gone() || g.probeIndirectly(peer, wait, claims) {
		return
	}
	claimedDead := len(claims) > 0 && claims[0].State == Dead
	if now := g.cfg.Clock(); now.Before(latest) {
		g.onUnreachable(peer, claimedDead, pauses, begin, now)
	}
}

// ping sends a direct probe with the given claims and the rumors that fit.
func (g *Gossip) ping(ctx context.Context, wait time.Duration, peer target, claims []Entry) (*Message, error) {
	m := &Message{Target: string(peer.id[:]), Entries: claims}
	g.mu.Lock()
	m.Entries = append(m.Entries, g.rumorsFor(peer.id, g.cfg.RumorBytes/4)...)
	g.mu.Unlock()
	return g.exchangeWithin(ctx, wait, peer, m)
}

// probeIndirectly asks some neighbours to probe peer, and probes it directly once more: a
// single lost message must not cause a suspicion, which would be sent to all members. It
// reports whether peer answered.
func (g *Gossip) probeIndirectly(peer target, wait time.Duration, claims []Entry) bool {
	if wait > g.cfg.ProbeTimeout && g.answeredLate(wait, peer) {
		// If answers are late because of an overload, further requests delay them more.
		return true
	}
	ctx, cancel := context.WithTimeout(g.ctx, relayLegs*wait)
	defer cancel()
	g.mu.Lock()
	candidates := g.rumorPeers()
	if len(candidates) <= relayCount {
		candidates = g.table.living()
	}
	helpers := g.addrs(sample(g.cfg.Rand, candidates, relayCount+1))
	g.mu.Unlock()
	answers := make(chan bool, relayCount+1)
	requests := 1
	go func() {
		reply, err := g.ping(ctx, wait, peer, claims)
		answers <- err == nil && rawID(reply.From) == peer.id
	}()
	for _, helper := range helpers {
		if helper.id == peer.id || requests > relayCount {
			continue
		}
		requests++
		go func() {
			reply, err := g.exchangeWithin(ctx, relayLegs*wait, helper, &Message{Kind: KindRelay, Target: string(peer.id[:])})
			answers <- err == nil && reply.Reached
		}()
	}
	for range requests {
		if <-answers {
			return true
		}
	}
	return false
}

// answeredLate waits for a late answer of peer, and reports whether one arrived.
func (g *Gossip) answeredLate(wait time.Duration, peer target) bool {
	ctx, cancel := context.WithTimeout(g.ctx, wait)
	defer cancel()
	begin := g.cfg.Clock()
	<-ctx.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	row := g.table.rows[peer.id]
	return row != nil && row.lastAnswer.After(begin)
}

// relay pings a member on behalf of a peer. The address comes from this process's own
// table, never from the message, so that a peer can't make this process dial an arbitrary
// address. It reports whether the member answered.
func (g *Gossip) relay(ctx context.Context, id memberID) bool {
	defer g.relayedProbes.Add(-1)
	if g.relayedProbes.Add(1) > maxRelayedProbes {
		return false
	}
	g.mu.Lock()
	row := g.table.rows[id]
	if row == nil || row.m.State == Left {
		g.mu.Unlock()
		return false
	}
	peer := target{id: id, addr: row.m.GossipAddr, seq: row.m.Seq, state: row.m.State}
	wait := g.table.timeouts.wait
	g.mu.Unlock()
	reply, err := g.ping(ctx, wait, peer, nil)
	return err == nil && rawID(reply.From) == id
}

// onUnreachable marks an unreachable member as Suspect, or as Dead if another member had
// already declared it dead.
func (g *Gossip) onUnreachable(peer target, claimedDead bool, pauses int, begin, now time.Time) {
	g.mu.Lock()
	if g.pauses == pauses && g.table.suspect(peer.id, peer.seq, begin, now) {
		if claimedDead {
			g.table.markDead(peer.id, now)
		}
		g.stats.raised.Add(1)
		g.rumors.add(peer.id, true)
		g.due.expire = now
	}
	g.unlockAndPublish()
	g.wakeLoop()
}

// onReplaced marks a member dead if another incarnation answers at its address.
//
// If neither process knows the other, onReplaced also starts a sync. Without it, a group
// that was restarted while it was partitioned stayed separate: the other members probed
// the old incarnations and reached the new ones, which they didn't know, but took no
// further action.
//
// The death is not sent as a rumor: all members learn of it with the new incarnation,
// which holds the address. Members that received the death first doubted it, and each of
// 560 dialled the process that had just started.
func (g *Gossip) onReplaced(peer target, reply *Message) {
	g.mu.Lock()
	known := g.table.rows[rawID(reply.From)] != nil
	if !known && reply.Stranger {
		g.spawn(func() { g.syncWith(target{addr: peer.addr}) })
	}
	g.table.markDead(peer.id, g.cfg.Clock())
	g.unlockAndPublish()
	g.wakeLoop()
}
