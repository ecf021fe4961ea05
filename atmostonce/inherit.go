package atmostonce

import (
	"context"
	"maps"
	"time"
)

// maxIncoming limits the number of senders whose hand-overs are remembered.
const maxIncoming = 1024

// incoming is the state of the hand-overs from one sender, on the successor.
type incoming struct {
	attempt   uint64
	total     int
	staged    map[int]Chunk
	reserved  int64
	touched   time.Time
	committed uint64 // the attempt that was committed, 0 if none
	aborted   uint64 // this and all earlier attempts can no longer be committed
}

// hasCommitted reports whether this attempt was committed on this node. in may
// be nil.
func (in *incoming) hasCommitted(attempt uint64) bool {
	return in != nil && in.committed != 0 && in.committed == attempt
}

// incomingFrom returns the state for a sender and creates it if there is none.
// It returns nil if there are too many senders.
func (t *Table) incomingFrom(sender Incarnation) *incoming {
	in := t.incoming[sender]
	if in == nil && len(t.incoming) < maxIncoming {
		in = &incoming{}
		t.incoming[sender] = in
	}
	return in
}

// Stage stores a chunk until the commit. Repeating it has no further effect.
func (t *Table) Stage(_ context.Context, chunk Chunk) error {
	t.control.Lock()
	defer t.control.Unlock()
	if t.incoming[chunk.From].hasCommitted(chunk.Attempt) {
		return nil
	}
	code := t.rejectionCode(chunk.From, chunk.To, chunk.Attempt)
	if code == "" {
		code = t.storeChunk(chunk)
	}
	return inheritError(code, chunk.From, chunk.Attempt)
}

// wellFormed reports whether a chunk can be part of a hand-over.
func (c Chunk) wellFormed() bool {
	return c.Total >= 1 && c.Seq >= 0 && c.Seq < c.Total && c.From != c.To
}

// storeChunk stores a chunk of the sender's current attempt and reserves
// capacity for its entries, or returns the reason why it can't.
func (t *Table) storeChunk(chunk Chunk) InheritCode {
	if !chunk.wellFormed() {
		return InheritMalformed
	}
	in := t.incomingFrom(chunk.From)
	if in == nil {
		return InheritNoCapacity
	}
	if in.attempt != chunk.Attempt {
		t.dropStaged(in)
		in.attempt = chunk.Attempt
		in.total = chunk.Total
	}
	if in.total != chunk.Total {
		return InheritMalformed
	}
	delta := int64(len(chunk.Entries) - len(in.staged[chunk.Seq].Entries))
	if !t.reserve(delta) {
		return InheritNoCapacity
	}
	if in.staged == nil {
		in.staged = make(map[int]Chunk)
	}
	in.reserved += delta
	in.staged[chunk.Seq] = chunk
	in.touched = t.clock.now()
	return ""
}

// rejectionCode returns the reason for which a message of an attempt that hasn't
// been committed must be rejected, or an empty code.
func (t *Table) rejectionCode(from, to Incarnation, attempt uint64) InheritCode {
	in := t.incoming[from]
	switch {
	case in != nil && attempt <= in.aborted:
		return InheritAborted
	case to != t.current.Load().incarnation:
		return InheritWrongNode
	case t.current.Load().phase != phaseActive:
		return InheritNotActive
	case in != nil && attempt < in.attempt, attempt == 0:
		return InheritMalformed
	}
	return ""
}

// dropStaged drops the staged chunks. This is always safe, because a commit is
// then rejected as incomplete.
func (t *Table) dropStaged(in *incoming) {
	t.unreserve(in.reserved)
	in.reserved = 0
	in.staged = nil
}

// complete reports whether all chunks of the attempt in request are staged. in
// may be nil.
func (in *incoming) complete(request CommitRequest) bool {
	return in != nil && in.attempt == request.Attempt && in.total == request.Total && len(in.staged) == in.total
}

// Commit makes this node the owner of all staged keys. Repeating it yields the
// same result.
func (t *Table) Commit(_ context.Context, request CommitRequest) error {
	t.control.Lock()
	defer t.control.Unlock()
	in := t.incoming[request.From]
	if in.hasCommitted(request.Attempt) {
		return nil
	}
	code := t.rejectionCode(request.From, request.To, request.Attempt)
	if code == "" && !in.complete(request) {
		code = InheritIncomplete
	}
	if code == "" {
		t.inherit(in)
	}
	return inheritError(code, request.From, request.Attempt)
}

// inherit stores all fates before any shard is informed of the ownership, so
// that no inherited key can look absent before its fate is stored.
func (t *Table) inherit(in *incoming) {
	now := t.clock.now()
	owned := make(map[Incarnation]ownerClock)
	for _, record := range in.staged[0].Homes {
		clockOffset := max(time.Unix(0, record.NowUnixNano).Sub(now), 0)
		owned[record.Incarnation] = ownerClock{clockOffset: clockOffset, keysExpireAt: time.Unix(0, record.RetireUnixNano).Add(-clockOffset)}
	}
	for _, chunk := range in.staged {
		for _, record := range chunk.Entries {
			t.storeFate(record, owned[record.Home].clockOffset, now)
		}
	}
	in.committed = in.attempt
	t.dropStaged(in)
	t.changeView(func(v *view) { maps.Copy(v.owned, owned) })
}

// storeFate stores an inherited fate. The fate replaces an entry whose call
// this node has not sent: one that was released or is being released, one for
// which the store is being queried, or one that is claimed and not dispatched.
//
// If an existing entry won over the fate, a key could run twice: this node
// queries the store about a key, or releases its claim, while the node that ran
// the key hands it over. The fate would be dropped, the claim in the store
// would then name an owner that this node has just inherited, and the key would
// run here again. Replacing the entry is sufficient: an inquiry, a release and
// a run act only on an entry that is still in the table, and check that under
// the lock held here.
func (t *Table) storeFate(record EntryRecord, clockOffset time.Duration, now time.Time) {
	s := t.shard(record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.entries[record.Key]; old != nil {
		if old.state.sent() {
			return
		}
		t.revoke(s, old)
	}
	e := record.entry(clockOffset, now)
	s.entries[record.Key] = e
	t.count.Add(1)
	if record.Answer != nil {
		s.storeAnswer(e, record.Answer, t.cfg.MaxAnswerBytes)
	}
	if e.unsaved && t.cfg.Store != nil {
		t.work.addUnsaved(e.Key)
	}
}

// Abort guarantees that this and all earlier attempts of the sender will never
// be committed here, even if their messages arrive late. It fails with
// InheritCommitted if the attempt has already been committed, and with
// InheritWrongNode if the requested incarnation no longer exists: it may have
// committed before.
func (t *Table) Abort(_ context.Context, request AbortRequest) error {
	t.control.Lock()
	defer t.control.Unlock()
	return inheritError(t.abort(request), request.From, request.Attempt)
}

func (t *Table) abort(request AbortRequest) InheritCode {
	switch {
	case t.incoming[request.From].hasCommitted(request.Attempt):
		return InheritCommitted
	case request.To != t.current.Load().incarnation:
		return InheritWrongNode
	}
	in := t.incomingFrom(request.From)
	if in == nil {
		return InheritNoCapacity
	}
	in.aborted = max(in.aborted, request.Attempt)
	if in.attempt <= in.aborted {
		t.dropStaged(in)
	}
	return ""
}

// dropExpiredOwners drops inherited and handed-over incarnations all of whose
// keys have expired. It also drops staged chunks whose sender has sent nothing
// for StagedTimeout.
func (t *Table) dropExpiredOwners(now time.Time) {
	t.control.Lock()
	defer t.control.Unlock()
	for _, in := range t.incoming {
		if in.staged != nil && now.Sub(in.touched) > t.cfg.StagedTimeout {
			t.dropStaged(in)
		}
	}
	v := t.current.Load().clone()
	ownedBefore, newOwnersBefore := len(v.owned), len(v.newOwners)
	maps.DeleteFunc(v.owned, func(_ Incarnation, h ownerClock) bool {
		return !h.keysExpireAt.IsZero() && now.After(h.keysExpireAt)
	})
	maps.DeleteFunc(v.newOwners, func(_ Incarnation, m newOwner) bool { return now.After(m.keysExpireAt) })
	if len(v.owned) != ownedBefore || len(v.newOwners) != newOwnersBefore {
		t.changeView(func(c *view) { c.owned, c.newOwners = v.owned, v.newOwners })
	}
}
