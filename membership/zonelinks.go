package membership

const (
	// zoneLinks is the expected number of members of a large availability zone that pass
	// one change on to members of other zones, to fleetRings neighbours each. A zone thus
	// sends twenty copies of each change; members that none of them reaches get it by
	// sync.
	zoneLinks = 10
	// smallZone is the number of members up to which all members of a zone pass changes
	// on: with so few, the repeated copies cost little and spread a change sooner.
	smallZone = 32
	// smallZoneSyncDivisor is the number of syncs of a member for each one that may leave
	// a small zone. The other members of the zone learn from each other what one of them
	// learns from outside.
	smallZoneSyncDivisor = 4
)

// forwardsAcross reports whether self passes a change of a member on to other zones. The
// choice differs for each change, so that the members of a zone share the work.
//
// If every member did, a change would cross between zones as often as there are members,
// and the bytes of a restart of the whole fleet would grow with the square of its size.
func forwardsAcross(self, changed memberID, seq uint64, zoneSize int) bool {
	if changed == self || zoneSize <= smallZone {
		return true
	}
	return mix(position(self, seq), position(changed, seq))%uint64(zoneSize) < zoneLinks
}

// crossZoneSyncDivisor returns the number of syncs of a member for each one that may leave
// its zone. In a large zone it grows with the zone's size, so that all members together
// make no more such syncs than those of a small zone.
func crossZoneSyncDivisor(zoneSize int) int {
	return max(smallZoneSyncDivisor, smallZoneSyncDivisor*zoneSize/smallZone)
}

// outside reports whether rumors for a member cross between zones. In a small zone no
// member counts as outside. The lock is held.
func (g *Gossip) outside(id memberID) bool {
	row := g.table.rows[id]
	return g.zoneSize > smallZone && row != nil && row.m.Zone != g.table.self.m.Zone
}

// rumorsFor returns the rumors for a peer that fit into limit bytes: all for a peer in
// this zone, and for another zone's those that this process passes on and has not sent
// outside yet. The lock is held.
func (g *Gossip) rumorsFor(peer memberID, limit int) []Entry {
	if g.outside(peer) {
		return g.rumorsToCross(limit)
	}
	return g.rumors.pick(g.table, limit, func(*rumor, uint64) bool { return true })
}

// rumorsToCross returns the rumors that this process has yet to pass on to other zones.
// The lock is held.
func (g *Gossip) rumorsToCross(limit int) []Entry {
	return g.rumors.pick(g.table, limit, func(item *rumor, seq uint64) bool {
		return !item.crossed && forwardsAcross(g.table.self.id, item.id, seq, g.zoneSize)
	})
}

// crossZoneRound prepares the rumors for the neighbours outside the zone. Each change goes
// to all of them once, at the first opportunity: it might otherwise be known to the whole
// zone, and so no longer be a rumor, before it is their turn. The lock is held.
func (g *Gossip) crossZoneRound(outside []memberID) []func() {
	entries := g.rumorsToCross(g.cfg.RumorBytes)
	newVersion := g.rumors.version != nil && !g.rumors.version.crossed
	if len(outside) == 0 || len(entries) == 0 && !newVersion {
		return nil
	}
	g.rumors.markCrossed(entries)
	work := make([]func(), 0, len(outside))
	for _, peer := range g.addrs(outside) {
		work = append(work, func() { g.sendClaims(peer, KindPing, entries) })
	}
	return work
}
