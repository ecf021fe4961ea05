package membership

import (
	"cmp"
	"slices"
)

const (
	// rumorSends * ceil(log10 members) is the maximum number of times that one member
	// sends one rumor.
	rumorSends = 4
	// rumorKnown is the number of peers that must already have known a rumor for it to be
	// dropped. Once most peers know it, further sends are wasted; the few that missed it
	// get it by sync.
	rumorKnown = 5
)

// maxDescribed is the number of pending rumors up to which claims are sent with
// descriptions. Above it claims are sent short, and a peer that lacks a description
// requests it: most sends of a rumor reach peers that know it, and during a burst of
// changes those repeated descriptions would be most of the bytes.
const maxDescribed = 8

// rumor is one change that is being disseminated.
type rumor struct {
	id memberID
	// short is set if all members are assumed to know the description already.
	short bool
	sends int
	known int
	// crossed is set once the rumor was sent to the neighbours outside the zone.
	crossed bool
}

// rumors is the queue of changes to disseminate. A send always contains the latest state
// of the table, so a newer change of a member replaces an older one.
type rumors struct {
	byID map[memberID]*rumor
	// version is the rumor of a new configuration version.
	version *rumor
}

func newRumors() *rumors { return &rumors{byID: map[memberID]*rumor{}} }

// add starts or restarts the dissemination of a member's row. If the description is still
// being sent, a refutation does not shorten the rumor.
func (r *rumors) add(id memberID, short bool) {
	if old := r.byID[id]; old != nil && !old.short {
		short = false
	}
	r.byID[id] = &rumor{id: id, short: short}
}

// addVersion starts or restarts the dissemination of the configuration version.
func (r *rumors) addVersion() { r.version = &rumor{} }

func (r *rumors) pending() bool { return len(r.byID) > 0 || r.version != nil }

// pick returns the entries of the least sent rumors that fit into limit bytes, of those
// that accept returns true for, given the rumor and the member's Seq.
func (r *rumors) pick(t *table, limit int, accept func(item *rumor, seq uint64) bool) []Entry {
	if len(r.byID) == 0 {
		return nil
	}
	order := make([]*rumor, 0, len(r.byID))
	for _, item := range r.byID {
		order = append(order, item)
	}
	slices.SortFunc(order, func(a, b *rumor) int {
		if c := cmp.Compare(a.sends, b.sends); c != 0 {
			return c
		}
		return slices.Compare(a.id[:], b.id[:])
	})
	var entries []Entry
	brief := len(order) > maxDescribed
	for _, item := range order {
		e, ok := t.rumorEntry(item, brief)
		if !ok {
			delete(r.byID, item.id)
			continue
		}
		if !accept(item, e.Seq) {
			continue
		}
		if limit -= e.size(); limit < 0 || len(entries) == maxEntries {
			break
		}
		entries = append(entries, e)
	}
	return entries
}

// rumorEntry returns the claim to send for a rumor, or false if the table no longer has
// the member.
func (t *table) rumorEntry(item *rumor, brief bool) (Entry, bool) {
	row := t.rows[item.id]
	if row == nil {
		return Entry{}, false
	}
	if row.m.State == Alive && !item.short && !brief {
		return fullEntry(item.id, &row.m), true
	}
	return stateEntry(item.id, &row.m), true
}

// countDelivered counts entries that reached a peer. known has a bit for each entry that
// the peer knew before, wanted for each one that must be sent again in full.
func (r *rumors) countDelivered(entries []Entry, known, wanted []byte, sendLimit int) {
	for i := range entries {
		item := r.byID[rawID(entries[i].ID)]
		if item == nil || bit(wanted, i) {
			continue
		}
		item.count(bit(known, i))
		if item.done(sendLimit) {
			delete(r.byID, item.id)
		}
	}
}

// markCrossed records that entries, and a new configuration version, were sent to the
// neighbours outside the zone.
func (r *rumors) markCrossed(entries []Entry) {
	for i := range entries {
		if item := r.byID[rawID(entries[i].ID)]; item != nil {
			item.crossed = true
		}
	}
	if r.version != nil {
		r.version.crossed = true
	}
}

// countVersionDelivered is the counterpart of countDelivered for the configuration
// version.
func (r *rumors) countVersionDelivered(known bool, sendLimit int) {
	if r.version == nil {
		return
	}
	r.version.count(known)
	if r.version.done(sendLimit) {
		r.version = nil
	}
}

func (i *rumor) count(known bool) {
	i.sends++
	if known {
		i.known++
	}
}

func (i *rumor) done(sendLimit int) bool { return i.sends >= sendLimit || i.known >= rumorKnown }

func bit(set []byte, i int) bool { return i/8 < len(set) && set[i/8]&(1<<(i%8)) != 0 }

func setBit(set []byte, i int) []byte {
	for len(set) <= i/8 {
		set = append(set, 0)
	}
	set[i/8] |= 1 << (i % 8)
	return set
}
