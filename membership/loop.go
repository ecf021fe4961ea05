package membership

import (
	"context"
	"time"
)

const (
	// minWait is the shortest duration of a timer. A timer that has already expired when
	// it is created runs on its creator's thread under testing/synctest, and two of them
	// at once share one context of the race detector, which crashes the tests.
	minWait = time.Nanosecond
	// expireStep is the interval of the expiry checks while there are suspicions.
	expireStep = 100 * time.Millisecond
	// tombstoneStep is the interval of the expiry checks of dead members.
	tombstoneStep = 10 * time.Second
	// doubtStep is the minimum time between two out-of-turn probes.
	doubtStep = 100 * time.Millisecond
	// resumeSyncs is the number of peers with which a process syncs after a pause.
	resumeSyncs = 3
	// seedTries is the number of seeds that are tried in one attempt to join.
	seedTries = 3
)

// schedule holds the due times of the periodic tasks.
type schedule struct {
	probe, rumor, sync, heal, expire, doubt time.Time
	// syncWait grows from Interval to SyncInterval after the start. The first syncs are
	// frequent because processes that started together may agree on the same incomplete
	// list of members.
	syncWait time.Duration
	// descriptionDeadline is the time at which requested descriptions are given up.
	descriptionDeadline time.Time
	// burst is set from the time when there are many rumors until the sync that follows
	// them.
	burst bool
	// announceAgain is the time from which this process may announce itself again after a
	// peer replied that it doesn't know this process: a peer whose table is full never
	// adds it.
	announceAgain time.Time
	// seedAsked is the time of the last call of Config.Seeds; see seedWait.
	seedAsked   time.Time
	seedJitter  float64
	seedBackoff time.Duration
	// fruitlessAsks counts the latest consecutive calls after which every seed was known.
	// seedDeaths is the number of deaths recorded in this table at the last call.
	fruitlessAsks int
	seedDeaths    uint64
}

// loop runs the periodic tasks. Each exchange runs in its own goroutine, so a slow peer
// doesn't delay the loop.
func (g *Gossip) loop() {
	now := g.cfg.Clock()
	g.mu.Lock()
	g.due = schedule{
		probe: now.Add(g.jitter(g.cfg.Interval)),
		sync:  now.Add(g.jitter(g.cfg.Interval)),
		heal:  now.Add(g.jitter(g.cfg.HealInterval)),

		syncWait: min(g.cfg.Interval, g.cfg.SyncInterval),
	}
	g.probeTurn = g.cfg.Rand.IntN(g.cfg.Neighbors)
	g.rumors.add(g.table.self.id, false)
	g.mu.Unlock()
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	next := now
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		now = g.cfg.Clock()
		g.handlePause(now, next)
		g.step(now)
		next = g.nextDue()
		timer.Reset(max(minWait, next.Sub(now)))
	}
}

// jitter returns a random duration up to d. The lock is held.
func (g *Gossip) jitter(d time.Duration) time.Duration {
	return time.Duration(g.cfg.Rand.Int64N(int64(d)) + 1)
}

// withJitter returns d plus or minus up to a tenth, so that members don't synchronize.
func (g *Gossip) withJitter(d time.Duration) time.Duration {
	return d - d/10 + g.jitter(d/5+1)
}

// handlePause detects a loop that ran late. A delay of half the probe timeout means that
// this process is too slow to judge others; a delay of more than an interval means that
// it was stopped. During the delay answers of suspects could not be received and probes
// could not be answered, so judging by the clock would declare healthy members dead. The
// others may also have declared this process dead, which it learns by syncing with some
// of them.
func (g *Gossip) handlePause(now, expected time.Time) {
	late := now.Sub(expected)
	if late < g.cfg.ProbeTimeout/2 {
		return
	}
	g.mu.Lock()
	g.pauses++
	g.table.postpone(late)
	if late < g.cfg.Interval {
		g.mu.Unlock()
		return
	}
	g.stats.pauses.Add(1)
	peers := g.addrs(sample(g.cfg.Rand, g.table.living(), resumeSyncs))
	g.mu.Unlock()
	for _, peer := range peers {
		g.spawn(func() { g.syncWith(peer) })
	}
}

// step runs the tasks that are due.
func (g *Gossip) step(now time.Time) {
	g.mu.Lock()
	work := g.dueWork(now)
	g.unlockAndPublish()
	for _, run := range work {
		g.spawn(run)
	}
}

// dueWork collects the exchanges to start. The lock is held.
func (g *Gossip) dueWork(now time.Time) []func() {
	var work []func()
	add := func(run func()) {
		if run != nil {
			work = append(work, run)
		}
	}
	if !now.Before(g.due.expire) {
		g.expire(now)
	}
	if !now.Before(g.due.probe) {
		g.due.probe = now.Add(g.withJitter(g.cfg.Interval))
		add(g.probeNext())
	}
	if len(g.doubts) > 0 && !now.Before(g.due.doubt) {
		g.due.doubt = now.Add(max(doubtStep, g.table.timeouts.mean))
		add(g.probeDoubted())
	}
	if len(g.wanted) > 0 && !now.Before(g.due.descriptionDeadline) {
		// The queried peers didn't answer, and the other peers may have stopped sending
		// the rumor. A sync fetches the descriptions instead.
		clear(g.wanted)
		g.due.sync = now
	}
	if g.due.burst && !g.rumors.pending() {
		// A claim sent without its description may have reached a peer whose request for
		// the description was never answered.
		g.due.burst = false
		g.due.sync = now.Add(g.jitter(g.cfg.Interval))
	}
	if !now.Before(g.due.sync) {
		g.due.syncWait = min(2*g.due.syncWait, g.cfg.SyncInterval)
		g.due.sync = now.Add(g.withJitter(g.due.syncWait))
		add(g.syncNext())
	}
	if !now.Before(g.due.heal) {
		g.due.heal = now.Add(g.withJitter(g.cfg.HealInterval))
		add(g.heal())
	}
	if !now.Before(g.seedDue()) && g.cfg.Seeds != nil {
		add(g.prepareSeedJoin(now))
	}
	if g.rumors.pending() && !now.Before(g.due.rumor) {
		g.due.rumor = now.Add(max(g.cfg.RumorInterval, g.table.timeouts.mean))
		g.due.burst = g.due.burst || len(g.rumors.byID) > maxDescribed
		work = append(work, g.rumorRound()...)
	}
	return work
}

// expire ends overdue suspicions and queues the deaths as rumors. The lock is held.
func (g *Gossip) expire(now time.Time) {
	for _, id := range g.table.expire(now) {
		g.rumors.add(id, true)
	}
	g.due.expire = now.Add(tombstoneStep)
	for _, row := range g.table.rows {
		if row.m.State == Suspect {
			g.due.expire = now.Add(expireStep)
			return
		}
	}
}

// nextDue returns the time at which the loop has to run again.
func (g *Gossip) nextDue() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.due.probe
	sooner := func(t time.Time, when bool) {
		if when && t.Before(next) {
			next = t
		}
	}
	sooner(g.due.sync, true)
	sooner(g.due.heal, true)
	sooner(g.due.expire, true)
	sooner(g.seedDue(), g.cfg.Seeds != nil)
	sooner(g.due.doubt, len(g.doubts) > 0)
	sooner(g.due.descriptionDeadline, len(g.wanted) > 0)
	sooner(g.due.rumor, g.rumors.pending())
	return next
}

// spawn runs an exchange in its own goroutine, or drops it when too many are in flight. A
// dropped exchange is not lost: each task repeats periodically.
func (g *Gossip) spawn(run func()) {
	if g.inFlight.Add(1) > maxInFlight {
		g.inFlight.Add(-1)
		g.stats.skipped.Add(1)
		return
	}
	g.running.Go(func() {
		defer g.inFlight.Add(-1)
		run()
	})
}

// rumorRound prepares one round of rumors: the same entries for the next Fanout
// neighbours in the zone, and those that are due for the neighbours outside. Going through
// the neighbours in turn makes a rumor that is sent often enough reach each of them,
// whereas a random choice would select some twice. A neighbour that has not answered the
// last round is skipped: sending at a fixed rate to members that answer late prolongs an
// overload.
func (g *Gossip) rumorRound() []func() {
	g.refreshPeers()
	var near, outside []memberID
	for _, id := range g.rumorPeers() {
		switch {
		case !g.outside(id):
			near = append(near, id)
		case g.sending[id] == 0:
			outside = append(outside, id)
		}
	}
	work := g.crossZoneRound(outside)
	if len(near) == 0 {
		return work
	}
	var next []memberID
	for range near {
		id := near[g.rumorTurn%len(near)]
		g.rumorTurn++
		if g.sending[id] == 0 {
			next = append(next, id)
		}
		if len(next) == g.cfg.Fanout {
			break
		}
	}
	entries := g.rumors.pick(g.table, g.cfg.RumorBytes, func(*rumor, uint64) bool { return true })
	for _, peer := range g.addrs(next) {
		work = append(work, func() { g.sendClaims(peer, KindPing, entries) })
	}
	return work
}

// rumorPeers returns the neighbours that are Alive.
func (g *Gossip) rumorPeers() []memberID {
	peers := make([]memberID, 0, len(g.peers))
	for _, id := range g.peers {
		if row := g.table.rows[id]; row != nil && row.m.State == Alive {
			peers = append(peers, id)
		}
	}
	return peers
}

// sendClaims sends claims to one peer.
func (g *Gossip) sendClaims(peer target, kind Kind, entries []Entry) {
	g.mu.Lock()
	g.sending[peer.id]++
	late := g.table.timeouts.lateLimit()
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, late)
	defer cancel()
	defer g.endSend(peer.id)
	_, _ = g.exchange(ctx, peer, &Message{Kind: kind, Entries: entries})
}

// endSend records that an exchange started by sendClaims has ended.
func (g *Gossip) endSend(id memberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sending[id]--; g.sending[id] == 0 {
		delete(g.sending, id)
	}
}

// refreshPeers recomputes the neighbours after members came or went.
func (g *Gossip) refreshPeers() {
	if !g.table.membersChanged {
		return
	}
	g.table.membersChanged = false
	zone := g.table.livingInZone()
	g.zoneSize = len(zone) + 1
	g.peers = nearNeighbors(g.table.self.id, zone, g.table.living(), g.cfg.Neighbors)
}

// sendLimit returns the maximum number of times that this process sends one rumor.
func (t *table) sendLimit() int { return rumorSends * int(t.log10Members()+0.999) }
