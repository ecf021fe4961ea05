package membership

import "strconv"

const maxShownValue = 48

// shorten keeps hostile input from filling a log.
func shorten(value string) string {
	if len(value) > maxShownValue {
		value = value[:maxShownValue] + "..."
	}
	return strconv.Quote(value)
}

// ConfigError tells which field of a Config can't be used.
type ConfigError struct {
	Field string
	Want  string
}

// Error implements error.
func (e *ConfigError) Error() string { return "membership config: " + e.Field + ": want " + e.Want }

// InvalidError tells which field of a peer's message is malformed.
type InvalidError struct {
	Field string
	Value string
	Want  string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "membership message: " + e.Field + " " + shorten(e.Value) + ": want " + e.Want
}

// ConflictError is a claim that contradicts what is known about an
// incarnation. The claim is not taken in.
type ConflictError struct {
	ID      string
	Field   string
	Known   string
	Claimed string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "member " + shorten(e.ID) + ": " + e.Field + " is " + shorten(e.Known) + ", claimed " + shorten(e.Claimed)
}

// TransportError is a failed exchange with a peer.
type TransportError struct {
	Addr string
	// Stage is dial, call or reply.
	Stage string
	Err   error
}

// Error implements error.
func (e *TransportError) Error() string {
	return "gossip " + e.Stage + " " + shorten(e.Addr) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// OversizeError is a message longer than Config.MaxMessageBytes, or a reply that
// is longer than that and Config.MaxPayloadBytes together.
type OversizeError struct{ Limit int }

// Error implements error.
func (e *OversizeError) Error() string {
	return "gossip message is longer than " + strconv.Itoa(e.Limit) + " bytes"
}

// BusyError means that a peer has many exchanges to answer, so that another
// one was not sent.
type BusyError struct{ Pending int }

// Error implements error.
func (e *BusyError) Error() string {
	return strconv.Itoa(e.Pending) + " exchanges have no answer yet"
}

// ClosedError is returned after Close, and for a second Start.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "membership is closed or has been started before" }

// UnheardError is returned by Leave when no peer took the news.
type UnheardError struct{ Asked int }

// Error implements error.
func (e *UnheardError) Error() string {
	return "leave was heard by none of " + strconv.Itoa(e.Asked) + " peers"
}
