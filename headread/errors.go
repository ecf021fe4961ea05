package headread

import (
	"net/http"
	"strconv"
)

// Refusal is the error for a head that is not passed on.
type Refusal interface {
	error
	// Status is the status code of the refusal.
	Status() int
	// Reason names the kind of refusal in a word.
	Reason() string
}

// TooLargeError reports a head above the limit of its size.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "the line or the fields of a request have more than " + strconv.Itoa(e.Limit) + " bytes"
}

// Status implements Refusal.
func (*TooLargeError) Status() int { return http.StatusRequestHeaderFieldsTooLarge }

// Reason implements Refusal.
func (*TooLargeError) Reason() string { return "too-large" }

// MalformedError reports bytes that can't be a request.
type MalformedError struct{ What string }

// Error implements error.
func (e *MalformedError) Error() string { return "a request is malformed: " + e.What }

// Status implements Refusal.
func (*MalformedError) Status() int { return http.StatusBadRequest }

// Reason implements Refusal.
func (*MalformedError) Reason() string { return "malformed" }

// SlowError reports a head that did not arrive in time.
type SlowError struct{}

// Error implements error.
func (*SlowError) Error() string { return "the head of a request did not arrive in time" }

// Status implements Refusal.
func (*SlowError) Status() int { return http.StatusRequestTimeout }

// Reason implements Refusal.
func (*SlowError) Reason() string { return "slow" }

// BusyError reports a head for which there is no room in the budget.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string {
	return "the large heads of other requests take all the memory that there is for them"
}

// Status implements Refusal.
func (*BusyError) Status() int { return http.StatusServiceUnavailable }

// Reason implements Refusal.
func (*BusyError) Reason() string { return "no-memory" }
