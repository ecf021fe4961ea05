package membership

import (
	"context"
	"time"
)

const (
	// minWait is the least wait of a timer. One that has expired when it is made
	// runs on its maker's thread under testing/synctest, and two that do so at
	// once share one context of the race detector, which crashes the tests.
	minWait = time.Nanosecond
	// expireStep is how often suspicions are checked while there are any.
	expireStep = 100 * time.Millisecond
	// tombstoneStep is how often dead members are checked.
	tombstoneStep = 10 * time.Second
	// doubtStep is the least time between two probes out of turn.
	doubtStep = 100 * time.Millisecond
	// resumeSyncs is how many peers a process asks after a pause.
	resumeSyncs = 3
	// seedTries is how many seeds are asked in one attempt.
	seedTries = 3
)

// schedule is when each periodic task is due.
type schedule struct {
	probe, rumor, sync, heal, expire, doubt time.Time
	// syncWait grows from Interval to SyncInterval after the start: processes
	// that started together may agree on a part of the members.
	syncWait time.Duration
	// lacking is when to give up on descriptions that were asked for.
	lacking time.Time
	// storm is set while there are, or have just been, many rumors.
	storm bool
	// introduce is when a stranger may be told of this process again: one
	// whose table is full stays a stranger.
	introduce time.Time
	// seedAsked is when the seeds were last asked for; see seedWait.
	seedAsked   time.Time
	seedJitter  float64
	seedBackoff time.Duration
	// seedsKnown counts the latest asks that taught nothing, seedDeaths the
	// deaths seen here before the latest ask.
	seedsKnown int
	seedDeaths uint64
}

// loop runs the periodic tasks. Each exchange has a goroutine of its own, so a
// slow peer delays nothing here.
func (g *Gossip) loop() {
	now := g.cfg.Clock()
	g.mu.Lock()
	g.due = schedule{
		probe: now.Add(g.jitter(g.cfg.Interval)),
		sync:  now.Add(g.jitter(g.cfg.Interval)),
		heal:  now.Add(g.jitter(g.cfg.HealInterval)),

		syncWait: min(g.cfg.Interval, g.cfg.SyncInterval),
	}
	g.turn = g.cfg.Rand.IntN(g.cfg.Neighbors)
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
		g.noticePause(now, next)
		g.step(now)
		next = g.nextDue()
		timer.Reset(max(minWait, next.Sub(now)))
	}
}

// jitter is a random time up to d. The lock is held.
func (g *Gossip) jitter(d time.Duration) time.Duration {
	return time.Duration(g.cfg.Rand.Int64N(int64(d)) + 1)
}

// spread is d give or take a tenth, so that members don't fall into step.
func (g *Gossip) spread(d time.Duration) time.Duration {
	return d - d/10 + g.jitter(d/5+1)
}

// noticePause handles a loop that ran late: by half a probe's time, and this
// process is too slow to judge others; by more than an interval, and it
// was stopped. While it was, suspects could not be heard and probes
// could not be answered, so judging by the clock would take healthy members
// for dead; and the others may have taken this process for dead, which it
// learns by asking some of them.
func (g *Gossip) noticePause(now, expected time.Time) {
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

// step runs what is due.
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
		g.due.probe = now.Add(g.spread(g.cfg.Interval))
		add(g.probeNext())
	}
	if len(g.doubts) > 0 && !now.Before(g.due.doubt) {
		g.due.doubt = now.Add(max(doubtStep, g.table.patience.usual))
		add(g.probeDoubted())
	}
	if len(g.wanted) > 0 && !now.Before(g.due.lacking) {
		// Who was asked didn't answer, and the others may have ended telling.
		clear(g.wanted)
		g.due.sync = now
	}
	if g.due.storm && !g.rumors.pending() {
		// What was told short may have reached somebody who was never answered.
		g.due.storm = false
		g.due.sync = now.Add(g.jitter(g.cfg.Interval))
	}
	if !now.Before(g.due.sync) {
		g.due.syncWait = min(2*g.due.syncWait, g.cfg.SyncInterval)
		g.due.sync = now.Add(g.spread(g.due.syncWait))
		add(g.syncNext())
	}
	if !now.Before(g.due.heal) {
		g.due.heal = now.Add(g.spread(g.cfg.HealInterval))
		add(g.heal())
	}
	if !now.Before(g.seedDue()) && g.cfg.Seeds != nil {
		add(g.askSeeds(now))
	}
	if g.rumors.pending() && !now.Before(g.due.rumor) {
		g.due.rumor = now.Add(max(g.cfg.RumorInterval, g.table.patience.usual))
		g.due.storm = g.due.storm || len(g.rumors.byID) > maxDescribed
		work = append(work, g.tellRumors()...)
	}
	return work
}

// expire ends suspicions and tells who died. The lock is held.
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

// nextDue is when the loop has to run again.
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
	sooner(g.due.lacking, len(g.wanted) > 0)
	sooner(g.due.rumor, g.rumors.pending())
	return next
}

// spawn runs an exchange beside the loop, or drops it when too many are under
// way. Nothing is lost by that: each task comes round again.
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

// tellRumors prepares one round: the same entries to the next Fanout
// neighbours. Taking them in turn makes a rumor that is told often enough
// reach each neighbour, where a random choice would tell some of them twice. One
// that has not answered the last round is passed over: rounds at a fixed rate to
// members that answer late are what an overload is made of.
func (g *Gossip) tellRumors() []func() {
	g.refreshPeers()
	listening := g.rumorPeers()
	if len(listening) == 0 {
		return nil
	}
	var next []memberID
	for range listening {
		id := listening[g.tellTurn%len(listening)]
		g.tellTurn++
		if g.telling[id] == 0 {
			next = append(next, id)
		}
		if len(next) == g.cfg.Fanout {
			break
		}
	}
	peers := g.addrs(next)
	entries := g.rumors.pick(g.table, g.cfg.RumorBytes)
	work := make([]func(), 0, len(peers))
	for _, peer := range peers {
		work = append(work, func() { g.tell(peer, KindPing, entries) })
	}
	return work
}

// rumorPeers are the neighbours that are thought to listen.
func (g *Gossip) rumorPeers() []memberID {
	peers := make([]memberID, 0, len(g.peers))
	for _, id := range g.peers {
		if row := g.table.rows[id]; row != nil && row.m.State == Alive {
			peers = append(peers, id)
		}
	}
	return peers
}

// tell sends claims to one peer.
func (g *Gossip) tell(peer target, kind Kind, entries []Entry) {
	g.mu.Lock()
	g.telling[peer.id]++
	late := g.table.patience.late()
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, late)
	defer cancel()
	defer g.told(peer.id)
	_, _ = g.exchange(ctx, peer, &Message{Kind: kind, Entries: entries})
}

// told ends the telling of a peer.
func (g *Gossip) told(id memberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.telling[id]--; g.telling[id] == 0 {
		delete(g.telling, id)
	}
}

// refreshPeers recomputes the neighbours after members came or went.
func (g *Gossip) refreshPeers() {
	if !g.table.moved {
		return
	}
	g.table.moved = false
	g.peers = nearNeighbors(g.table.self.id, g.table.livingInZone(), g.table.living(), g.cfg.Neighbors)
}

// sendLimit is the most times that one rumor is sent from here.
func (t *table) sendLimit() int { return rumorSends * int(t.magnitude()+0.999) }
