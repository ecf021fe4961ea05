package membership

import (
	"encoding/binary"
	"slices"
	"time"
)

// record is one row of the table.
type record struct {
	id memberID
	m  Member
	// published is the copy of m in the published snapshot, nil after a change.
	published *Member
	// deadline is the end of a suspicion, or the time at which a gone member is
	// forgotten.
	deadline time.Time
	// lastAnswer is the time of the member's last answer to this process.
	lastAnswer time.Time
}

// setSeq changes the Seq of a row and updates the digest.
func (t *table) setSeq(row *record, seq uint64) {
	if !row.m.State.gone() {
		t.toggleDigest(row.id, row.m.Seq)
		t.toggleDigest(row.id, seq)
	}
	row.m.Seq = seq
	t.markChanged(row)
}

// setState changes the state of a row at the same Seq.
func (t *table) setState(row *record, state State, now time.Time) {
	if row.m.State == state {
		return
	}
	if state.gone() && !row.m.State.gone() {
		t.retire(row)
	}
	row.m.State = state
	t.markChanged(row)
	switch state {
	case Suspect:
		t.counts.suspicions++
		row.deadline = now.Add(t.suspicionTimeout())
	case Dead:
		t.counts.deaths++
		row.deadline = now.Add(t.cfg.DeadRetention)
	case Left:
		row.deadline = now.Add(t.cfg.DeadRetention)
	}
}

// insert adds a new row that is not gone, or one that has just come back.
func (t *table) insert(row *record) {
	if t.rows[row.id] == nil {
		i, _ := t.find(row.id)
		t.order = slices.Insert(t.order, i, row)
	}
	t.rows[row.id] = row
	t.alive++
	t.toggleDigest(row.id, row.m.Seq)
	if _, occupied := t.holderByAddr[row.m.GossipAddr]; !occupied {
		t.holderByAddr[row.m.GossipAddr] = row.id
	}
	t.markChanged(row)
	t.membersChanged = true
}

// retire removes a row from the count, the digest and the address index of the members
// that are not gone.
func (t *table) retire(row *record) {
	t.alive--
	t.toggleDigest(row.id, row.m.Seq)
	if t.holderByAddr[row.m.GossipAddr] == row.id {
		delete(t.holderByAddr, row.m.GossipAddr)
	}
	t.membersChanged = true
}

// forget removes a row from the table.
func (t *table) forget(row *record) {
	if !row.m.State.gone() {
		t.retire(row)
	}
	delete(t.rows, row.id)
	if i, ok := t.find(row.id); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
	t.snapshotStale = true
}

// find returns the index of a member in the order by ID, or the index at which it would
// be inserted.
func (t *table) find(id memberID) (int, bool) {
	return slices.BinarySearchFunc(t.order, id, func(row *record, id memberID) int {
		return slices.Compare(row.id[:], id[:])
	})
}

// markChanged invalidates the row's published copy, so that readers see the change.
func (t *table) markChanged(row *record) {
	row.published = nil
	t.snapshotStale = true
}

// evictGone frees a row by forgetting the gone member with the earliest deadline, and
// reports whether there was one.
func (t *table) evictGone() bool {
	var oldest *record
	for _, row := range t.rows {
		if row != t.self && row.m.State.gone() && (oldest == nil || row.deadline.Before(oldest.deadline)) {
			oldest = row
		}
	}
	if oldest == nil {
		return false
	}
	t.forget(oldest)
	return true
}

// toggleDigest adds a row to its bucket's digest, or removes it. The digest covers only
// the members that are not gone, because tombstones expire at different times on
// different members.
func (t *table) toggleDigest(id memberID, seq uint64) {
	x := position(id, seq)
	t.digest[bucketOf(id)] ^= uint32(x)
}

func bucketOf(id memberID) int { return int(id[0]) % bucketCount }

// mix is the finalizer of splitmix64 over two words.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// buckets encodes the digests.
func (t *table) buckets() []byte {
	b := make([]byte, 0, bucketCount*bucketBytes)
	for _, d := range t.digest {
		b = binary.LittleEndian.AppendUint32(b, d)
	}
	return b
}

// differing returns the buckets whose digests differ from the peer's, and whether there
// are any.
func (t *table) differing(peer []byte) (set [bucketCount]bool, any bool) {
	if len(peer) != bucketCount*bucketBytes {
		return set, false
	}
	for i, d := range t.digest {
		if binary.LittleEndian.Uint32(peer[i*bucketBytes:]) != d {
			set[i], any = true, true
		}
	}
	return set, any
}
