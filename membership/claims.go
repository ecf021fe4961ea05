package membership

import (
	"strconv"
	"time"
)

// claimOutcome is the outcome of applying a claim to the table.
type claimOutcome uint8

const (
	// claimKnown: the claim is already known, or older than the claim in the table.
	claimKnown claimOutcome = iota
	// claimApplied: the claim changed the table and must be forwarded.
	claimApplied
	// claimDoubted: the claim says Dead about a member that is Alive in this table, or
	// Alive or Suspect about a member that is gone. A probe of the member decides.
	claimDoubted
	// claimRefuted: the claim is about this process and false; this process has refuted
	// it.
	claimRefuted
	// claimOutdated: the claim is about this process, which has refuted it earlier.
	claimOutdated
	// claimRefused: the claim conflicts with the known identity or is out of bounds.
	claimRefused
	// claimUndescribed: the claim says Alive, but is a short claim and the description it
	// refers to is missing here.
	claimUndescribed
	// claimIgnored: the claim is about an unknown member and can't add it to the table:
	// it is short, says that the member is gone, or the table is full.
	claimIgnored
)

// newer reports whether claim a supersedes claim b in the total order of the claims about
// one incarnation.
func newer(seqA uint64, stateA State, seqB uint64, stateB State) bool {
	if seqA != seqB {
		return seqA > seqB
	}
	return stateA > stateB
}

// apply applies one validated claim to the table.
func (t *table) apply(e *Entry, now time.Time) (claimOutcome, error) {
	id := rawID(e.ID)
	if id == t.self.id {
		return t.applySelf(e)
	}
	row := t.rows[id]
	if row == nil {
		return t.applyNew(id, e, now), nil
	}
	if e.hasDescription() && !row.m.State.gone() {
		// The identity of a gone row may be replaced. If the first claim received about a
		// member was false, the row was declared dead because no probe was answered, and
		// the true claim must still be accepted.
		claimed := e.member()
		if err := sameIdentity(&row.m, &claimed); err != nil {
			t.counts.conflicts++
			return claimRefused, err
		}
	}
	if !newer(e.Seq, e.State, row.m.Seq, row.m.State) {
		if row.m.State == Dead && e.State == Alive && e.Seq == row.m.Seq {
			return claimDoubted, nil
		}
		return claimKnown, nil
	}
	if e.Seq > row.m.Seq+maxSeqAhead {
		t.counts.farAhead++
		return claimRefused, &InvalidError{Field: "seq", Value: strconv.FormatUint(e.Seq, 10), Want: "a Seq near the known one"}
	}
	return t.applyNewer(row, e, now), nil
}

// applyNewer applies a claim that supersedes the row.
func (t *table) applyNewer(row *record, e *Entry, now time.Time) claimOutcome {
	switch e.State {
	case Alive:
		if !e.hasDescription() && e.Revision != row.m.Revision {
			return claimUndescribed
		}
		t.applyAlive(row, e)
		t.resolveAddrHolder(row, now)
		return claimApplied
	case Dead:
		// A member that is Alive in this table is not declared dead on another member's
		// word. When a network partition heals, each side believes the whole other side
		// dead, and accepting that would empty all routing tables at once. A probe
		// decides instead, and carries the claim so that the member can refute it.
		if row.m.State == Alive {
			return claimDoubted
		}
	case Suspect:
		// The member came back and was suspected again, but this process missed its Alive
		// claim.
		if row.m.State.gone() {
			return claimDoubted
		}
	}
	t.setSeq(row, e.Seq)
	t.setState(row, e.State, now)
	return claimApplied
}

// forgetCorruptSeq forgets a member whose Seq in this table is far above the Seq that the
// member itself sends. The first claim received about it was corrupt, and would make
// every true claim look outdated for ever.
func (t *table) forgetCorruptSeq(id memberID, seq uint64) {
	row := t.rows[id]
	if row == nil || row == t.self || row.m.Seq <= seq+maxSeqAhead {
		return
	}
	t.counts.farAhead++
	t.forget(row)
}

// applyNew applies a claim about an incarnation that is not in the table.
func (t *table) applyNew(id memberID, e *Entry, now time.Time) claimOutcome {
	if !e.hasDescription() && e.State == Alive {
		return claimUndescribed
	}
	if !e.hasDescription() || e.State.gone() {
		return claimIgnored
	}
	if len(t.rows) >= t.cfg.MaxMembers && !t.evictGone() {
		t.counts.tableFull++
		return claimIgnored
	}
	row := &record{id: id, m: e.member()}
	row.m.State = Alive
	t.insert(row)
	t.resolveAddrHolder(row, now)
	if e.State == Suspect && row.m.State == Alive {
		t.setState(row, Suspect, now)
	}
	return claimApplied
}

// applySelf applies a claim about this process, and refutes it if this process did not
// make it.
func (t *table) applySelf(e *Entry) (claimOutcome, error) {
	self := &t.self.m
	var conflict error
	if e.hasDescription() {
		claimed := e.member()
		conflict = sameIdentity(self, &claimed)
	}
	if conflict != nil {
		t.counts.conflicts++
	}
	known := e.Seq < self.Seq || (e.Seq == self.Seq && e.State <= self.State && conflict == nil)
	if known && e.State > self.State {
		return claimOutdated, conflict
	}
	if known {
		return claimKnown, conflict
	}
	if e.Seq > self.Seq+maxSeqAhead {
		t.counts.farAhead++
		return claimRefused, &InvalidError{Field: "seq", Value: strconv.FormatUint(e.Seq, 10), Want: "a Seq near this process's own"}
	}
	t.counts.refutations++
	t.setSeq(t.self, e.Seq+1)
	t.selfChanged = true
	return claimRefuted, conflict
}
