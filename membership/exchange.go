package membership

import (
	"context"
	"time"
)

const (
	// versionAgePerHop is added, at each hop, to the age of a configuration version that
	// the sender doesn't have in force. It is above the transmission time of a message,
	// so that the age grows along every path and every cycle.
	versionAgePerHop = time.Second
	// maxPlaces is the highest count of places that a member can report.
	maxPlaces = 1 << 20
	// maxNewestAge, in milliseconds, bounds a received age far below overflow.
	maxNewestAge = 1 << 40
)

// replyRumorsDivisor divides RumorBytes to give the bytes of rumors that a reply may
// carry.
const replyRumorsDivisor = 4

// exchange sends a request, applies the reply and counts the rumors that were delivered.
func (g *Gossip) exchange(ctx context.Context, peer target, m *Message) (*Message, error) {
	g.setSender(m)
	g.stats.sent.Add(1)
	begin := g.cfg.Clock()
	reply, err := g.transport.Exchange(ctx, peer.addr, m)
	if err == nil {
		err = reply.validate(&g.cfg)
	}
	if err != nil {
		g.stats.failed.Add(1)
		return nil, err
	}
	now := g.cfg.Clock()
	from := rawID(reply.From)
	g.mu.Lock()
	limit := g.table.sendLimit()
	g.rumors.countDelivered(m.Entries, reply.Known, reply.Wanted, limit)
	g.rumors.countVersionDelivered(reply.Version >= m.Version, limit)
	g.table.forgetCorruptSeq(from, reply.FromSeq)
	applied := g.applyAll(reply.Entries, shouldForward(m.Kind, reply.Entries), now)
	g.forgetWanted(reply.Entries, applied.wanted)
	if m.Kind == KindPing || m.Kind == KindSync {
		g.table.timeouts.observe(now.Sub(begin))
	}
	if g.table.answered(from, now) {
		g.doubts[from] = Entry{ID: reply.From, State: Suspect, Seq: g.table.rows[from].m.Seq}
	}
	more := g.describeWanted(m.Entries, reply.Wanted)
	if applied.outdated {
		more = append(more, fullEntry(g.table.self.id, &g.table.self.m))
	}
	if reply.Stranger && !now.Before(g.due.announceAgain) {
		g.due.announceAgain = now.Add(g.cfg.SyncInterval)
		g.rumors.add(g.table.self.id, false)
	}
	g.unlockAndPublish()
	if len(more) > 0 {
		g.spawn(func() { g.sendClaims(peer, m.Kind, more) })
	}
	g.afterMessage(from, reply)
	return reply, nil
}

// exchangeWithin starts an exchange and waits up to wait for the reply. A reply that
// arrives later is still applied, because it proves that the peer is alive.
func (g *Gossip) exchangeWithin(ctx context.Context, wait time.Duration, peer target, m *Message) (*Message, error) {
	type answer struct {
		reply *Message
		err   error
	}
	done := make(chan answer, 1)
	await := func() {
		late, cancel := context.WithTimeout(g.ctx, max(wait, g.timeouts().lateLimit()))
		defer cancel()
		reply, err := g.exchange(late, peer, m)
		done <- answer{reply, err}
	}
	g.mu.Lock()
	if g.closing.Load() { // running.Go must not follow the running.Wait of Close
		g.mu.Unlock()
		return nil, &ClosedError{}
	}
	g.running.Go(await)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case a := <-done:
		return a.reply, a.err
	case <-ctx.Done():
		g.stats.late.Add(1)
		return nil, &TransportError{Addr: peer.addr, Stage: "call", Err: ctx.Err()}
	}
}

// timeouts returns a copy of the current timeouts.
func (g *Gossip) timeouts() timeouts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.timeouts
}

// setSender sets the fields that every message carries: the sender and its configuration
// versions.
func (g *Gossip) setSender(m *Message) {
	m.Version = g.cfg.Delegate.LocalVersion()
	if newest, age := g.cfg.Delegate.NewestVersion(); newest > m.Version {
		m.Newest, m.NewestAge = newest, uint64(max(age, 0).Milliseconds())
	}
	m.Places = uint32(min(max(g.cfg.Delegate.Places(), 0), maxPlaces))
	g.mu.Lock()
	m.From = string(g.table.self.id[:])
	m.FromSeq = g.table.self.m.Seq
	g.mu.Unlock()
}

// afterMessage acts on the content of a message outside the lock: it reports
// configuration versions and places to the delegate, fetches a higher version, and wakes
// the loop if there are rumors or doubts to process.
func (g *Gossip) afterMessage(from memberID, m *Message) {
	if m.Newest > m.Version {
		age := time.Duration(min(m.NewestAge, maxNewestAge)) * time.Millisecond
		g.cfg.Delegate.ObserveVersion(m.Newest, age+versionAgePerHop)
	}
	if m.Places > 0 {
		g.cfg.Delegate.ObservePlaces(int(min(m.Places, maxPlaces)))
	}
	if m.Version > g.cfg.Delegate.LocalVersion() {
		g.cfg.Delegate.ObserveVersion(m.Version, 0)
		g.fetch(from, m.Version)
	}
	g.mu.Lock()
	g.largestPeer = max(g.largestPeer, int(m.Size))
	pending := g.rumors.pending() || len(g.doubts) > 0
	g.mu.Unlock()
	if pending {
		g.wakeLoop()
	}
}

// describeWanted returns the full descriptions of the members for which the replier set a
// bit in wanted. The lock is held.
func (g *Gossip) describeWanted(entries []Entry, wanted []byte) []Entry {
	var out []Entry
	bytesLeft := 2 * g.cfg.RumorBytes
	for i := range entries {
		id := rawID(entries[i].ID)
		row := g.table.rows[id]
		if !bit(wanted, i) || row == nil || row.m.State != Alive {
			continue
		}
		e := fullEntry(id, &row.m)
		if bytesLeft -= e.size(); bytesLeft < 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

// appliedClaims is the result of applying the claims of one message.
type appliedClaims struct {
	// known and wanted have one bit for each claim; see Message.
	known, wanted []byte
	// outdated is set if the peer still believes a claim about this process that this
	// process has refuted earlier.
	//
	// Without an answer to such a claim, two members stayed dead to each other: each held
	// a claim about the other that the other had refuted long ago. Neither claim was new
	// to its receiver, so neither member learned anything, and callers of the one were
	// never routed to the other. A process that receives such a claim therefore replies
	// with its own entry, whose Seq is higher, which settles the conflict in one message.
	outdated bool
}

// applyAll applies claims and queues those that changed the table as rumors; Alive claims
// are queued only if forward is set. The lock is held.
func (g *Gossip) applyAll(entries []Entry, forward bool, now time.Time) appliedClaims {
	var in appliedClaims
	before := g.table.alive
	for i := range entries {
		e := &entries[i]
		id := rawID(e.ID)
		v, err := g.table.apply(e, now)
		if err != nil {
			g.stats.refused.Add(1)
		}
		switch v {
		case claimApplied:
			if forward || e.State != Alive {
				g.rumors.add(id, !e.hasDescription())
			}
			delete(g.doubts, id)
			delete(g.wanted, id)
			if e.State == Suspect {
				g.due.expire = now
			}
		case claimDoubted:
			g.doubts[id] = Entry{ID: e.ID, State: e.State, Seq: e.Seq}
		case claimUndescribed:
			if g.shouldRequestDescription(id, now) {
				in.wanted = setBit(in.wanted, i)
			}
		case claimOutdated:
			in.outdated = true
		}
		if v != claimApplied && v != claimRefuted && v != claimUndescribed {
			in.known = setBit(in.known, i)
		}
	}
	g.learned += max(g.table.alive-before, 0)
	if g.learned >= maxDescribed {
		g.learned = 0
		g.restartSyncs(now)
	}
	if g.table.selfChanged {
		g.rumors.add(g.table.self.id, !g.table.selfDescriptionChanged)
		g.table.selfChanged, g.table.selfDescriptionChanged = false, false
	}
	return in
}

// shouldRequestDescription reports whether to request a member's description. Many peers
// send the same claim at about the same time; the description is requested from one of
// them, and from another one if the first doesn't answer.
func (g *Gossip) shouldRequestDescription(id memberID, now time.Time) bool {
	if now.Before(g.wanted[id]) {
		return false
	}
	if len(g.wanted) >= g.cfg.MaxMembers {
		clear(g.wanted)
	}
	g.wanted[id] = now.Add(g.cfg.ProbeTimeout)
	g.due.descriptionDeadline = now.Add(2 * g.cfg.ProbeTimeout)
	return true
}

// forgetWanted cancels the requests for descriptions of claims that arrived in a reply: a
// reply can't be answered, so they were never sent.
func (g *Gossip) forgetWanted(entries []Entry, wanted []byte) {
	for i := range entries {
		if bit(wanted, i) {
			delete(g.wanted, rawID(entries[i].ID))
		}
	}
}

// Handle answers a peer's request. The rpc server calls it; an owner with its own
// transport calls it directly. A malformed request is rejected as a whole with an
// *InvalidError.
func (g *Gossip) Handle(ctx context.Context, m *Message) (*Message, error) {
	if err := m.validate(&g.cfg); err != nil {
		g.stats.refused.Add(1)
		return nil, err
	}
	g.stats.received.Add(1)
	now := g.cfg.Clock()
	from := rawID(m.From)
	reply := &Message{Kind: m.Kind}
	if m.Kind == KindRelay && m.Target != "" {
		reply.Reached = g.relay(ctx, rawID(m.Target))
	}
	g.mu.Lock()
	alone := g.table.alive == 1
	applied := g.applyAll(m.Entries, shouldForward(m.Kind, m.Entries), now)
	if alone && g.table.alive > 1 {
		// The sender assumes that other members know this process, and won't send it any
		// other entries. Without a sync now, this process would know only the sender
		// until its next scheduled sync.
		g.due.sync = now
		defer g.wakeLoop()
	}
	reply.Known, reply.Wanted = applied.known, applied.wanted
	if applied.outdated {
		reply.Entries = append(reply.Entries, fullEntry(g.table.self.id, &g.table.self.m))
	}
	g.addSenderState(reply, from)
	switch m.Kind {
	case KindPing:
		g.piggyback(reply, m)
	case KindSync:
		if len(m.Buckets) > 0 {
			g.answerSync(reply, m)
		}
	}
	g.unlockAndPublish()
	g.setSender(reply)
	if m.Kind == KindPull {
		g.answerPull(reply, m)
	}
	g.afterMessage(from, m)
	return reply, nil
}

// addSenderState adds the sender's own state to the reply if the sender is Suspect or
// Dead here, and sets Stranger if it is unknown. A process that was paused learns this
// way that it was declared dead.
func (g *Gossip) addSenderState(reply *Message, from memberID) {
	row := g.table.rows[from]
	if row == nil {
		reply.Stranger = true
		return
	}
	if row.m.State == Suspect || row.m.State == Dead {
		reply.Entries = append(reply.Entries, stateEntry(from, &row.m))
	}
}

// piggyback adds rumors to a reply that the request didn't contain. When claims are sent
// without descriptions, Alive claims are left out: the receiver of a reply can't request
// the missing description.
func (g *Gossip) piggyback(reply, request *Message) {
	brief := len(g.rumors.byID) > maxDescribed
	if len(g.rumors.byID) == 0 {
		return
	}
	received := make(map[string]bool, len(request.Entries))
	for i := range request.Entries {
		received[request.Entries[i].ID] = true
	}
	var delivered []Entry
	for _, e := range g.rumorsFor(rawID(request.From), g.cfg.RumorBytes/replyRumorsDivisor) {
		if brief && e.State == Alive {
			continue
		}
		if !received[e.ID] || rawID(e.ID) == g.table.self.id {
			delivered = append(delivered, e)
		}
	}
	g.rumors.countDelivered(delivered, nil, nil, g.table.sendLimit())
	reply.Entries = append(reply.Entries, delivered...)
}
