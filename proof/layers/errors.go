package layers

import "strconv"

// PageError is a table of layers that can't be read.
type PageError struct {
	Line int
	Want string
}

// Error implements error.
func (e *PageError) Error() string {
	return "table of layers, line " + strconv.Itoa(e.Line) + ": want " + e.Want
}

// SourceError is a source file that can't be read.
type SourceError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *SourceError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Cause }

// OrderError is an import that is not from a higher to a lower layer.
type OrderError struct {
	Import Import
	// From and To are the modules, FromLayer and ToLayer their layers.
	From, To           string
	FromLayer, ToLayer int
}

// Error implements error.
func (e *OrderError) Error() string {
	return e.Import.File + " imports " + e.Import.Package + ": " +
		e.From + " is in layer " + strconv.Itoa(e.FromLayer) + ", " +
		e.To + " in layer " + strconv.Itoa(e.ToLayer)
}

// UnplacedError is a module that the table lacks.
type UnplacedError struct{ Module string }

// Error implements error.
func (e *UnplacedError) Error() string { return e.Module + " is in no layer" }

// AbsentError is an entry of the table without a source file.
type AbsentError struct{ Module string }

// Error implements error.
func (e *AbsentError) Error() string { return e.Module + " is in a layer and has no source" }
