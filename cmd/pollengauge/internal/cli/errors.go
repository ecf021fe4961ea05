package cli

import (
	"strconv"
	"strings"
	"time"

	"pollengauge.dev/config"
)

// ArgumentError means that the value of a flag or argument can't be used.
type ArgumentError struct {
	// Name is the flag with its dashes, or the argument's placeholder in the usage
	// line.
	Name  string
	Value string
	Want  string
}

// Error implements error.
func (e *ArgumentError) Error() string {
	return e.Name + " " + strconv.Quote(e.Value) + ": want " + e.Want
}

func (*ArgumentError) exitCode() ExitCode { return ExitUsage }

// FileError means that a file could not be read or its content is invalid.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string {
	var lines []string
	switch cause := e.Cause.(type) {
	case *config.ValidationError:
		for _, problem := range cause.Problems {
			lines = append(lines, e.File+": "+problem.String())
		}
	case config.ParseErrors:
		for _, place := range cause {
			lines = append(lines, e.File+": "+place.Error())
		}
	default:
		lines = append(lines, e.File+": "+e.Cause.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func (*FileError) exitCode() ExitCode { return ExitUsage }

// NodeError means that a request to a node's admin API failed without a response.
type NodeError struct {
	// Node is the address of its admin listener.
	Node  string
	Cause error
}

// Error implements error.
func (e *NodeError) Error() string { return "node " + e.Node + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NodeError) Unwrap() error { return e.Cause }

func (*NodeError) exitCode() ExitCode { return ExitUnavailable }

// ResponseError means that a node's address returned an error status, or a response
// that is not that of an admin API.
type ResponseError struct {
	Node   string
	Status int
	// Detail is the error text of the response, "" if it had none.
	Detail string
}

// Error implements error.
func (e *ResponseError) Error() string {
	text := "node " + e.Node + " answered with status " + strconv.Itoa(e.Status)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

func (*ResponseError) exitCode() ExitCode { return ExitFailed }

// UnreachableError means that the requests to some of the nodes failed.
type UnreachableError struct{ Failures []error }

// Error implements error.
func (e *UnreachableError) Error() string {
	lines := make([]string, len(e.Failures))
	for i, failure := range e.Failures {
		lines[i] = failure.Error()
	}
	return strings.Join(lines, "\n")
}

func (*UnreachableError) exitCode() ExitCode { return ExitUnavailable }

// NoHopsError means that none of the nodes queried holds a hop of the request.
type NoHopsError struct{ Request string }

// Error implements error.
func (e *NoHopsError) Error() string {
	return "request " + strconv.Quote(e.Request) + ": none of the nodes queried holds a hop of it: the id is wrong, or its hops are older than those that --lookback of node retains, " +
		"or the nodes that handled it were not queried or have restarted (an id made by a node begins with that node's id)"
}

func (*NoHopsError) exitCode() ExitCode { return ExitNotFound }

// NotInForceError means that a change is stored, but nodes had not put it in
// force when the wait ended.
type NotInForceError struct {
	Version uint64
	Nodes   []string
	Waited  time.Duration
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + " is stored, but after " + e.Waited.String() +
		" not in force on " + strings.Join(e.Nodes, ", ")
}

func (*NotInForceError) exitCode() ExitCode { return ExitFailed }

// StillBusyError means that a node still had calls in flight when the time to wait
// for its drain had passed.
type StillBusyError struct {
	Node     string
	InFlight int
	Waited   time.Duration
}

// Error implements error.
func (e *StillBusyError) Error() string {
	return "node " + e.Node + " still has " + strconv.Itoa(e.InFlight) + " calls in flight after " + e.Waited.String()
}

func (*StillBusyError) exitCode() ExitCode { return ExitFailed }

// BrokenError means that the demo or a benchmark found violations of the system's
// guarantees.
type BrokenError struct{ Promises int }

// Error implements error.
func (e *BrokenError) Error() string { return strconv.Itoa(e.Promises) + " promises were broken" }

func (*BrokenError) exitCode() ExitCode { return ExitBroken }

// OutputError means that the result could not be written.
type OutputError struct{ Cause error }

// Error implements error.
func (e *OutputError) Error() string { return "write the result: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }

func (*OutputError) exitCode() ExitCode { return ExitFailed }

// QuietError sets the exit code without an error message. It is for commands whose
// output on stdout already explains the code, such as diff.
type QuietError struct{ Code ExitCode }

// Error implements error.
func (e *QuietError) Error() string { return "exit code " + strconv.Itoa(int(e.Code)) }

func (e *QuietError) exitCode() ExitCode { return e.Code }

// UnsettledError means that the fate of a change is unknown. It names the command
// that settles it.
type UnsettledError struct {
	// Command settles the change when it is run again.
	Command string
	Cause   error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return e.Cause.Error() + "\nthe change may or may not be in force; to settle it: " + e.Command
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }
