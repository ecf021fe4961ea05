package call

import "strconv"

// maxShownValue is the number of bytes of a value that an error shows.
const maxShownValue = 40

// HeaderError reports a header with an invalid value.
type HeaderError struct {
	Header string
	Value  string
	// Want describes the valid values.
	Want string
}

// Error implements error. Long values are truncated, so that hostile input can't flood
// a log.
func (e *HeaderError) Error() string {
	value := e.Value
	if len(value) > maxShownValue {
		value = value[:maxShownValue] + "..."
	}
	return "header " + e.Header + ": " + strconv.Quote(value) + ": want " + e.Want
}
