package membership

import (
	"math"
	"slices"
	"time"
)

// table holds the accepted claims. It does no I/O, receives the time as an argument and
// is not safe for concurrent use.
type table struct {
	cfg          *Config
	self         *record
	rows         map[memberID]*record
	order        []*record           // rows by ID
	holderByAddr map[string]memberID // members that are not gone, by gossip address
	alive        int                 // number of rows that are not gone, including self
	digest       [bucketCount]uint32 // of rows that are not gone
	// snapshotStale is set when the published snapshot is out of date, membersChanged
	// when the set of members that are not gone has changed.
	snapshotStale, membersChanged bool
	// selfChanged is set when the own row changed while claims were applied,
	// selfDescriptionChanged when the change included its description.
	selfChanged, selfDescriptionChanged bool
	counts                              counters
	// timeouts follows the members' answer times.
	timeouts timeouts
}

// counters counts the events that only the table observes.
type counters struct {
	suspicions, deaths, refutations, conflicts, farAhead, tableFull uint64
}

func newTable(cfg *Config) *table {
	id, _ := parseID(cfg.Self.ID)
	m := cfg.Self.clone()
	m.State = Alive
	m.Seq, m.Revision = 1, 1
	m.Epoch = max(m.Epoch, uint64(max(cfg.Clock().UnixMilli(), 1)))
	t := &table{cfg: cfg, rows: map[memberID]*record{}, holderByAddr: map[string]memberID{}, timeouts: newTimeouts(cfg.ProbeTimeout)}
	t.self = &record{id: id, m: m}
	t.insert(t.self)
	return t
}

// announce changes the own row and raises its Seq and Revision. It restores the fields
// that are fixed for an incarnation.
func (t *table) announce(change func(*Member)) {
	self := &t.self.m
	before := *self
	change(self)
	self.ID, self.Service, self.Addr, self.GossipAddr = before.ID, before.Service, before.Addr, before.GossipAddr
	self.Zone, self.Region, self.State = before.Zone, before.Region, before.State
	self.Seq = before.Seq
	t.selfChanged, t.selfDescriptionChanged = true, true
	self.Revision = before.Revision + 1
	t.setSeq(t.self, before.Seq+1)
}

// applyAlive applies an Alive claim, with or without a new description.
func (t *table) applyAlive(row *record, e *Entry) {
	if !row.m.State.gone() {
		t.retire(row)
	}
	if e.hasDescription() {
		row.m = e.member()
	}
	row.m.Seq, row.m.State = e.Seq, Alive
	t.insert(row)
}

// resolveAddrHolder decides between row and another incarnation at the same address.
//
// A restarted process has the address of its predecessor, so probes of the old
// incarnation are answered and nobody suspects it. The incarnation with the higher Epoch
// holds the address, so all members drop the same one without further messages.
func (t *table) resolveAddrHolder(row *record, now time.Time) {
	addr := row.m.GossipAddr
	rivalID, occupied := t.holderByAddr[addr]
	if !occupied || rivalID == row.id {
		t.holderByAddr[addr] = row.id
		return
	}
	rival := t.rows[rivalID]
	if rival == t.self {
		// This process holds the address, so the other incarnation is dead. Its Epoch may
		// still be higher if the clock went back between the two starts; all members
		// would then consider the dead incarnation the holder.
		if row.m.Epoch >= rival.m.Epoch {
			t.announce(func(m *Member) { m.Epoch = min(row.m.Epoch+1, maxSeq) })
		}
		t.setState(row, Dead, now)
		return
	}
	loser := rival
	if row.m.Epoch < rival.m.Epoch || (row.m.Epoch == rival.m.Epoch && slices.Compare(row.id[:], rival.id[:]) < 0) {
		loser = row
	}
	t.setState(loser, Dead, now)
	if loser == rival {
		t.holderByAddr[addr] = row.id
	}
}

// suspect marks a member Suspect after a failed probe, unless the member has answered or
// raised its Seq meanwhile. seq is the member's Seq at the start of the probe, and since
// the time of the start.
func (t *table) suspect(id memberID, seq uint64, since, now time.Time) bool {
	row := t.rows[id]
	if row == nil || row == t.self || row.m.State != Alive || row.m.Seq != seq {
		return false
	}
	if row.lastAnswer.After(since) {
		return false
	}
	t.setState(row, Suspect, now)
	return true
}

// markDead records a confirmed death: another incarnation answers at the member's
// address, or another member's suspicion ran out and this process can't reach the member
// either.
func (t *table) markDead(id memberID, now time.Time) bool {
	row := t.rows[id]
	if row == nil || row == t.self || row.m.State.gone() {
		return false
	}
	t.setState(row, Dead, now)
	return true
}

// expire ends overdue suspicions and forgets gone members. It returns the members that
// were declared dead.
func (t *table) expire(now time.Time) []memberID {
	var died []memberID
	for id, row := range t.rows {
		if row.m.State == Alive || now.Before(row.deadline) {
			continue
		}
		if row.m.State == Suspect {
			t.setState(row, Dead, now)
			died = append(died, id)
			continue
		}
		if row != t.self {
			t.forget(row)
		}
	}
	return died
}

// postpone extends all suspicions. During a pause of this process the suspects' answers
// could not be received, so that time doesn't count.
func (t *table) postpone(by time.Duration) {
	for _, row := range t.rows {
		if row.m.State == Suspect {
			row.deadline = row.deadline.Add(by)
		}
	}
}

// suspicionTimeout returns the duration of a suspicion. It grows with the time that
// updates take to spread, and with the members' answer times.
func (t *table) suspicionTimeout() time.Duration {
	base := time.Duration(t.cfg.SuspicionMult * float64(t.cfg.Interval) * t.log10Members())
	return t.timeouts.stretch(base)
}

// answered records an answer of a member. If the member is Suspect, its suspicion starts
// over: the claim against it still has to be sent, so that the member can refute it.
// answered reports whether to send that claim.
func (t *table) answered(id memberID, now time.Time) (refute bool) {
	row := t.rows[id]
	if row == nil || row == t.self {
		return false
	}
	row.lastAnswer = now
	if row.m.State != Suspect {
		return false
	}
	row.deadline = now.Add(t.suspicionTimeout())
	return true
}

// log10Members returns log10 of the number of members, but at least 2, so that in a small
// fleet, too, a process that stops for two seconds is not declared dead.
func (t *table) log10Members() float64 { return max(2, math.Log10(float64(t.alive))) }

// leave marks the own row as Left. Other members must not set that state.
func (t *table) leave(now time.Time) {
	t.setSeq(t.self, t.self.m.Seq+1)
	t.setState(t.self, Left, now)
}

// living returns the members that are not gone, excluding self, by ID.
func (t *table) living() []memberID {
	return t.livingWhere(func(*Member) bool { return true })
}

// livingInZone returns the living members in this process's availability zone.
func (t *table) livingInZone() []memberID {
	return t.livingWhere(func(m *Member) bool { return m.Zone == t.self.m.Zone })
}

func (t *table) livingWhere(wanted func(*Member) bool) []memberID {
	ids := make([]memberID, 0, len(t.order))
	for _, row := range t.order {
		if row != t.self && !row.m.State.gone() && wanted(&row.m) {
			ids = append(ids, row.id)
		}
	}
	return ids
}
