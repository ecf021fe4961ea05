package workload

import (
	"strconv"
	"strings"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	// Line counts from 1. It is that of what encloses a field which was left
	// out, 0 if the file can't be read at all.
	Line int
	// Field is a path such as services[2].slots.
	Field string
	Value string
	Want  string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return "line " + strconv.Itoa(p.Line) + ": " + p.Field + ": " + strconv.Quote(p.Value) + ": want " + p.Want
}

// Error is a workload file that is refused.
type Error struct {
	// Variant is the one whose settings led to the problems, "" for the file's
	// own.
	Variant  string
	Problems []Problem
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	head := "workload refused:"
	if e.Variant != "" {
		head = "workload refused, variant " + strconv.Quote(e.Variant) + ":"
	}
	lines = append(lines, head)
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// VariantError is a variant that the file doesn't have.
type VariantError struct{ Name string }

// Error implements error.
func (e *VariantError) Error() string { return "no variant " + strconv.Quote(e.Name) }
