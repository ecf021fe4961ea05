package membership

import (
	"math"
	"slices"
	"time"
)

// table holds the claims that are believed. It does no I/O, takes the time as
// a value and is not safe for concurrent use.
type table struct {
	cfg    *Config
	self   *record
	rows   map[memberID]*record
	order  []*record           // rows by ID
	holder map[string]memberID // by gossip address, of members that are not gone
	alive  int                 // rows that are not gone, self included
	digest [bucketCount]uint32 // of rows that are not gone
	// changed is set when what readers see has changed, moved when the set of
	// members that are not gone has.
	changed, moved bool
	// announced is set when the own row changed while claims were taken in,
	// described when its description did.
	announced, described bool
	counts               counters
	// patience follows how long members take to answer.
	patience patience
}

// counters are events that only the table sees.
type counters struct {
	suspicions, deaths, refutations, conflicts, farAhead, full uint64
}

func newTable(cfg *Config) *table {
	id, _ := parseID(cfg.Self.ID)
	m := cfg.Self.clone()
	m.State = Alive
	m.Seq, m.Revision = 1, 1
	m.Epoch = max(m.Epoch, uint64(max(cfg.Clock().UnixMilli(), 1)))
	t := &table{cfg: cfg, rows: map[memberID]*record{}, holder: map[string]memberID{}, patience: newPatience(cfg.ProbeTimeout)}
	t.self = &record{id: id, m: m}
	t.insert(t.self)
	return t
}

// announce changes the own row and raises its Seq and Revision.
func (t *table) announce(change func(*Member)) {
	self := &t.self.m
	before := *self
	change(self)
	self.ID, self.Service, self.Addr, self.GossipAddr = before.ID, before.Service, before.Addr, before.GossipAddr
	self.Zone, self.Region, self.State = before.Zone, before.Region, before.State
	self.Seq = before.Seq
	t.announced, t.described = true, true
	self.Revision = before.Revision + 1
	t.setSeq(t.self, before.Seq+1)
}

// describe takes in a claim of life, with a new description or without.
func (t *table) describe(row *record, e *Entry) {
	if !row.m.State.gone() {
		t.retire(row)
	}
	if e.full() {
		row.m = e.member()
	}
	row.m.Seq, row.m.State = e.Seq, Alive
	t.insert(row)
}

// settleHolder decides between row and another incarnation at its address.
//
// A restarted process comes back at the address of the one it replaced, which
// nobody can suspect by probing: the address answers. The higher Epoch holds
// the address, so all members drop the same one without a message.
func (t *table) settleHolder(row *record, now time.Time) {
	addr := row.m.GossipAddr
	rivalID, taken := t.holder[addr]
	if !taken || rivalID == row.id {
		t.holder[addr] = row.id
		return
	}
	rival := t.rows[rivalID]
	if rival == t.self {
		// The address is ours, so the other one is history. Its Epoch may
		// still be the higher one, if the clock went back between the two
		// starts; everyone would then hold the dead one to be the holder.
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
		t.holder[addr] = row.id
	}
}

// suspect starts a suspicion after a probe of seq that began at since and
// failed, unless the member answered meanwhile.
func (t *table) suspect(id memberID, seq uint64, since, now time.Time) bool {
	row := t.rows[id]
	if row == nil || row == t.self || row.m.State != Alive || row.m.Seq != seq {
		return false
	}
	if row.heard.After(since) {
		return false
	}
	t.setState(row, Suspect, now)
	return true
}

// markDead records certain news of a death: another incarnation answers at the
// member's address, or someone's suspicion ran out and nobody reaches it.
func (t *table) markDead(id memberID, now time.Time) bool {
	row := t.rows[id]
	if row == nil || row == t.self || row.m.State.gone() {
		return false
	}
	t.setState(row, Dead, now)
	return true
}

// expire ends suspicions and forgets dead members. It returns who died.
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

// postpone moves the end of all suspicions. After a pause of this process the
// suspects had no chance to be heard, so the time that passed doesn't count.
func (t *table) postpone(by time.Duration) {
	for _, row := range t.rows {
		if row.m.State == Suspect {
			row.deadline = row.deadline.Add(by)
		}
	}
}

// suspicionTimeout grows with the time that news takes to spread, and with how
// late members answer.
func (t *table) suspicionTimeout() time.Duration {
	calm := time.Duration(t.cfg.SuspicionMult * float64(t.cfg.Interval) * t.magnitude())
	return t.patience.stretch(calm)
}

// answered records a sign of life. A suspect has its time again: the claim
// against it, which lets it refute, is on its way. It reports whether to send it.
func (t *table) answered(id memberID, now time.Time) (refute bool) {
	row := t.rows[id]
	if row == nil || row == t.self {
		return false
	}
	row.heard = now
	if row.m.State != Suspect {
		return false
	}
	row.deadline = now.Add(t.suspicionTimeout())
	return true
}

// magnitude is log10 of the number of members, at least 2: a process that
// stands still for two seconds must not be taken for dead in a small fleet
// either.
func (t *table) magnitude() float64 { return max(2, math.Log10(float64(t.alive))) }

// leave marks the own row as Left, which no other member may do for it.
func (t *table) leave(now time.Time) {
	t.setSeq(t.self, t.self.m.Seq+1)
	t.setState(t.self, Left, now)
}

// living returns the members that are not gone, self excluded, by ID.
func (t *table) living() []memberID {
	return t.livingWhere(func(*Member) bool { return true })
}

// livingInZone returns those in the availability zone of this process.
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
