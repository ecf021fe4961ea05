package peerlink

import (
	"os"
	"strconv"
	"time"
)

// UnsentError reports a call that provably was not run: no byte of its request was handed to
// the kernel, or the peer stated that it did not accept it.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "call not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// FrameError reports bytes that break the protocol. The connection is closed.
type FrameError struct {
	// Frame is the type of the frame, "" if it is not known.
	Frame string
	// Want describes what was expected.
	Want string
}

// Error implements error.
func (e *FrameError) Error() string { return "malformed " + e.Frame + " frame: want " + e.Want }

// EncodeError reports a call or response that has no form on a shared connection. A call
// may be sent over HTTP/1.1.
type EncodeError struct {
	Part  string
	Cause error
}

// Error implements error.
func (e *EncodeError) Error() string {
	if e.Cause != nil {
		return e.Part + " can't be encoded: " + e.Cause.Error()
	}
	return e.Part + " can't be encoded"
}

// Unwrap returns the cause, nil if there is none.
func (e *EncodeError) Unwrap() error { return e.Cause }

// NotOfferedError reports that a peer answered the upgrade with another status than 101.
type NotOfferedError struct{ Status int }

// Error implements error.
func (e *NotOfferedError) Error() string {
	return "peer does not offer the protocol: status " + strconv.Itoa(e.Status)
}

// FullError reports that each connection to a peer carries as many calls as it may.
type FullError struct{}

// Error implements error.
func (*FullError) Error() string { return "too many calls on the connections to the peer" }

// GoneError reports that the peer closes its connection and did not accept the call.
type GoneError struct{}

// Error implements error.
func (*GoneError) Error() string { return "the peer closes the connection" }

// RefusedError reports that the peer skipped the request: its head is longer than the peer
// allows, or the connection has too many calls there.
type RefusedError struct{}

// Error implements error.
func (*RefusedError) Error() string { return "the peer skipped the request" }

// AbortedError reports that the peer gave a call up, before its response or in the middle
// of it.
type AbortedError struct{}

// Error implements error.
func (*AbortedError) Error() string { return "the peer broke the response off" }

// StalledError reports that a peer has stopped reading its connection.
type StalledError struct{ After time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return "the peer did not read for " + e.After.String() }

// SilentError reports that no frame came from a peer while calls waited for it.
type SilentError struct{ After time.Duration }

// Error implements error.
func (e *SilentError) Error() string { return "no frame from the peer for " + e.After.String() }

// ClosedError reports that this side has closed the connection.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "connection closed" }

// TimeoutError reports that a read or write on a stream reached its deadline.
type TimeoutError struct{}

// Error implements error.
func (*TimeoutError) Error() string { return "stream deadline reached" }

// Is reports that the error is one of a deadline, as that of a connection is.
func (*TimeoutError) Is(target error) bool { return target == os.ErrDeadlineExceeded }
