package membership

import (
	"context"
	"time"
)

const (
	// newsHop is what each hop adds to the age of a version that is only known of.
	// It is above the time of a message, so that the age rises on any way round.
	newsHop = time.Second
	// maxPlaces is the most places that a member can tell of.
	maxPlaces = 1 << 20
	// maxNewestAge keeps an age far from overflow, in milliseconds.
	maxNewestAge = 1 << 40
)

// replyRumors is the share of RumorBytes that a reply may carry.
const replyRumors = 4

// exchange sends a request, takes in the reply and counts the rumors told.
func (g *Gossip) exchange(ctx context.Context, peer target, m *Message) (*Message, error) {
	g.sign(m)
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
	g.rumors.told(m.Entries, reply.Known, reply.Wanted, limit)
	g.rumors.toldVersion(reply.Version >= m.Version, limit)
	g.table.unforge(from, reply.FromSeq)
	taken := g.applyAll(reply.Entries, isNews(m.Kind, reply.Entries), now)
	g.forgetWanted(reply.Entries, taken.wanted)
	if m.Kind == KindPing || m.Kind == KindSync {
		g.table.patience.answered(now.Sub(begin))
	}
	if g.table.answered(from, now) {
		g.doubts[from] = Entry{ID: reply.From, State: Suspect, Seq: g.table.rows[from].m.Seq}
	}
	more := g.describeWanted(m.Entries, reply.Wanted)
	if taken.outdated {
		more = append(more, fullEntry(g.table.self.id, &g.table.self.m))
	}
	if reply.Stranger && !now.Before(g.due.introduce) {
		g.due.introduce = now.Add(g.cfg.SyncInterval)
		g.rumors.add(g.table.self.id, false)
	}
	g.unlockAndPublish()
	if len(more) > 0 {
		g.spawn(func() { g.tell(peer, m.Kind, more) })
	}
	g.afterMessage(from, reply)
	return reply, nil
}

// ask makes an exchange and waits for the answer for a time. One that comes
// later is taken in all the same: it is a sign of life.
func (g *Gossip) ask(ctx context.Context, wait time.Duration, peer target, m *Message) (*Message, error) {
	type answer struct {
		reply *Message
		err   error
	}
	done := make(chan answer, 1)
	await := func() {
		late, cancel := context.WithTimeout(g.ctx, max(wait, g.patience().late()))
		defer cancel()
		reply, err := g.exchange(late, peer, m)
		done <- answer{reply, err}
	}
	g.mu.Lock()
	if g.closing.Load() { // Close may be waiting already
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

// patience returns how long to wait now.
func (g *Gossip) patience() patience {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.patience
}

// sign fills in what every message carries.
func (g *Gossip) sign(m *Message) {
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

// afterMessage acts on what a message brought: rumors to forward, or a higher
// configuration version to hear of or to fetch.
func (g *Gossip) afterMessage(from memberID, m *Message) {
	if m.Newest > m.Version {
		age := time.Duration(min(m.NewestAge, maxNewestAge)) * time.Millisecond
		g.cfg.Delegate.Hear(m.Newest, age+newsHop)
	}
	if m.Places > 0 {
		g.cfg.Delegate.HearPlaces(int(min(m.Places, maxPlaces)))
	}
	if m.Version > g.cfg.Delegate.LocalVersion() {
		g.cfg.Delegate.Hear(m.Version, 0)
		g.fetch(from, m.Version)
	}
	g.mu.Lock()
	pending := g.rumors.pending() || len(g.doubts) > 0
	g.mu.Unlock()
	if pending {
		g.wakeLoop()
	}
}

// describeWanted returns in full those claims of a request that the replier
// can't use without. The lock is held.
func (g *Gossip) describeWanted(entries []Entry, wanted []byte) []Entry {
	var out []Entry
	room := 2 * g.cfg.RumorBytes
	for i := range entries {
		id := rawID(entries[i].ID)
		row := g.table.rows[id]
		if !bit(wanted, i) || row == nil || row.m.State != Alive {
			continue
		}
		e := fullEntry(id, &row.m)
		if room -= e.size(); room < 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

// takenIn is what became of the claims in one message.
type takenIn struct {
	// known and wanted have a bit for each claim; see Message.
	known, wanted []byte
	// outdated tells that the peer believes of this process what it has
	// refuted before.
	//
	// The failure: two members held each other for dead by claims that both
	// had refuted long ago. Each told the other its claim, which was no news
	// there, so neither learned anything and callers of the one were never
	// sent to the other. Whoever hears such a claim answers with its own
	// entry, which is higher, and so ends the matter with one message.
	outdated bool
}

// applyAll takes in claims, and passes on those that are news; of members that
// live only if tell is set.
// The lock is held.
func (g *Gossip) applyAll(entries []Entry, tell bool, now time.Time) takenIn {
	var in takenIn
	for i := range entries {
		e := &entries[i]
		id := rawID(e.ID)
		v, err := g.table.apply(e, now)
		if err != nil {
			g.stats.refused.Add(1)
		}
		switch v {
		case claimTaken:
			if tell || e.State != Alive {
				g.rumors.add(id, !e.full())
			}
			delete(g.doubts, id)
			delete(g.wanted, id)
			if e.State == Suspect {
				g.due.expire = now
			}
		case claimDoubted:
			g.doubts[id] = Entry{ID: e.ID, State: e.State, Seq: e.Seq}
		case claimLacking:
			if g.want(id, now) {
				in.wanted = setBit(in.wanted, i)
			}
		case claimOutdated:
			in.outdated = true
		}
		if v != claimTaken && v != claimRefuted && v != claimLacking {
			in.known = setBit(in.known, i)
		}
	}
	if g.table.announced {
		g.rumors.add(g.table.self.id, !g.table.described)
		g.table.announced, g.table.described = false, false
	}
	return in
}

// want reports whether to ask for a description. Many peers tell the same news
// at about the same time; one is asked, and another if it didn't answer.
func (g *Gossip) want(id memberID, now time.Time) bool {
	if now.Before(g.wanted[id]) {
		return false
	}
	if len(g.wanted) >= g.cfg.MaxMembers {
		clear(g.wanted)
	}
	g.wanted[id] = now.Add(g.cfg.ProbeTimeout)
	g.due.lacking = now.Add(2 * g.cfg.ProbeTimeout)
	return true
}

// forgetWanted takes back what can't be asked for: a reply gets no answer.
func (g *Gossip) forgetWanted(entries []Entry, wanted []byte) {
	for i := range entries {
		if bit(wanted, i) {
			delete(g.wanted, rawID(entries[i].ID))
		}
	}
}

// Handle answers a peer's request. The rpc server calls it; an owner with a
// transport of its own calls it itself. A malformed request is refused whole
// with a *InvalidError.
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
	taken := g.applyAll(m.Entries, isNews(m.Kind, m.Entries), now)
	if alone && g.table.alive > 1 {
		// The sender takes this process for known, and won't tell it of others;
		// until its own next sync it would know the sender only.
		g.due.sync = now
		defer g.wakeLoop()
	}
	reply.Known, reply.Wanted = taken.known, taken.wanted
	if taken.outdated {
		reply.Entries = append(reply.Entries, fullEntry(g.table.self.id, &g.table.self.m))
	}
	g.answerSender(reply, from)
	switch m.Kind {
	case KindPing:
		g.piggyback(reply, m)
	case KindSync:
		if len(m.Buckets) > 0 {
			g.answerSync(reply, m)
		}
	}
	g.unlockAndPublish()
	g.sign(reply)
	if m.Kind == KindPull {
		g.answerPull(reply, m)
	}
	g.afterMessage(from, m)
	return reply, nil
}

// answerSender tells a sender that is not Alive here so. A process that was
// paused learns in this way that it was taken for dead.
func (g *Gossip) answerSender(reply *Message, from memberID) {
	row := g.table.rows[from]
	if row == nil {
		reply.Stranger = true
		return
	}
	if row.m.State == Suspect || row.m.State == Dead {
		reply.Entries = append(reply.Entries, stateEntry(from, &row.m))
	}
}

// piggyback adds rumors that the request didn't bring. Of those that are told
// short it leaves out the living: a reply gets no answer that could ask for
// the description.
func (g *Gossip) piggyback(reply, request *Message) {
	brief := len(g.rumors.byID) > maxDescribed
	if len(g.rumors.byID) == 0 {
		return
	}
	brought := make(map[string]bool, len(request.Entries))
	for i := range request.Entries {
		brought[request.Entries[i].ID] = true
	}
	var told []Entry
	for _, e := range g.rumors.pick(g.table, g.cfg.RumorBytes/replyRumors) {
		if brief && e.State == Alive {
			continue
		}
		if !brought[e.ID] || rawID(e.ID) == g.table.self.id {
			told = append(told, e)
		}
	}
	g.rumors.told(told, nil, nil, g.table.sendLimit())
	reply.Entries = append(reply.Entries, told...)
}
