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
	mu    sync.Mutex
	limit int
	count int
	homes map[Incarnation]*witnessedHome
}

type witnessedHome struct {
	word  OpenNotes
	notes map[uint64]Note
}

// HeldNote is a note with the incarnation of its owner.
type HeldNote struct {
	Note
	Home Incarnation
}

// NewWitnessed creates a record that stores at most limit notes.
func NewWitnessed(limit int) *Witnessed {
	return &Witnessed{limit: limit, homes: make(map[Incarnation]*witnessedHome)}
}

func (w *Witnessed) home(id Incarnation) *witnessedHome {
	h := w.homes[id]
	if h == nil {
		h = &witnessedHome{notes: make(map[uint64]Note)}
		w.homes[id] = h
	}
	return h
}

// Take stores notes of an owner. It returns the number of notes rejected
// because the record is full: an open note is never dropped to store another.
func (w *Witnessed) Take(home Incarnation, notes []Note, now time.Time) (refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.home(home)
	for _, note := range notes {
		_, known := h.notes[note.Number]
		switch {
		case known || h.word.settles(note.Number):
		case !w.room(now):
			refused++
		default:
			h.notes[note.Number] = note
			w.count++
		}
	}
	return refused
}

// Hear applies an owner's snapshot of its open notes. The numbers must be in
// ascending order.
func (w *Witnessed) Hear(home Incarnation, word OpenNotes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.home(home)
	if word.Seq <= h.word.Seq {
		return
	}
	h.word = word
	w.drop(h, func(note Note) bool { return word.settles(note.Number) })
}

// room reports whether one more note can be stored, after expired notes have
// been dropped if necessary.
func (w *Witnessed) room(now time.Time) bool {
	if w.count >= w.limit {
		w.expire(now)
	}
	return w.count < w.limit
}

func (w *Witnessed) expire(now time.Time) {
	for _, h := range w.homes {
		w.drop(h, func(note Note) bool { return !now.Before(note.Expires) })
	}
}

func (w *Witnessed) drop(h *witnessedHome, ended func(Note) bool) {
	before := len(h.notes)
	maps.DeleteFunc(h.notes, func(_ uint64, note Note) bool { return ended(note) })
	w.count -= before - len(h.notes)
}

// Lost returns the notes of owners that are not alive, the oldest first. It
// drops expired notes, and owners that are not alive and have no notes.
func (w *Witnessed) Lost(now time.Time, lives func(home Incarnation) bool) []HeldNote {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	var lost []HeldNote
	for id, h := range w.homes {
		if lives(id) {
			continue
		}
		if len(h.notes) == 0 {
			delete(w.homes, id)
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
