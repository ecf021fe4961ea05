package play

import "strconv"

// HeaderError is a header of a request that can't be read.
type HeaderError struct{ Header, Value string }

// Error implements error.
func (e *HeaderError) Error() string {
	return "header " + e.Header + " can't be read: " + strconv.Quote(e.Value)
}

// StartError means that the nodes of a workload could not be started.
type StartError struct {
	// Service is empty if all nodes run, but did not find one another.
	Service string
	Cause   error
}

// Error implements error.
func (e *StartError) Error() string {
	if e.Service == "" {
		return "the nodes did not all hear of one another"
	}
	return "start a node of " + e.Service + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// StoppedError means that a play was ended before it was whole.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the play was stopped" }
