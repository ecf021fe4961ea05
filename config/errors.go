package config

import (
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxShownBytes is the maximum length of a value in an error text, in bytes.
const maxShownBytes = 60

// ValueError reports a value that could not be parsed.
type ValueError struct {
	Value string
	Want  string
}

// Error implements error.
func (e *ValueError) Error() string { return quoteTruncated(e.Value) + ": want " + e.Want }

// Problem is one reason why a Set is rejected.
type Problem struct {
	// Line is the line of the field in the file, counted from 1, or of the
	// enclosing object or list if the field is missing. It is 0 if there is no file
	// or the problem concerns the Set as a whole.
	Line  int
	Path  string
	Value string
	Want  string
}

// String formats the problem as one line.
func (p Problem) String() string {
	return prefixLine(p.Line, p.Path) + ": " + quoteTruncated(p.Value) + ": want " + p.Want
}

// ValidationError lists all problems of a Set.
type ValidationError struct {
	Problems []Problem
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "configuration refused: " + strings.Join(lines, "; ")
}

// EncodingError reports a Set that can't be encoded, or bytes from a peer or the
// platform that are not a canonical encoding.
type EncodingError struct {
	Want string
	// Cause is the underlying error of the decoder or encoder, if any.
	Cause error
}

// Error implements error.
func (e *EncodingError) Error() string {
	text := "encoded configuration: want " + e.Want
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// ForkError reports an offered Set that has the active version but other content.
// The Store keeps its active Set.
type ForkError struct {
	Version       uint64
	ActiveHash    string
	ActiveChange  string
	OfferedHash   string
	OfferedChange string
	Source        Source
}

// Error implements error.
func (e *ForkError) Error() string {
	return "configuration version " + strconv.FormatUint(e.Version, 10) +
		" exists twice: kept " + e.ActiveHash + " of change " + e.ActiveChange +
		", refused " + e.OfferedHash + " of change " + e.OfferedChange + " from " + string(e.Source)
}

// prefixLine prefixes field with its line number, if it is known.
func prefixLine(line int, field string) string {
	if line == 0 {
		return field
	}
	return "line " + strconv.Itoa(line) + ": " + field
}

// quoteTruncated quotes value and truncates a long one, so that malicious input
// can't flood a log.
func quoteTruncated(value string) string {
	if len(value) <= maxShownBytes {
		return strconv.Quote(value)
	}
	end := maxShownBytes
	for end > 0 && !utf8.RuneStart(value[end]) {
		end--
	}
	return strconv.Quote(value[:end] + "...")
}
