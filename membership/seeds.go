package membership

import (
	"context"
	"time"
)

const (
	// seedTimeout bounds one call of Config.Seeds.
	seedTimeout = 5 * time.Second
	// seedWaitPerMember is the time between two calls of Config.Seeds by one node, for
	// each member that it knows, unless the node considers its view complete: a fleet of
	// up to MaxSeedWait/seedWaitPerMember = 555 nodes makes 1.9 calls a second in total.
	seedWaitPerMember = 540 * time.Millisecond
	// seedJitter is the width of the random part of a wait, as a fraction of the wait.
	seedJitter = 0.5
	// maxSeedDoublings is the number of doublings that take the default MinSeedWait to
	// the default MaxSeedWait.
	maxSeedDoublings = 5
)

// seedWait returns the time between two calls of Config.Seeds. As long as there may be
// unknown members, the wait is proportional to the number of known ones. A group that was
// partitioned, or that started while no other member could be reached, thus finds the
// rest within seconds after the network recovers, and all nodes of a fleet together make
// fewer than two calls a second, whatever the size of the fleet. While the calls return
// no unknown seed, the wait doubles up to MaxSeedWait.
func (g *Gossip) seedWait() time.Duration {
	wait := max(time.Duration(g.table.alive)*seedWaitPerMember, g.cfg.MinSeedWait)
	switch {
	case g.table.alive == 1:
		wait = min(wait, g.due.seedBackoff)
	case g.table.counts.deaths == g.due.seedDeaths:
		wait <<= g.due.fruitlessAsks
	}
	wait = min(wait, g.cfg.MaxSeedWait)
	return time.Duration(float64(wait) * g.due.seedJitter)
}

// seedDue returns the time of the next call of Config.Seeds. It is computed on demand,
// because it becomes earlier when members are lost.
func (g *Gossip) seedDue() time.Time {
	if g.due.seedAsked.IsZero() {
		return time.Time{}
	}
	return g.due.seedAsked.Add(g.seedWait())
}

// prepareSeedJoin prepares a search for members through the seeds. The lock is held.
func (g *Gossip) prepareSeedJoin(now time.Time) func() {
	g.due.seedAsked = now
	g.due.seedJitter = 1 - seedJitter/2 + seedJitter*g.cfg.Rand.Float64()
	g.due.seedBackoff = min(max(2*g.due.seedBackoff, g.cfg.SeedBackoff), g.cfg.MinSeedWait)
	if g.table.alive > 1 {
		g.due.seedBackoff = 0
	}
	if g.table.counts.deaths != g.due.seedDeaths {
		g.due.seedDeaths, g.due.fruitlessAsks = g.table.counts.deaths, 0
	}
	return g.joinSeeds
}

// joinSeeds gets addresses from Config.Seeds and syncs with a few unknown ones.
func (g *Gossip) joinSeeds() {
	g.stats.seedAsks.Add(1)
	ctx, cancel := context.WithTimeout(g.ctx, seedTimeout)
	defer cancel()
	seeds, err := g.cfg.Seeds(ctx)
	if err != nil {
		g.stats.seedErrors.Add(1)
		g.countKnownSeeds(false)
		return
	}
	unknown := g.unknownSeeds(seeds)
	answered := 0
	for _, addr := range unknown[:min(len(unknown), seedTries)] {
		if g.syncWith(target{addr: addr}) {
			answered++
		}
	}
	g.countKnownSeeds(answered == len(unknown))
	if len(unknown) == 0 {
		return
	}
	// A seed may be joining itself and know few members, so another sync follows.
	g.syncSoon()
}

// countKnownSeeds counts the consecutive calls after which every seed was known.
func (g *Gossip) countKnownSeeds(known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.due.fruitlessAsks = min(g.due.fruitlessAsks+1, maxSeedDoublings)
	if !known {
		g.due.fruitlessAsks = 0
	}
}

// unknownSeeds returns, in random order, the seeds whose address no living member holds.
// Seeds that a member holds are reached by the syncs with random members.
func (g *Gossip) unknownSeeds(seeds []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var unknown []string
	for _, addr := range seeds {
		if _, known := g.table.holderByAddr[addr]; !known && validAddr(addr) {
			unknown = append(unknown, addr)
		}
	}
	g.cfg.Rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown
}
