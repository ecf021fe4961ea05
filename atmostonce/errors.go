package atmostonce

import (
	"strconv"

	"pollengauge.dev/call"
)

// RefusedError means that this presentation of a key dispatched nothing.
// Outcome is what the caller may be told about the key: NotRun only if no
// presentation was dispatched, otherwise Unknown.
type RefusedError struct {
	Key     string
	Outcome call.Outcome
	Reason  call.Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "idempotency key " + shorten(e.Key) + " refused: " + e.Outcome.String() + ", " + string(e.Reason)
}

// KeyError means that a key is malformed. Want describes the expected form.
type KeyError struct {
	Key  string
	Want string
}

// Error implements error.
func (e *KeyError) Error() string {
	return "idempotency key " + shorten(e.Key) + ": want " + e.Want
}

// ConfigError reports a field of Config whose value is out of range.
type ConfigError struct {
	Field string
	Want  string
}

// Error implements error.
func (e *ConfigError) Error() string { return "atmostonce config: " + e.Field + ": want " + e.Want }

// EntropyError means that reading from a source of randomness failed.
type EntropyError struct{ Err error }

// Error implements error.
func (e *EntropyError) Error() string { return "random source failed: " + e.Err.Error() }

// Unwrap returns the error of the source.
func (e *EntropyError) Unwrap() error { return e.Err }

// RunError means that a state transition of a Run is invalid, for example
// because the run had already been completed.
type RunError struct {
	Key  string
	From State
	To   State
}

// Error implements error.
func (e *RunError) Error() string {
	return "idempotency key " + shorten(e.Key) + ": can't change state from " + e.From.String() + " to " + e.To.String()
}

const maxShownKey = 40

// shorten truncates and quotes a key for an error text, so that a malicious
// client can't flood the log with long keys.
func shorten(key string) string {
	if len(key) > maxShownKey {
		key = key[:maxShownKey] + "..."
	}
	return strconv.Quote(key)
}
