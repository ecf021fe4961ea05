package atmostonce

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Noted is the home's side: its open notes and who may have them.
type Noted struct {
	mu    sync.Mutex
	limit int
	count uint64
	seq   uint64
	open  map[uint64]*notedCall
	// stale are members whose last confirmed word is no longer true, with the
	// sequence number that the next word must reach.
	stale map[string]uint64
}

type notedCall struct {
	Note
	// sending tells that the note is on its way to a first witness.
	sending bool
	// witness has confirmed the note; may are all members that may have it.
	witness string
	may     []string
}

// NewNoted returns the record of a home that has at most limit open notes.
func NewNoted(limit int) *Noted {
	return &Noted{limit: limit, open: make(map[uint64]*notedCall), stale: make(map[string]uint64)}
}

// Add numbers a note that is about to be sent to a member, which may be empty.
// It fails if too many notes are open.
func (n *Noted) Add(note Note, to string) (Note, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.open) >= n.limit {
		return note, false
	}
	n.count++
	note.Number = n.count
	c := &notedCall{Note: note, sending: to != ""}
	if to != "" {
		c.may = []string{to}
	}
	n.open[note.Number] = c
	return note, true
}

// Sent records what came of sending notes to a member.
func (n *Noted) Sent(notes []Note, to string, confirmed bool) {
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

// Settle ends a note: the call's fate is known, or its key was not run.
func (n *Noted) Settle(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.open[number]; c != nil {
		n.end(c)
	}
}

// end removes a note. The caller holds the lock.
func (n *Noted) end(c *notedCall) {
	delete(n.open, c.Number)
	n.seq++
	for _, member := range c.may {
		n.stale[member] = n.seq
	}
}

// Missing returns at most limit open notes that no living member has confirmed,
// the oldest first, and gives up those that have expired.
func (n *Noted) Missing(now time.Time, lives func(member string) bool, limit int) []Note {
	n.mu.Lock()
	defer n.mu.Unlock()
	var notes []Note
	for _, c := range n.open {
		switch {
		case c.sending:
		case !now.Before(c.Expires):
			n.end(c)
		case c.witness == "" || !lives(c.witness):
			notes = append(notes, c.Note)
		}
	}
	slices.SortFunc(notes, olderNote)
	return notes[:min(len(notes), limit)]
}

// Offer records that notes which went missing are about to be sent to a member,
// and returns the word to send with them: without it the member could take them
// for settled.
func (n *Noted) Offer(notes []Note, to string) OpenNotes {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, note := range notes {
		if c := n.open[note.Number]; c != nil && !slices.Contains(c.may, to) {
			c.may = append(c.may, to)
		}
	}
	return n.word(to)
}

// Stale returns the members that are to get a word.
func (n *Noted) Stale() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.stale))
}

// Word returns which notes that a member may have are open.
func (n *Noted) Word(to string) OpenNotes {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.word(to)
}

func (n *Noted) word(to string) OpenNotes {
	n.seq++
	w := OpenNotes{Seq: n.seq, Through: n.count}
	for number, c := range n.open {
		if slices.Contains(c.may, to) {
			w.Numbers = append(w.Numbers, number)
		}
	}
	slices.Sort(w.Numbers)
	return w
}

// Heard records that a member has taken a word.
func (n *Noted) Heard(member string, seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stale[member] <= seq {
		delete(n.stale, member)
	}
}

// Forget drops a member that has left or is no longer known.
func (n *Noted) Forget(member string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.stale, member)
}
