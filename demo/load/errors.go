package load

import "strconv"

// KeyError reports that an edge minted no idempotency key.
type KeyError struct {
	Addr   string
	Status int
	Err    error
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.Err != nil {
		return "mint a key at " + e.Addr + ": " + e.Err.Error()
	}
	return "mint a key at " + e.Addr + ": status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause; it is nil if the edge answered with an error
// status.
func (e *KeyError) Unwrap() error { return e.Err }

// OverflowError reports an operation that was not sent because the limit of
// operations in flight was reached.
type OverflowError struct{ Limit int }

// Error implements error.
func (e *OverflowError) Error() string {
	return "more than " + strconv.Itoa(e.Limit) + " operations in flight"
}
