package objects

import (
	"strconv"
	"time"
)

// maxShownValue is the maximum number of bytes of a value that an error text
// includes.
const maxShownValue = 40

// ConflictError means that a conditional write was rejected because the stored
// object does not have the expected version. Nothing was changed.
type ConflictError struct {
	Op       Op
	Kind     string
	Name     string
	Expected uint64 // 0 for a create
	Current  Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return string(e.Op) + " " + e.Kind + "/" + e.Name + ": expected version " + formatDecimal(e.Expected) + ", stored is " + formatDecimal(e.Current.Version)
}

// NotFoundError means that the object does not exist. Nothing was changed.
type NotFoundError struct {
	Op   Op
	Kind string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return string(e.Op) + " " + e.Kind + "/" + e.Name + ": no such object"
}

// UnavailableError means that the platform could not be reached, rejected the
// call temporarily, or sent no response to a read. A write that fails with this
// error had no effect.
type UnavailableError struct {
	Op    Op
	Cause error
	// RetryAfter is the delay that the platform requested, 0 if none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return string(e.Op) + ": platform unavailable" + causeSuffix(e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError is the Cause of an *UnavailableError when the platform itself
// rejected the call.
type StatusError struct {
	Status int
	Code   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + " " + truncate(e.Code)
}

// AmbiguousError means that a write was sent and no usable response arrived. The
// write may have taken effect, may still do so, or may never do so. The caller
// has to read the object back to find out.
type AmbiguousError struct {
	Op       Op
	Kind     string
	Name     string
	Expected uint64 // 0 for a create
	Cause    error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return string(e.Op) + " " + e.Kind + "/" + e.Name + ": write sent, outcome unknown" + causeSuffix(e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// RateError means that the client's own call budget is used up. Nothing was
// sent.
type RateError struct {
	Op Op
	// RetryAfter is the time until the budget allows the next call.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateError) Error() string {
	return string(e.Op) + ": call budget used up, next call in " + e.RetryAfter.String()
}

// CompactedError means that the store no longer retains all events after the
// revision From. The caller must list again and watch from the list's revision.
type CompactedError struct {
	Kind string
	From uint64
	// Oldest is the lowest revision from which a watch can still start.
	Oldest uint64
}

// Error implements error.
func (e *CompactedError) Error() string {
	return "watch " + e.Kind + ": events after revision " + formatDecimal(e.From) + " are no longer retained, oldest revision to watch from is " + formatDecimal(e.Oldest)
}

// TooLargeError means that a value, a response or a list exceeds its limit.
type TooLargeError struct {
	What string
	// Size and Limit are in bytes, or in pages for a list. Size is 0 if it is
	// unknown.
	Size  int64
	Limit int64
	// Unit is the unit of Size and Limit; empty means bytes.
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

// ProtocolError means that a response was malformed. For a write it is the Cause
// of an *AmbiguousError, because a malformed response does not prove whether the
// write took effect.
type ProtocolError struct {
	Op     Op
	Status int
	Detail string
	Cause  error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return string(e.Op) + ": malformed response with status " + strconv.Itoa(e.Status) + ": " + e.Detail + causeSuffix(e.Cause)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// InvalidError means that an argument or option is malformed. Nothing was
// changed.
type InvalidError struct {
	Field string
	Value string
	Want  string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Field + ": " + strconv.Quote(truncate(e.Value)) + ": want " + e.Want
}

// StaleError means that a list is older than the latest revision that a watcher
// has seen. The watcher ignored the list.
type StaleError struct {
	Kind     string
	Revision uint64
	Seen     uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return "list " + e.Kind + ": revision " + formatDecimal(e.Revision) + " is older than " + formatDecimal(e.Seen) + ", which was already seen"
}

// EraError means that a response, or a part of it, is from before the store was restored
// from a copy. What it states may not hold any more.
type EraError struct {
	// Era is the era of the response, Known that of the store.
	Era, Known uint64
}

// Error implements error.
func (e *EraError) Error() string {
	return "response of era " + formatDecimal(e.Era) + " of the store, which is in era " + formatDecimal(e.Known)
}

func causeSuffix(cause error) string {
	if cause == nil {
		return ""
	}
	return ": " + cause.Error()
}

func formatDecimal(n uint64) string { return strconv.FormatUint(n, 10) }

// truncate shortens s to maxShownValue bytes, so that malicious input cannot
// flood a log.
func truncate(s string) string {
	if len(s) > maxShownValue {
		return s[:maxShownValue] + "..."
	}
	return s
}
