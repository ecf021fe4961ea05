package atmostonce

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Witnessed is the witness's record of the open notes of other owners.
type Witnessed struct {
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

// HeldNote is a note with the incarnation of its owner.
type HeldNote struct {
	Note
	Home Incarnation
}

// NewWitnessed creates a record that stores at most limit notes.
func NewWitnessed(limit int) *Witnessed {
	return &Witnessed{limit: limit, owners: make(map[Incarnation]*witnessedOwner)}
}

func (w *Witnessed) owner(id Incarnation) *witnessedOwner {
	h := w.owners[id]
	if h == nil {
		h = &witnessedOwner{notes: make(map[uint64]Note)}
		w.owners[id] = h
	}
	return h
}

// Take stores notes of an owner. It returns the number of notes rejected
// because the record is full: an open note is never dropped to store another.
func (w *Witnessed) Take(owner Incarnation, notes []Note, now time.Time) (rejected int) {
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

// Hear applies an owner's snapshot of its open notes. The numbers must be in
// ascending order.
func (w *Witnessed) Hear(owner Incarnation, snapshot OpenNotes) {
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
func (w *Witnessed) hasCapacity(now time.Time) bool {
	if w.count >= w.limit {
		w.expire(now)
	}
	return w.count < w.limit
}

func (w *Witnessed) expire(now time.Time) {
	for _, h := range w.owners {
		w.dropMatching(h, func(note Note) bool { return !now.Before(note.Expires) })
	}
}

func (w *Witnessed) dropMatching(h *witnessedOwner, matches func(Note) bool) {
	before := len(h.notes)
	maps.DeleteFunc(h.notes, func(_ uint64, note Note) bool { return matches(note) })
	w.count -= before - len(h.notes)
}

// Lost returns the notes of owners that are not alive, the oldest first. It
// drops expired notes, and owners that are not alive and have no notes.
func (w *Witnessed) Lost(now time.Time, isAlive func(owner Incarnation) bool) []HeldNote {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	var lost []HeldNote
	for id, h := range w.owners {
		if isAlive(id) {
			continue
		}
		if len(h.notes) == 0 {
			delete(w.owners, id)
		}
		for _, note := range h.notes {
			lost = append(lost, HeldNote{Note: note, Home: id})
		}
	}
	slices.SortFunc(lost, func(a, b HeldNote) int {
		return cmp.Or(olderNote(a.Note, b.Note), cmp.Compare(a.Home, b.Home))
	})
	return lost
}

// Len returns the number of stored notes.
func (w *Witnessed) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}
