package membership

import (
	"time"
)

// syncNext compares tables with a random living member, or with one that was
// seen to know far more. The lock is held.
func (g *Gossip) syncNext() func() {
	picked := g.addrs([]memberID{g.ahead})
	g.ahead = memberID{}
	if len(picked) == 0 {
		picked = g.addrs(sample(g.cfg.Rand, g.syncPeers(), 1))
	}
	if len(picked) == 0 {
		return nil
	}
	return func() {
		if !g.syncWith(picked[0]) {
			g.syncSoon()
		}
	}
}

// syncAcross is how many syncs there are for each that may leave the availability
// zone. What one member of a zone learns elsewhere the others learn from it.
const syncAcross = 4

// syncPeers are those to compare tables with. The lock is held.
func (g *Gossip) syncPeers() []memberID {
	if near := g.table.livingInZone(); len(near) > 0 && g.cfg.Rand.IntN(syncAcross) > 0 {
		return near
	}
	return g.table.living()
}

// heal tries a random dead member, so that two halves of a network that took
// each other for dead find together again. If it answers, both sides learn
// from the exchange that they were taken for dead, and refute. Those whose
// address another member has taken over are not tried: with one of them in 560
// tables its successor was dialled 56 times a second. The lock is held.
func (g *Gossip) heal() func() {
	var dead []memberID
	for _, row := range g.table.order {
		_, replaced := g.table.holder[row.m.GossipAddr]
		tried := row.m.State == Dead || row.m.State == Left && g.cfg.TryLeft
		if tried && !replaced {
			dead = append(dead, row.id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	id := dead[g.cfg.Rand.IntN(len(dead))]
	// The claim has one that left probed as well: what is looked for is who has
	// its address now.
	return g.probeOf(id, Entry{Seq: g.table.rows[id].m.Seq + 1})
}

// syncWith compares tables with a peer and exchanges what differs: a little
// at a time, because what one sync leaves the next ones take up, but
// everything if the peer knows far more members. While there are differences
// the next sync comes sooner. It returns whether the peer answered.
func (g *Gossip) syncWith(peer target) (answered bool) {
	reply, err := g.syncBothWays(peer)
	if err != nil {
		return false
	}
	if g.settled(reply) {
		return true
	}
	if g.lags(reply.Size) && !g.joining.Swap(true) {
		g.joinThrough(peer, reply)
		g.joining.Store(false)
	}
	g.syncSoon()
	return true
}

// syncBothWays makes one comparison and tells the peer what it lacks.
func (g *Gossip) syncBothWays(peer target) (*Message, error) {
	reply, err := g.syncOnce(peer, nil)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	lacks := g.missingFrom(reply)
	g.mu.Unlock()
	if len(lacks) > 0 {
		_, err = g.syncOnce(peer, lacks)
	}
	return reply, err
}

// isNews reports whether the claims of a message are to be passed on.
//
// The failure: a process that joined took each member that a sync told it of
// for news, and told its neighbours, who had known them all for long. 48 that
// joined at once cost every member of 560 more than a hundred kilobytes, and
// those that joined a megabyte each. Where a sync brings much, others miss as
// much and find it by their own syncs.
func isNews(kind Kind, entries []Entry) bool {
	return kind != KindSync || len(entries) <= maxDescribed
}

// syncSoon plans the next sync while there are differences.
func (g *Gossip) syncSoon() {
	g.mu.Lock()
	g.due.sync = g.cfg.Clock().Add(g.jitter(2 * g.cfg.Interval))
	g.mu.Unlock()
	g.wakeLoop()
}

// syncOnce makes one exchange.
func (g *Gossip) syncOnce(peer target, entries []Entry) (*Message, error) {
	m := &Message{Kind: KindSync, Entries: entries}
	if len(entries) == 0 {
		g.mu.Lock()
		m.Buckets, m.Size = g.table.buckets(), uint32(g.table.alive)
		g.mu.Unlock()
	}
	return g.ask(g.ctx, 2*g.patience().wait, peer, m)
}

// settled reports whether the reply left no difference.
func (g *Gossip) settled(reply *Message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, differs := g.table.differing(reply.Buckets)
	return !differs
}

// answerSync adds the rows of differing buckets, whole buckets at a time, as
// far as they fit. The lock is held.
func (g *Gossip) answerSync(reply, request *Message) {
	reply.Buckets, reply.Size = g.table.buckets(), uint32(g.table.alive)
	set, differs := g.table.differing(request.Buckets)
	if !differs {
		return
	}
	if g.table.alive+maxDescribed < int(request.Size) && g.ahead == (memberID{}) {
		// Those that join together know each other best. The one who asks can
		// tell this process of the rest.
		g.ahead = rawID(request.From)
		g.due.sync = time.Time{}
	}
	reply.Entries = append(reply.Entries, g.rowsOf(set, 2*g.cfg.RumorBytes)...)
}

// rowsOf returns the claims of some buckets. The lock is held.
func (g *Gossip) rowsOf(set [bucketCount]bool, room int) []Entry {
	var byBucket [bucketCount][]Entry
	for id, row := range g.table.rows {
		b := bucketOf(id)
		if !set[b] {
			continue
		}
		if row.m.State.gone() {
			byBucket[b] = append(byBucket[b], stateEntry(id, &row.m))
		} else {
			byBucket[b] = append(byBucket[b], fullEntry(id, &row.m))
		}
	}
	var out []Entry
	first := g.cfg.Rand.IntN(bucketCount)
	for i := range bucketCount {
		bucket := byBucket[(first+i)%bucketCount]
		for j := range bucket {
			room -= bucket[j].size()
		}
		if (room < 0 && len(out) > 0) || len(out)+len(bucket) > maxEntries {
			break
		}
		out = append(out, bucket...)
	}
	return out
}

// missingFrom returns the own rows that a replier shows to lack: those of a
// bucket that it sent and in which it has them older or not at all. The lock
// is held.
func (g *Gossip) missingFrom(reply *Message) []Entry {
	set, differs := g.table.differing(reply.Buckets)
	if !differs {
		return nil
	}
	shown := make(map[string]*Entry, len(reply.Entries))
	var sent [bucketCount]bool
	for i := range reply.Entries {
		e := &reply.Entries[i]
		shown[e.ID] = e
		sent[bucketOf(rawID(e.ID))] = true
	}
	var empty [bucketCount * bucketBytes]byte
	for b := range set {
		unused := [bucketBytes]byte(reply.Buckets[b*bucketBytes:]) == [bucketBytes]byte(empty[:])
		set[b] = set[b] && (sent[b] || unused)
	}
	var out []Entry
	for _, e := range g.rowsOf(set, 2*g.cfg.RumorBytes) {
		theirs := shown[e.ID]
		if theirs == nil || newer(e.Seq, e.State, theirs.Seq, theirs.State) {
			out = append(out, e)
		}
	}
	return briefly(out)
}

// briefly leaves out the descriptions if there are many; a peer asks for those
// that it lacks.
func briefly(entries []Entry) []Entry {
	if len(entries) <= maxDescribed {
		return entries
	}
	for i := range entries {
		if e := &entries[i]; e.State == Alive {
			entries[i] = Entry{ID: e.ID, Seq: e.Seq, Revision: e.Revision}
		}
	}
	return entries
}
