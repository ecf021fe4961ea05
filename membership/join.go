package membership

const (
	// joinRounds bounds the exchanges in which a member that knows few others fetches the
	// complete table. Each exchange transfers at most 2 * RumorBytes.
	joinRounds = 64
	// maxFruitless is the number of consecutive exchanges without a new member after
	// which a join stops: the queried peer may be joining itself.
	maxFruitless = 3
)

// joinThrough fetches the complete table, a part from each of several members. All
// joining processes use the same few seeds; if the seeds sent the complete table to each
// of them, a mass restart would cost a seed megabytes. A member that is joining itself
// has few entries to send; after a fruitless exchange the next one goes to the member
// that knew most.
func (g *Gossip) joinThrough(largestPeer target, reply *Message) {
	largestSize, learned, fruitless := reply.Size, 0, 0
	for range joinRounds {
		if g.Stats().Alive >= int(largestSize) || fruitless == maxFruitless {
			return
		}
		peer := largestPeer
		if fruitless == 0 {
			peer = g.anyMember(largestPeer)
		}
		fruitless++
		reply, err := g.syncBothWays(peer)
		if err != nil {
			continue
		}
		if reply.Size >= largestSize {
			largestSize, largestPeer = reply.Size, peer
		}
		if alive := g.Stats().Alive; alive > learned {
			learned, fruitless = alive, 0
		}
	}
}

// knowsFewer reports whether this process knows far fewer members than a peer.
func (g *Gossip) knowsFewer(peerSize uint32) bool {
	return g.Stats().Alive+maxDescribed < int(peerSize)
}

// anyMember returns a random member that is not gone, or the given one if there is none.
// In a large zone it is a member of this process's own zone.
func (g *Gossip) anyMember(fallback target) target {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.table.living()
	if near := g.table.livingInZone(); len(near) >= smallZone {
		candidates = near
	}
	for _, picked := range g.addrs(sample(g.cfg.Rand, candidates, 1)) {
		return picked
	}
	return fallback
}
