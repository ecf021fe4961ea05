package upstream

import "strconv"

// StampError reports an operation stamp without the form "operation.try".
type StampError struct{ Text string }

// Error implements error.
func (e *StampError) Error() string {
	return "operation stamp " + strconv.Quote(e.Text) + ": want operation.try"
}

// AnswerError reports an incomplete answer.
type AnswerError struct {
	// Length is the number of bytes received.
	Length int
	// Missing names the part of the answer that is missing.
	Missing string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return "answer of " + strconv.Itoa(e.Length) + " bytes lacks its " + e.Missing
}

// ListenError reports that an upstream could not open its port.
type ListenError struct {
	Service string
	Replica int
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "upstream " + e.Service + "/" + strconv.Itoa(e.Replica) + ": listen: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// RouteError reports a route table that can't be served.
type RouteError struct {
	Service string
	Route   string
	Problem string
}

// Error implements error.
func (e *RouteError) Error() string {
	return "route " + e.Service + "/" + e.Route + ": " + e.Problem
}
