package node

import (
	"strconv"
	"strings"
)

// TruncatedError reports that the source of an answer ended early.
type TruncatedError struct{ Cause error }

// Error implements error.
func (e *TruncatedError) Error() string { return "answer truncated: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// SwitchedError reports that an upstream switched protocols. No caller can have
// requested that, since Upgrade is not forwarded.
type SwitchedError struct{}

// Error implements error.
func (*SwitchedError) Error() string { return "upstream switched protocols, which no caller requested" }

// WriteError reports that the receiver of an answer closed the connection.
type WriteError struct{ Cause error }

// Error implements error.
func (e *WriteError) Error() string { return "answer not delivered: " + e.Cause.Error() }

// Unwrap returns the connection's error.
func (e *WriteError) Unwrap() error { return e.Cause }

// SettingError is one setting that can't be used.
type SettingError struct {
	// Name is the flag's name without dashes.
	Name  string `json:"name"`
	Value string `json:"value"`
	// Allowed describes the accepted range or form.
	Allowed string `json:"allowed"`
}

// Error implements error.
func (e *SettingError) Error() string {
	return "setting --" + e.Name + "=" + e.Value + ": allowed: " + e.Allowed
}

// SettingsError lists every invalid setting, so that an operator can fix them all at
// once.
type SettingsError struct{ Problems []*SettingError }

// Error implements error.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// ListenError reports which listener could not be opened.
type ListenError struct {
	Listener Listener
	Addr     string
	Cause    error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen for " + string(e.Listener) + " on " + e.Addr + ": " + e.Cause.Error()
}

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Cause }

// DrainError reports that a drain reached its time limit with calls still in flight.
type DrainError struct{ InFlight int }

// Error implements error.
func (*DrainError) Error() string { return "drain reached its time limit with calls still in flight" }

// BodyError reports that a request's body could not be read.
type BodyError struct{ Cause error }

// Error implements error.
func (e *BodyError) Error() string { return "request body: " + e.Cause.Error() }

// Unwrap returns the reader's or decoder's error.
func (e *BodyError) Unwrap() error { return e.Cause }

// BodyLimitError reports that a request announces a body over the limit.
type BodyLimitError struct{ Got, Limit int64 }

// Error implements error.
func (e *BodyLimitError) Error() string {
	return "body has " + strconv.FormatInt(e.Got, 10) + " bytes, allowed: " + strconv.FormatInt(e.Limit, 10)
}

// WrongServiceError reports that a call names a service that can't be reached through
// this listener.
type WrongServiceError struct{ Service, Want string }

// Error implements error.
func (e *WrongServiceError) Error() string {
	return "service " + strconv.Quote(e.Service) + ": want " + e.Want
}

// DepthError reports that a call chain is longer than the limit, as when services call
// each other in a loop.
type DepthError struct{ Depth int }

// Error implements error.
func (e *DepthError) Error() string { return "call depth " + strconv.Itoa(e.Depth) + " is the limit" }

// MethodError reports that requests with this method are not carried.
type MethodError struct{ Method string }

// Error implements error.
func (e *MethodError) Error() string { return "method " + e.Method + " can't be carried" }

// HeadError reports that the head of a request exceeds a limit.
type HeadError struct {
	// What is "bytes" or "fields".
	What       string
	Got, Limit int
}

// Error implements error.
func (e *HeadError) Error() string {
	return "header has " + strconv.Itoa(e.Got) + " " + e.What + ", allowed: " + strconv.Itoa(e.Limit)
}

// PathError reports that a path is invalid, or that an upstream may interpret it as
// another path than the one by which the profile was chosen.
type PathError struct{ Path string }

// Error implements error.
func (e *PathError) Error() string {
	const shown = 80
	path := e.Path
	if len(path) > shown {
		path = path[:shown] + "..."
	}
	return "path " + strconv.Quote(path) + ": want one that can be read in one way only"
}

// UnknownMemberError reports that a node that is not a known member of this service tried
// to hand over keys.
type UnknownMemberError struct{ From string }

// Error implements error.
func (e *UnknownMemberError) Error() string {
	return "hand-over from " + strconv.Quote(e.From) + ": no known member of this service"
}
