package demo

import "strconv"

// ProfilesError reports that a deployment's profiles could not be read.
type ProfilesError struct {
	Deployment string
	File       string
	Err        error
}

// Error implements error.
func (e *ProfilesError) Error() string {
	return "profiles of " + e.Deployment + " in " + e.File + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ProfilesError) Unwrap() error { return e.Err }

// EditError reports an edit of profiles that are not in the set.
type EditError struct{ Edit Edit }

// Error implements error.
func (e *EditError) Error() string {
	return "edit: no profiles " + strconv.Quote(e.Edit.Lifted) + " and " + strconv.Quote(e.Edit.Lowered)
}

// StartError reports that a part of a system did not start.
type StartError struct {
	Part string
	Err  error
}

// Error implements error.
func (e *StartError) Error() string { return "start " + e.Part + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// ReadyError reports that a system did not become ready in time.
type ReadyError struct {
	System string
	Reason string
}

// Error implements error.
func (e *ReadyError) Error() string { return e.System + " not ready: " + e.Reason }

// OptionError reports an option with an invalid value.
type OptionError struct {
	Option string
	Value  string
	Want   string
}

// Error implements error.
func (e *OptionError) Error() string {
	return "option " + e.Option + ": " + strconv.Quote(e.Value) + ": want " + e.Want
}

// WriteError reports that the demo's output could not be written.
type WriteError struct{ Err error }

// Error implements error.
func (e *WriteError) Error() string { return "write output: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }
