package baseline

import "strconv"

// ListenError reports that a forwarder could not open a port.
type ListenError struct {
	Service string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "forwarder of " + e.Service + ": listen: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// AnswerError reports a response with a 5xx status, after which the forwarder
// makes another attempt.
type AnswerError struct {
	Addr   string
	Status int
}

// Error implements error.
func (e *AnswerError) Error() string { return e.Addr + ": status " + strconv.Itoa(e.Status) }

// TargetError reports that a service has no replicas.
type TargetError struct{ Service string }

// Error implements error.
func (e *TargetError) Error() string { return "no replica of " + strconv.Quote(e.Service) }
