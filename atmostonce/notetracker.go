package atmostonce

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// NoteTracker is the owner's record of its open notes and of the members that may
// have received them.
type NoteTracker struct {
	mu         sync.Mutex
	limit      int
	lastNumber uint64
	seq        uint64
	open       map[uint64]*openNote
	// stale holds the members whose last confirmed snapshot is out of date,
	// each with the sequence number that its next snapshot must reach.
	stale map[string]uint64
}

// openNote is an open note and its delivery state.
type openNote struct {
	Note
	// sending is true while the note is being sent to its first witness.
	sending bool
	// witness is the member that confirmed the note. recipients lists all members
	// that may have received it.
	witness    string
	recipients []string
}

// NewNoteTracker creates an empty NoteTracker for at most limit open notes.
func NewNoteTracker(limit int) *NoteTracker {
	return &NoteTracker{limit: limit, open: make(map[uint64]*openNote), stale: make(map[string]uint64)}
}

// Add assigns a number to a note that is about to be sent to a member. to is
// empty if there is no such member. Add reports false if too many notes are
// open.
func (n *NoteTracker) Add(note Note, to string) (Note, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.open) >= n.limit {
		return note, false
	}
	n.lastNumber++
	note.Number = n.lastNumber
	c := &openNote{Note: note, sending: to != ""}
	if to != "" {
		c.recipients = []string{to}
	}
	n.open[note.Number] = c
	return note, true
}

// RecordSent records whether a member has confirmed the notes that were sent to it.
func (n *NoteTracker) RecordSent(notes []Note, to string, confirmed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, note := range notes {
		c := n.open[note.Number]
		if c == nil {
			continue
		}
		c.sending = false
		if confirmed {
			c.witness = to
		}
	}
}

// Settle removes an open note: the call's fate is known, or the call was not
// run.
func (n *NoteTracker) Settle(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.open[number]; c != nil {
		n.remove(c)
	}
}

// remove removes a note and marks its recipients as stale. The caller holds the
// lock.
func (n *NoteTracker) remove(c *openNote) {
	delete(n.open, c.Number)
	n.seq++
	for _, member := range c.recipients {
		n.stale[member] = n.seq
	}
}

// Unconfirmed returns at most limit open notes that no live member has confirmed,
// the oldest first. It drops notes that have expired.
func (n *NoteTracker) Unconfirmed(now time.Time, isAlive func(member string) bool, limit int) []Note {
	n.mu.Lock()
	defer n.mu.Unlock()
	var notes []Note
	for _, c := range n.open {
		switch {
		case c.sending:
		case !now.Before(c.Expires):
			n.remove(c)
		case c.witness == "" || !isAlive(c.witness):
			notes = append(notes, c.Note)
		}
	}
	slices.SortFunc(notes, olderNote)
	return notes[:min(len(notes), limit)]
}

// AddRecipient records that notes returned by Unconfirmed are about to be sent to a
// member, and returns the snapshot to send with them. Without the snapshot the
// member could treat these notes as settled.
func (n *NoteTracker) AddRecipient(notes []Note, to string) OpenNotes {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, note := range notes {
		if c := n.open[note.Number]; c != nil && !slices.Contains(c.recipients, to) {
			c.recipients = append(c.recipients, to)
		}
	}
	return n.snapshot(to)
}

// Stale returns the members that need a new snapshot.
func (n *NoteTracker) Stale() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.stale))
}

// OpenNotesFor returns a snapshot of the open notes that a member may have received.
func (n *NoteTracker) OpenNotesFor(to string) OpenNotes {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.snapshot(to)
}

// snapshot returns the result of OpenNotesFor. The caller holds the lock.
func (n *NoteTracker) snapshot(to string) OpenNotes {
	n.seq++
	w := OpenNotes{Seq: n.seq, Through: n.lastNumber}
	for number, c := range n.open {
		if slices.Contains(c.recipients, to) {
			w.Numbers = append(w.Numbers, number)
		}
	}
	slices.Sort(w.Numbers)
	return w
}

// Confirm records that a member has accepted the snapshot with sequence number
// seq.
func (n *NoteTracker) Confirm(member string, seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stale[member] <= seq {
		delete(n.stale, member)
	}
}

// Forget drops a member that has left or is no longer known.
func (n *NoteTracker) Forget(member string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.stale, member)
}
