package config

import "strings"

// ParseError is one place where a file can't be parsed as a Set.
type ParseError struct {
	// Line counts from 1; it is 0 if the place is not known.
	Line int
	// Field is the path of the field, for example profiles[2].deadline.
	Field string
	Value string
	Want  string
}

// Error implements error.
func (e *ParseError) Error() string {
	return prefixLine(e.Line, e.Field) + ": " + quoteTruncated(e.Value) + ": want " + e.Want
}

// ParseErrors lists all places where a file can't be parsed as a Set, in file
// order. Missing fields follow the other errors of their object.
type ParseErrors []*ParseError

// Error implements error.
func (e ParseErrors) Error() string {
	lines := make([]string, len(e))
	for i, parseError := range e {
		lines[i] = parseError.Error()
	}
	return strings.Join(lines, "; ")
}

// Unwrap returns the individual errors, so that errors.As finds the first
// *ParseError.
func (e ParseErrors) Unwrap() []error {
	causes := make([]error, len(e))
	for i, parseError := range e {
		causes[i] = parseError
	}
	return causes
}

// with appends err, which is nil, a *ParseError or ParseErrors.
func (e ParseErrors) with(err error) ParseErrors {
	switch err := err.(type) {
	case *ParseError:
		return append(e, err)
	case ParseErrors:
		return append(e, err...)
	}
	return e
}

// orNil returns e as an error, or nil if e is empty.
func (e ParseErrors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
