package atmostonce

import (
	"cmp"
	"slices"
	"time"
)

// Note is what a home tells its witness of a call that it is about to
// dispatch: enough for an operator to look the call up, nothing to run it or
// to answer for it. A witness has no say in whether a key may run.
type Note struct {
	// Number is the home's own count.
	Number uint64 `json:"number"`
	// Key is redacted.
	Key     string    `json:"key"`
	Request string    `json:"request"`
	Profile string    `json:"profile"`
	Since   time.Time `json:"since"`
	Expires time.Time `json:"expires"`
}

// OpenNotes is a home's word on which of its notes are open. Of the numbers up
// to Through all others are settled, also those of notes still on their way.
//
// The failure: a list of the settled notes was lost or overtaken by a note that
// its home had given up waiting for, and the witness kept a settled call as an
// open one. The whole state mends what an earlier message missed.
type OpenNotes struct {
	// Seq orders the home's words; a later one replaces an earlier one.
	Seq     uint64   `json:"seq"`
	Through uint64   `json:"through"`
	Numbers []uint64 `json:"numbers,omitempty"`
}

// settles reports whether the word says that a note is settled.
func (o OpenNotes) settles(number uint64) bool {
	_, open := slices.BinarySearch(o.Numbers, number)
	return number <= o.Through && !open
}

// olderNote orders notes by their age.
func olderNote(a, b Note) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Number, b.Number))
}
