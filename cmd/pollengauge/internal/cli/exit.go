package cli

import (
	"errors"

	"pollengauge.dev/cmd/pollengauge/internal/upstream"
	"pollengauge.dev/config"
	"pollengauge.dev/demo"
	"pollengauge.dev/node"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// ExitCode is the exit status of the process.
type ExitCode int

// The exit codes, as documented in docs/CLI.md.
const (
	ExitOK ExitCode = iota
	// ExitFailed means that the command failed for a reason without a code of its own.
	ExitFailed
	// ExitUsage means that a flag, argument, environment variable or file is unusable.
	ExitUsage
	// ExitRace means that another operator changed the configuration first.
	ExitRace
	// ExitAmbiguous means that the change may have been made: its response was lost.
	ExitAmbiguous
	// ExitUnavailable means that the platform or a node can't be reached.
	ExitUnavailable
	// ExitBroken means that the demo or a benchmark found a guarantee violated.
	ExitBroken
	// ExitNotFound means that the requested version, request or object does not exist.
	ExitNotFound
	// ExitDifferent means that diff found differences.
	ExitDifferent
)

// exitCoder is an error that has an exit code of its own.
type exitCoder interface{ exitCode() ExitCode }

// exitCodeOf returns the exit code of an error. The order of the checks matters: a
// change of unknown fate is ambiguous whatever its cause, so the fate is checked
// before the cause.
func exitCodeOf(err error) ExitCode {
	if own := exitCoder(nil); errors.As(err, &own) {
		return own.exitCode()
	}
	if applied := (*config.ApplyError)(nil); errors.As(err, &applied) && applied.Fate == config.FateUnknown {
		return ExitAmbiguous
	}
	switch {
	case as[*config.RaceError](err):
		return ExitRace
	case as[*config.NoVersionError](err), as[*objects.NotFoundError](err), as[*NoTraceError](err):
		return ExitNotFound
	case as[*objects.AmbiguousError](err):
		return ExitAmbiguous
	case as[*objects.UnavailableError](err), as[*objects.RateError](err):
		return ExitUnavailable
	case isFailure(err):
		return ExitFailed
	}
	// The remaining errors are settings rejected by the other packages, and flags
	// and arguments rejected by cobra with untyped errors.
	return ExitUsage
}

// isFailure reports whether err is a runtime failure, which different arguments
// would not have avoided.
func isFailure(err error) bool {
	return as[*config.ApplyError](err) || as[*config.EncodingError](err) || as[*objects.ProtocolError](err) ||
		as[*objects.StatusError](err) || as[*node.ListenError](err) || as[*node.DrainError](err) ||
		as[*standin.ListenError](err) || as[*upstream.ListenError](err) ||
		as[*demo.StartError](err) || as[*demo.ReadyError](err) || as[*demo.WriteError](err)
}

// as reports whether err is or wraps an error of type E.
func as[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
