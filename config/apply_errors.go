package config

import "strconv"

// Fate states what is known about a change that was not reported as applied.
type Fate string

// The values of Fate.
const (
	// FateNotApplied: this Apply changed nothing and will not change anything
	// later.
	FateNotApplied Fate = "not-applied"
	// FateUnknown: a write was sent, its response was lost, and reading the outcome
	// back failed too. Repeat Apply with the same change id to learn the outcome.
	FateUnknown Fate = "unknown"
)

// ApplyError means that a change could not be completed or its outcome is unknown.
type ApplyError struct {
	ChangeID string
	Fate     Fate
	// Cause is the last error of the platform.
	Cause error
}

// Error implements error.
func (e *ApplyError) Error() string {
	return "change " + e.ChangeID + ": " + string(e.Fate) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ApplyError) Unwrap() error { return e.Cause }

// RaceError means that the stored version is not the one that the change was based
// on, usually because another operator applied a change in the meantime. Nothing of
// Mine was applied. Diff(Theirs, Mine) shows what a second attempt would change.
type RaceError struct {
	// Expected is the version that Mine was based on.
	Expected uint64
	Mine     Set
	Theirs   Set
	// RecordMayBeDropped is true if so many changes followed Expected that the record of an
	// earlier Apply with the same change id may have been dropped. This Apply
	// changed nothing in either case.
	RecordMayBeDropped bool
}

// Error implements error.
func (e *RaceError) Error() string {
	return "configuration changed meanwhile: made from version " + strconv.FormatUint(e.Expected, 10) +
		", stored is " + strconv.FormatUint(e.Theirs.Version, 10) +
		" by " + strconv.Quote(e.Theirs.Author) + " (change " + e.Theirs.ChangeID + ")"
}

// ChangeIDError means that a change id was reused for a change with other content.
type ChangeIDError struct {
	ChangeID string
	// Version is the version that the first change with this id created.
	Version uint64
}

// Error implements error.
func (e *ChangeIDError) Error() string {
	return "change id " + strconv.Quote(e.ChangeID) + " already made version " +
		strconv.FormatUint(e.Version, 10) + " with other content"
}

// NoVersionError means that the requested version is not in the history.
type NoVersionError struct {
	Version uint64
	// Stored lists the stored versions, to which Rollback can return.
	Stored []uint64
}

// Error implements error.
func (e *NoVersionError) Error() string {
	text := "version " + strconv.FormatUint(e.Version, 10) + " is not kept; kept are"
	for _, version := range e.Stored {
		text += " " + strconv.FormatUint(version, 10)
	}
	return text
}
