package atmostonce

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// WitnessStore is the witness's record of the open notes of other owners.
type WitnessStore struct {
	mu     sync.Mutex
	limit  int
	count  int
	owners map[Incarnation]*witnessedOwner
}

// witnessedOwner holds the notes and the latest snapshot of one owner.
type witnessedOwner struct {
	snapshot OpenNotes
	notes    map[uint64]Note
}

// WitnessedNote is a note with the incarnation of its owner.
type WitnessedNote struct {
	Note
	Home Incarnation
}

// NewWitnessStore creates an empty WitnessStore for at most limit notes.
func NewWitnessStore(limit int) *WitnessStore {
	return &WitnessStore{limit: limit, owners: make(map[Incarnation]*witnessedOwner)}
}

func (w *WitnessStore) owner(id Incarnation) *witnessedOwner {
	h := w.owners[id]
	if h == nil {
		h = &witnessedOwner{notes: make(map[uint64]Note)}
		w.owners[id] = h
	}
	return h
}

// StoreNotes stores notes of an owner. It returns the number of notes rejected
// because the record is full: an open note is never dropped to store another.
func (w *WitnessStore) StoreNotes(owner Incarnation, notes []Note, now time.Time) (rejected int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.owner(owner)
	for _, note := range notes {
		_, known := h.notes[note.Number]
		switch {
		case known || h.snapshot.settles(note.Number):
		case !w.hasCapacity(now):
			rejected++
		default:
			h.notes[note.Number] = note
			w.count++
		}
	}
	return rejected
}

// Update applies an owner's snapshot of its open notes. The numbers must be in
// ascending order.
func (w *WitnessStore) Update(owner Incarnation, snapshot OpenNotes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.owner(owner)
	if snapshot.Seq <= h.snapshot.Seq {
		return
	}
	h.snapshot = snapshot
	w.dropMatching(h, func(note Note) bool { return snapshot.settles(note.Number) })
}

// hasCapacity reports whether one more note can be stored, after expired notes
// have been dropped if necessary.
func (w *WitnessStore) hasCapacity(now time.Time) bool {
	if w.count >= w.limit {
		w.expire(now)
	}
	return w.count < w.limit
}

func (w *WitnessStore) expire(now time.Time) {
	for _, h := range w.owners {
		w.dropMatching(h, func(note Note) bool { return !now.Before(note.Expires) })
	}
}

func (w *WitnessStore) dropMatching(h *witnessedOwner, matches func(Note) bool) {
	before := len(h.notes)
	maps.DeleteFunc(h.notes, func(_ uint64, note Note) bool { return matches(note) })
	w.count -= before - len(h.notes)
}

// OrphanedNotes returns the notes of owners that are not alive, the oldest first. It
// drops expired notes, and owners that are not alive and have no notes.
func (w *WitnessStore) OrphanedNotes(now time.Time, isAlive func(owner Incarnation) bool) []WitnessedNote {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	var lost []WitnessedNote
	for id, h := range w.owners {
		if isAlive(id) {
			continue
		}
		if len(h.notes) == 0 {
			delete(w.owners, id)
		}
		for _, note := range h.notes {
			lost = append(lost, WitnessedNote{Note: note, Home: id})
		}
	}
	slices.SortFunc(lost, func(a, b WitnessedNote) int {
		return cmp.Or(olderNote(a.Note, b.Note), cmp.Compare(a.Home, b.Home))
	})
	return lost
}

// Len returns the number of stored notes.
func (w *WitnessStore) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}
