package hop

import "pollengauge.dev/bench/internal/check"

// Config is one run.
type Config struct {
	// Rate is the calls a second that the calling VM makes.
	Rate int
	// Calls is how many calls each slice makes. Short slices share the
	// machine's noise fairly between the ways; the 99th percentile of one
	// slice means little below some hundred calls, which is why the
	// percentiles of a run are taken over the calls of all slices.
	Calls int
	// Repeats is how many rounds are measured, each a slice of direct calls,
	// one through plain forwarders and one through the nodes, in changing order.
	Repeats int
	// Body is the size of the answer in bytes.
	Body int
	// Cold is how many calls each way makes on new connections only, one
	// after the other. 0 leaves this part out.
	Cold int
}

// DefaultConfig returns a run of about a minute at 300 calls a second.
func DefaultConfig() Config {
	return Config{Rate: 300, Calls: 30, Repeats: 200, Body: 200, Cold: 200}
}

const (
	maxRate    = 20_000
	maxCalls   = 100_000
	maxRepeats = 1000
	maxBody    = 1 << 20
)

// FieldError and ConfigError tell of fields that are out of their range.
type (
	FieldError  = check.FieldError
	ConfigError = check.ConfigError
)

// Check returns a *ConfigError that lists every wrong field, or nil.
func (c Config) Check() error {
	problems := &ConfigError{}
	problems.Number("rate", c.Rate, 1, maxRate)
	problems.Number("calls", c.Calls, 1, maxCalls)
	problems.Number("repeats", c.Repeats, 1, maxRepeats)
	problems.Number("body", c.Body, 0, maxBody)
	problems.Number("cold", c.Cold, 0, maxCalls)
	return problems.Result()
}

// SetupError means that the nodes and upstreams could not be made ready.
type SetupError struct {
	// Step is what was being done.
	Step  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string {
	return "set up the benchmark: " + e.Step + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }
