// Package check holds what the benchmarks say of a configuration that can't be
// run.
package check

import (
	"strconv"
	"strings"
)

// FieldError is one field that can't be used.
type FieldError struct{ Field, Value, Want string }

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + " " + strconv.Quote(e.Value) + ": want " + e.Want
}

// ConfigError lists what is wrong with a configuration.
type ConfigError struct{ Problems []FieldError }

// Error implements error.
func (e *ConfigError) Error() string {
	lines := make([]string, len(e.Problems))
	for i := range e.Problems {
		lines[i] = e.Problems[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Add notes a field that can't be used.
func (e *ConfigError) Add(field, value, want string) {
	e.Problems = append(e.Problems, FieldError{Field: field, Value: value, Want: want})
}

// Number notes a number that is out of its range.
func (e *ConfigError) Number(field string, value, low, high int) {
	if value < low || value > high {
		e.Add(field, strconv.Itoa(value), strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

// Result returns e, or nil where nothing was noted.
func (e *ConfigError) Result() error {
	if len(e.Problems) == 0 {
		return nil
	}
	return e
}
