package experiment

import "strconv"

// JournalError is a file of finished plays that can't be used.
type JournalError struct {
	Path string
	// Want tells what the file should be; "" if Cause says all.
	Want  string
	Cause error
}

// Error implements error.
func (e *JournalError) Error() string {
	text := "finished plays in " + e.Path
	if e.Want != "" {
		text += ": want " + e.Want
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *JournalError) Unwrap() error { return e.Cause }

// PlayError is a play that could not be played.
type PlayError struct {
	Variant string
	Seed    uint64
	Cause   error
}

// Error implements error.
func (e *PlayError) Error() string {
	return "variant " + strconv.Quote(e.Variant) + ", seed " + strconv.FormatUint(e.Seed, 10) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PlayError) Unwrap() error { return e.Cause }

// StoppedError means that a run was ended before all plays were done. What is
// done is kept.
type StoppedError struct{ Done, Total int }

// Error implements error.
func (e *StoppedError) Error() string {
	return "stopped after " + strconv.Itoa(e.Done) + " of " + strconv.Itoa(e.Total) + " plays; the same command goes on from here"
}

// PlotError is a plot that could not be drawn.
type PlotError struct{ Cause error }

// Error implements error.
func (e *PlotError) Error() string { return "plot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Cause }
