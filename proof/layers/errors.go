package layers

import "strconv"

// PageError reports a table of layers that can't be parsed.
type PageError struct {
	Line int
	Want string
}

// Error implements error.
func (e *PageError) Error() string {
	return "table of layers, line " + strconv.Itoa(e.Line) + ": want " + e.Want
}

// SourceError reports a source file that can't be read or parsed.
type SourceError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *SourceError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Cause }

// OrderError reports an import of a module that is not in a lower layer than the
// importing module.
type OrderError struct {
	Import Import
	// From is the importing module, To the imported one; FromLayer and ToLayer
	// are their layers.
	From, To           string
	FromLayer, ToLayer int
}

// Error implements error.
func (e *OrderError) Error() string {
	return e.Import.File + " imports " + e.Import.Package + ": " +
		e.From + " is in layer " + strconv.Itoa(e.FromLayer) + ", " +
		e.To + " in layer " + strconv.Itoa(e.ToLayer)
}

// UnplacedError reports a module that is missing in the table of layers.
type UnplacedError struct{ Module string }

// Error implements error.
func (e *UnplacedError) Error() string { return e.Module + " is in no layer" }

// AbsentError reports an entry in the table of layers that has no source files.
type AbsentError struct{ Module string }

// Error implements error.
func (e *AbsentError) Error() string { return e.Module + " is in a layer and has no source" }
