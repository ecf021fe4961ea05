package objects

import (
	"strconv"
	"time"
)

// maxShownValue is the most of a value that an error shows, in bytes.
const maxShownValue = 40

// ConflictError means that a conditional write was refused because the stored
// object isn't the expected one. Nothing was changed.
type ConflictError struct {
	Op       Op
	Kind     string
	Name     string
	Expected uint64 // 0 for a create
	Current  Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return string(e.Op) + " " + e.Kind + "/" + e.Name + ": expected version " + decimal(e.Expected) + ", stored is " + decimal(e.Current.Version)
}

// NotFoundError means that the object doesn't exist. Nothing was changed.
type NotFoundError struct {
	Op   Op
	Kind string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return string(e.Op) + " " + e.Kind + "/" + e.Name + ": no such object"
}

// UnavailableError means that the platform could not be reached, refused for
// now, or gave no answer to a read. A write that ends in it had no effect.
type UnavailableError struct {
	Op    Op
	Cause error
	// RetryAfter is what the platform asked for; 0 if it asked for nothing.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return string(e.Op) + ": platform unavailable" + because(e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError is the cause when the platform itself refused.
type StatusError struct {
	Status int
	Code   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + " " + shorten(e.Code)
}

// AmbiguousError means that a write was sent and no usable answer came: it
// took effect, or will, or never will. Only reading back can tell.
type AmbiguousError struct {
	Op       Op
	Kind     string
	Name     string
	Expected uint64 // 0 for a create
	Cause    error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return string(e.Op) + " " + e.Kind + "/" + e.Name + ": sent, fate unknown" + because(e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// RateError means that the client's own call budget is used up. Nothing was sent.
type RateError struct {
	Op Op
	// RetryAfter is the time until the budget has room for a call.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateError) Error() string {
	return string(e.Op) + ": call budget used up, next call in " + e.RetryAfter.String()
}

// CompactedError means that the events after From are no longer kept. List
// again and watch from the list's revision.
type CompactedError struct {
	Kind string
	From uint64
	// Oldest is the lowest revision that can still be watched from.
	Oldest uint64
}

// Error implements error.
func (e *CompactedError) Error() string {
	return "watch " + e.Kind + ": events after revision " + decimal(e.From) + " are gone, want a revision from " + decimal(e.Oldest)
}

// TooLargeError means that a value, an answer or a list is over its limit.
type TooLargeError struct {
	What string
	// Size and Limit are in bytes, or in pages for a list. Size is 0 if not
	// known.
	Size  int64
	Limit int64
	// Unit is empty for bytes.
	Unit string
}

// Error implements error.
func (e *TooLargeError) Error() string {
	unit := e.Unit
	if unit == "" {
		unit = "bytes"
	}
	text := e.What
	if e.Size > 0 {
		text += " of " + strconv.FormatInt(e.Size, 10) + " " + unit
	}
	return text + ": want at most " + strconv.FormatInt(e.Limit, 10) + " " + unit
}

// ProtocolError means that an answer could not be understood. For a write it
// is the cause of an *AmbiguousError, as such an answer proves nothing.
type ProtocolError struct {
	Op     Op
	Status int
	Detail string
	Cause  error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return string(e.Op) + ": malformed answer with status " + strconv.Itoa(e.Status) + ": " + e.Detail + because(e.Cause)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// InvalidError means that an argument or option is malformed. Nothing was changed.
type InvalidError struct {
	Field string
	Value string
	Want  string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Field + ": " + strconv.Quote(shorten(e.Value)) + ": want " + e.Want
}

// StaleError means that a list is older than what a watcher has already
// seen, so it was not used.
type StaleError struct {
	Kind     string
	Revision uint64
	Seen     uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return "list " + e.Kind + ": revision " + decimal(e.Revision) + " is older than " + decimal(e.Seen) + ", already seen"
}

func because(cause error) string {
	if cause == nil {
		return ""
	}
	return ": " + cause.Error()
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }

// shorten keeps hostile input from filling a log.
func shorten(s string) string {
	if len(s) > maxShownValue {
		return s[:maxShownValue] + "..."
	}
	return s
}
