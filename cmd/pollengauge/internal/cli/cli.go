// Package cli implements the command line of pollengauge. It converts flags and
// environment variables to settings, and typed errors to exit codes; the other
// packages of the project do the work.
//
// Main runs one command line. It keeps no state between calls and may be called
// concurrently, but a signal cancels all calls that are running.
package cli

import (
	"context"
	"errors"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command line and returns the process's exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A drain may take its full timeout. An operator who presses Ctrl-C twice
	// wants the process to exit immediately; a supervisor that repeats SIGTERM
	// does not.
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	return run(ctx, args, stdin, stdout, stderr)
}

// ignoreBrokenLog keeps a process that serves requests alive when the reader of its log
// exits. By default a write to a closed pipe on standard output or standard error ends
// a Go process by SIGPIPE, which closes all its connections.
func ignoreBrokenLog() { signal.Ignore(syscall.SIGPIPE) }

// run is Main without signal handling: cancelling ctx stops the command.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return int(ExitOK)
	}
	report(stderr, err)
	return int(exitCodeOf(err))
}

// errorPrefix begins every line of an error message.
const errorPrefix = "pollengauge: "

// report writes an error with errorPrefix before each of its lines. It writes
// nothing for a *QuietError.
func report(w io.Writer, err error) {
	if quiet := (*QuietError)(nil); errors.As(err, &quiet) {
		return
	}
	for line := range strings.Lines(err.Error()) {
		_, _ = io.WriteString(w, errorPrefix+strings.TrimRight(line, "\n")+"\n")
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "pollengauge",
		Short: "Overload control for service call graphs",
		Long: `pollengauge keeps service call graphs useful when demand outruns capacity.

One node runs beside each upstream and carries every call in and out. The other
commands are the operator's: change profiles and assignments, and watch what
they do. Results go to stdout, errors to stderr; each kind of failure has its
own exit code (docs/CLI.md).`,
		Example: `  pollengauge standin platform --addr 127.0.0.1:7070
  pollengauge apply -f examples/nyitottkapu.yaml --platform http://127.0.0.1:7070
  pollengauge top --nodes 127.0.0.1:8104,127.0.0.1:8204`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands()...)
	return root
}
