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

// ExitCode is what the process tells a script.
type ExitCode int

// The exit codes, as documented in docs/CLI.md.
const (
	ExitOK ExitCode = iota
	// ExitFailed: the command did not do what was asked.
	ExitFailed
	// ExitUsage: a flag, argument, environment variable or file is unusable.
	ExitUsage
	// ExitRace: another operator changed the configuration first.
	ExitRace
	// ExitAmbiguous: the change may have been made; the answer was lost.
	ExitAmbiguous
	// ExitUnavailable: the platform or a node can't be reached.
	ExitUnavailable
	// ExitBroken: the demo or a benchmark saw a promise broken.
	ExitBroken
	// ExitNotFound: what was asked for does not exist.
	ExitNotFound
	// ExitDifferent: diff found differences.
	ExitDifferent
)

// coded is an error that knows its exit code.
type coded interface{ exitCode() ExitCode }

// codeOf finds the exit code of an error. The order matters: a change of
// unknown fate is ambiguous whatever caused it, and only then does its cause
// count.
func codeOf(err error) ExitCode {
	if own := coded(nil); errors.As(err, &own) {
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
	// What is left are the settings that the libraries refuse, and the flags
	// and arguments that cobra refuses with errors of its own.
	return ExitUsage
}

// isFailure tells the library errors that no other use of the command would
// have avoided.
func isFailure(err error) bool {
	return as[*config.ApplyError](err) || as[*config.EncodingError](err) || as[*objects.ProtocolError](err) ||
		as[*objects.StatusError](err) || as[*node.ListenError](err) || as[*node.DrainError](err) ||
		as[*standin.ListenError](err) || as[*upstream.ListenError](err) ||
		as[*demo.StartError](err) || as[*demo.ReadyError](err) || as[*demo.WriteError](err)
}

func as[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
