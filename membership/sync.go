package membership

import (
	"time"
)

// syncNext prepares a sync with a random living member, or with a member that knows far
// more members. The lock is held.
func (g *Gossip) syncNext() func() {
	picked := g.addrs([]memberID{g.largerPeer})
	g.largerPeer = memberID{}
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

// syncPeers returns the candidates for a sync. The lock is held.
func (g *Gossip) syncPeers() []memberID {
	near := g.table.livingInZone()
	if len(near) > 0 && g.cfg.Rand.IntN(crossZoneSyncDivisor(len(near)+1)) > 0 {
		return near
	}
	return g.table.living()
}

// heal probes a random dead member, so that two partition sides that believe each other
// dead merge again. If the member answers, both sides learn from the exchange that they
// were declared dead, and refute the claim. Members whose address another member has
// taken over are not probed: when one such member was in 560 tables, its successor was
// dialled 56 times a second. The lock is held.
func (g *Gossip) heal() func() {
	var dead []memberID
	for _, row := range g.table.order {
		_, replaced := g.table.holderByAddr[row.m.GossipAddr]
		eligible := row.m.State == Dead || row.m.State == Left && g.cfg.ProbeLeft
		if eligible && !replaced {
			dead = append(dead, row.id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	id := dead[g.cfg.Rand.IntN(len(dead))]
	// probeOf probes a member that left only if the claim is newer than the row. The
	// purpose of the probe is to find the process that has the member's address now.
	return g.probeOf(id, Entry{Seq: g.table.rows[id].m.Seq + 1})
}

// syncWith compares tables with a peer and exchanges the differences. One sync exchanges
// a limited part, and the following syncs the rest, unless the peer knows far more
// members: then syncWith fetches the complete table. While differences remain, the next
// sync is scheduled sooner. It reports whether the peer answered.
func (g *Gossip) syncWith(peer target) (answered bool) {
	reply, err := g.syncBothWays(peer)
	if err != nil {
		return false
	}
	if g.tablesEqual(reply) {
		return true
	}
	if g.knowsFewer(reply.Size) && !g.joining.Swap(true) {
		g.joinThrough(peer, reply)
		g.joining.Store(false)
	}
	g.syncSoon()
	return true
}

// syncBothWays makes one comparison and sends the peer the entries that it lacks.
func (g *Gossip) syncBothWays(peer target) (*Message, error) {
	reply, err := g.syncOnce(peer, nil)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	missing := g.rowsMissingAt(reply)
	g.mu.Unlock()
	if len(missing) > 0 {
		_, err = g.syncOnce(peer, missing)
	}
	return reply, err
}

// shouldForward reports whether the claims of a message should be forwarded as rumors.
//
// A large sync must not be forwarded. A joining process treated each member it learned by
// sync as news and sent it to its neighbours, which had known all of them for a long
// time. 48 processes that joined at once cost every member of 560 more than a hundred
// kilobytes, and the joining ones a megabyte each. Members that miss as much as a large
// sync contains get it by their own syncs.
func shouldForward(kind Kind, entries []Entry) bool {
	return kind != KindSync || len(entries) <= maxDescribed
}

// restartSyncs makes the next syncs as frequent as after the start. The lock is held.
//
// It is called after this process has learned of several members. Members that a peer learns
// from a large sync are not forwarded as rumors, so there may be more. After a partition in
// which both sides had forgotten each other, one member finds the other side through the seeds.
// If the others learned of it by syncs at SyncInterval alone, some of 60 members still lacked
// others 30 seconds later.
func (g *Gossip) restartSyncs(now time.Time) {
	g.due.syncWait = min(g.cfg.Interval, g.cfg.SyncInterval)
	if soon := now.Add(g.jitter(g.cfg.Interval)); soon.Before(g.due.sync) {
		g.due.sync = soon
	}
}

// syncSoon schedules the next sync early because differences remain.
func (g *Gossip) syncSoon() {
	g.mu.Lock()
	g.due.sync = g.cfg.Clock().Add(g.jitter(2 * g.cfg.Interval))
	g.mu.Unlock()
	g.wakeLoop()
}

// syncOnce makes one sync exchange, with digests if there are no entries to send.
func (g *Gossip) syncOnce(peer target, entries []Entry) (*Message, error) {
	m := &Message{Kind: KindSync, Entries: entries}
	if len(entries) == 0 {
		g.mu.Lock()
		m.Buckets, m.Size = g.table.buckets(), uint32(g.table.alive)
		g.mu.Unlock()
	}
	return g.exchangeWithin(g.ctx, 2*g.timeouts().wait, peer, m)
}

// tablesEqual reports whether the tables are equal after the reply.
func (g *Gossip) tablesEqual(reply *Message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, differs := g.table.differing(reply.Buckets)
	return !differs
}

// answerSync adds the rows of differing buckets to the reply, complete buckets only, as
// far as they fit. The lock is held.
func (g *Gossip) answerSync(reply, request *Message) {
	reply.Buckets, reply.Size = g.table.buckets(), uint32(g.table.alive)
	set, differs := g.table.differing(request.Buckets)
	if !differs {
		return
	}
	if g.table.alive+maxDescribed < int(request.Size) && g.largerPeer == (memberID{}) {
		// Processes that join together learn each other first. The requesting peer knows
		// more members, so this process syncs with it next.
		g.largerPeer = rawID(request.From)
		g.due.sync = time.Time{}
	}
	reply.Entries = append(reply.Entries, g.rowsInBuckets(set, 2*g.cfg.RumorBytes)...)
}

// rowsInBuckets returns the claims of the given buckets, up to about bytesLeft bytes. The
// lock is held.
func (g *Gossip) rowsInBuckets(set [bucketCount]bool, bytesLeft int) []Entry {
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
			bytesLeft -= bucket[j].size()
		}
		if (bytesLeft < 0 && len(out) > 0) || len(out)+len(bucket) > maxEntries {
			break
		}
		out = append(out, bucket...)
	}
	return out
}

// rowsMissingAt returns the rows that the replier lacks or has in an older version. It
// covers the buckets that the replier sent, and those that are empty at the replier. The
// lock is held.
func (g *Gossip) rowsMissingAt(reply *Message) []Entry {
	set, differs := g.table.differing(reply.Buckets)
	if !differs {
		return nil
	}
	received := make(map[string]*Entry, len(reply.Entries))
	var sent [bucketCount]bool
	for i := range reply.Entries {
		e := &reply.Entries[i]
		received[e.ID] = e
		sent[bucketOf(rawID(e.ID))] = true
	}
	var empty [bucketCount * bucketBytes]byte
	for b := range set {
		emptyAtPeer := [bucketBytes]byte(reply.Buckets[b*bucketBytes:]) == [bucketBytes]byte(empty[:])
		set[b] = set[b] && (sent[b] || emptyAtPeer)
	}
	var out []Entry
	for _, e := range g.rowsInBuckets(set, 2*g.cfg.RumorBytes) {
		theirs := received[e.ID]
		if theirs == nil || newer(e.Seq, e.State, theirs.Seq, theirs.State) {
			out = append(out, e)
		}
	}
	return shortenIfMany(out)
}

// shortenIfMany removes the descriptions if there are many entries; the peer requests the
// descriptions that it lacks.
func shortenIfMany(entries []Entry) []Entry {
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
