package atmostonce

import (
	"cmp"
	"slices"
	"time"
)

// Note is the record of a call that an owner sends to its witness before it
// dispatches the call. It lets an operator look the call up after the owner has
// crashed. It isn't enough to run the call or to respond for it, and a witness
// doesn't decide whether a key may run.
type Note struct {
	// Number is assigned by the owner, in rising order.
	Number uint64 `json:"number"`
	// Key is redacted.
	Key     string    `json:"key"`
	Request string    `json:"request"`
	Profile string    `json:"profile"`
	Since   time.Time `json:"since"`
	Expires time.Time `json:"expires"`
}

// OpenNotes is an owner's snapshot of its open notes. All other notes with
// numbers up to Through are settled, including notes that are still in flight
// to the witness.
//
// The owner sends the complete state and not a list of settled notes. Such a
// list could be lost, or be overtaken by a note that the owner had stopped
// waiting for, and the witness would then store a settled call as an open one.
// A complete snapshot makes up for earlier messages that were missed.
type OpenNotes struct {
	// Seq orders the owner's snapshots; a later one replaces an earlier one.
	Seq     uint64   `json:"seq"`
	Through uint64   `json:"through"`
	Numbers []uint64 `json:"numbers,omitempty"`
}

// settles reports whether the snapshot shows that a note is settled.
func (o OpenNotes) settles(number uint64) bool {
	_, open := slices.BinarySearch(o.Numbers, number)
	return number <= o.Through && !open
}

// olderNote orders notes from the oldest to the newest.
func olderNote(a, b Note) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Number, b.Number))
}
