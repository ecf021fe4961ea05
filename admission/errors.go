package admission

import (
	"strconv"
	"time"

	"pollengauge.dev/call"
)

// ConfigError reports a configuration field with an unusable value.
type ConfigError struct {
	Field string
	Value string
	Want  string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return "admission config: " + e.Field + ": " + strconv.Quote(e.Value) + ": want " + e.Want
}

// RefusedError reports why Acquire refused a call. The call was not dispatched.
type RefusedError struct {
	Reason call.Reason
	// Level is the admission level at the time of the refusal.
	Level call.Level
	// RetryAfter is the delay after which a retry has a fair chance of being
	// admitted. It grows with the distance between the call's level and the
	// admission level, so that shed calls don't all come back at the same time.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "admission refused: " + string(e.Reason) + " (admission level " + e.Level.String() + ")"
}
