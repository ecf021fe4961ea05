package standin

import "time"

// Faults configures the faults that the store injects. New Faults replace all
// previous ones, so setting the zero value removes all faults.
type Faults struct {
	// Down rejects every call with 503 and ends the waiting watches.
	Down bool `json:"down,omitempty"`
	// DelayMillis delays every call. A write still takes effect if its caller
	// gives up during the delay.
	DelayMillis int `json:"delay_ms,omitempty"`
	// DropNext is the number of next writes whose responses are dropped after
	// the writes took effect.
	DropNext int `json:"drop_next,omitempty"`
	// DropProbability is the probability, from 0 to 1, that the response to a
	// write is dropped after the write took effect.
	DropProbability float64 `json:"drop_probability,omitempty"`
	// LoseNext is the number of next writes that are lost: they neither take
	// effect nor get a response.
	LoseNext int `json:"lose_next,omitempty"`
	// DuplicateNext is the number of next events that are delivered twice.
	DuplicateNext int `json:"duplicate_next,omitempty"`
	// LateNext is the number of next events that are delivered LateMillis late.
	// Events published in the meantime overtake them.
	LateNext   int `json:"late_next,omitempty"`
	LateMillis int `json:"late_ms,omitempty"`
	// ReadRate and WriteRate, if set, replace the rate limits of Options, in
	// calls a second.
	ReadRate  float64 `json:"read_rate,omitempty"`
	WriteRate float64 `json:"write_rate,omitempty"`
	// StaleMillis is how old the objects are that relaxed reads return.
	StaleMillis int `json:"stale_ms,omitempty"`
	// Compact deletes all retained events, once.
	Compact bool `json:"compact,omitempty"`
	// RestoreMillis restores the store, once, from a copy that is this old.
	RestoreMillis int `json:"restore_ms,omitempty"`
}

// writeOutcome is the injected outcome of a write and its response.
type writeOutcome uint8

const (
	outcomeAnswered writeOutcome = iota
	outcomeDropped               // takes effect, no response
	outcomeLost                  // no effect, no response
)

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// consumeFault reports whether a counted fault has occurrences left, and uses up
// one.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
