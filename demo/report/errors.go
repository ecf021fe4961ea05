package report

// WriteError reports that a part of the report could not be written.
type WriteError struct {
	What string
	Err  error
}

// Error implements error.
func (e *WriteError) Error() string { return "write " + e.What + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// PlotError reports that the plot could not be drawn.
type PlotError struct{ Err error }

// Error implements error.
func (e *PlotError) Error() string { return "plot: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Err }
