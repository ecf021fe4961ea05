package observe

import "strconv"

// SettingError reports an invalid setting of this package.
type SettingError struct {
	Setting string
	Value   string
	Want    string
}

// Error implements error.
func (e *SettingError) Error() string {
	return "setting " + e.Setting + ": " + strconv.Quote(clip(e.Value)) + ": want " + e.Want
}

// TraceParentError reports a malformed traceparent header.
type TraceParentError struct {
	Value string
}

// Error implements error.
func (e *TraceParentError) Error() string {
	return "traceparent " + strconv.Quote(clip(e.Value)) + ": want version-traceid-spanid-flags in lower-case hex"
}

// IDError reports a malformed trace or span id.
type IDError struct {
	Value string
	// Digits is the required number of hex digits.
	Digits int
}

// Error implements error.
func (e *IDError) Error() string {
	return "id " + strconv.Quote(clip(e.Value)) + ": want " + strconv.Itoa(e.Digits) + " hex digits"
}

// ExportError reports that spans can't be sent to a collector.
type ExportError struct {
	Endpoint string
	Err      error
}

// Error implements error.
func (e *ExportError) Error() string {
	return "export spans to " + strconv.Quote(clip(e.Endpoint)) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExportError) Unwrap() error { return e.Err }

// ProcessError reports that the process could not read its own resource usage.
type ProcessError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *ProcessError) Error() string { return "process usage: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }

const maxShownBytes = 200

// clip truncates s to maxShownBytes, since hostile input can be of any length.
func clip(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "..."
}
