package membership

import "strconv"

const maxShownValue = 48

// shorten quotes a value and truncates it, so that hostile input can't flood a log.
func shorten(value string) string {
	if len(value) > maxShownValue {
		value = value[:maxShownValue] + "..."
	}
	return strconv.Quote(value)
}

// ConfigError reports a Config field with an unusable value.
type ConfigError struct {
	Field string
	Want  string
}

// Error implements error.
func (e *ConfigError) Error() string { return "membership config: " + e.Field + ": want " + e.Want }

// InvalidError reports a malformed field of a peer's message.
type InvalidError struct {
	Field string
	Value string
	Want  string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "membership message: " + e.Field + " " + shorten(e.Value) + ": want " + e.Want
}

// ConflictError reports a claim that contradicts the known identity of an incarnation.
// The claim is rejected.
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

// TransportError reports a failed exchange with a peer.
type TransportError struct {
	Addr string
	// Stage is the failed step: dial, call or reply.
	Stage string
	Err   error
}

// Error implements error.
func (e *TransportError) Error() string {
	return "gossip " + e.Stage + " " + shorten(e.Addr) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// OversizeError reports a request longer than Config.MaxMessageBytes, or a reply longer
// than Config.MaxMessageBytes and Config.MaxPayloadBytes together.
type OversizeError struct{ Limit int }

// Error implements error.
func (e *OversizeError) Error() string {
	return "gossip message is longer than " + strconv.Itoa(e.Limit) + " bytes"
}

// BusyError reports that an exchange was not sent because too many exchanges on the
// connection to the peer await a reply.
type BusyError struct{ Pending int }

// Error implements error.
func (e *BusyError) Error() string {
	return strconv.Itoa(e.Pending) + " exchanges with this peer already await a reply"
}

// ClosedError is returned after Close, and by a second Start.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "membership is closed or was already started" }

// LeaveUnconfirmedError is returned by Leave when no peer confirmed the departure.
type LeaveUnconfirmedError struct{ Peers int }

// Error implements error.
func (e *LeaveUnconfirmedError) Error() string {
	return "none of " + strconv.Itoa(e.Peers) + " peers confirmed the departure"
}
