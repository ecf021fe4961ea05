package cli

import (
	"errors"
	"strconv"

	"github.com/spf13/cobra"

	"pollengauge.dev/bench/hop"
)

func newBenchHopCommand() *cobra.Command {
	cfg := hop.DefaultConfig()
	asJSON := false
	cmd := &cobra.Command{
		Use:   "hop",
		Short: "Measure what a call pays for two nodes",
		Long: `Make the same calls directly, through two plain forwarders and through two nodes
on loopback, in short slices in turn, and print what the nodes add: latency from the intended start of each
call, CPU time, allocations and writes, and the latency of calls on new
connections. Caller, upstreams and nodes run in this one process.

On a machine that has other work to do the latencies are noisy. The load average,
how late calls were begun and the quartiles over the rounds tell how much; the
quarter of the rounds in which calls were begun with the least delay is shown by
itself.`,
		Example: `  pollengauge bench hop
  pollengauge bench hop --rate 3000 --calls 300 --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := hop.Run(cmd.Context(), cfg)
			if err != nil {
				return benchmarkError(err)
			}
			if err := printHop(cmd, result, asJSON); err != nil {
				return err
			}
			if failed := result.Failed(); failed > 0 {
				return &FailedCallsError{Calls: failed}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&cfg.Rate, "rate", cfg.Rate, "calls a second")
	flags.IntVar(&cfg.Calls, "calls", cfg.Calls, "calls in each slice")
	flags.IntVar(&cfg.Repeats, "repeats", cfg.Repeats, "rounds, each with a slice of every way")
	flags.IntVar(&cfg.Body, "body", cfg.Body, "size of an answer in bytes")
	flags.IntVar(&cfg.Cold, "cold", cfg.Cold, "calls on new connections, every way; 0 makes none")
	flags.BoolVar(&asJSON, "json", false, "write the result as JSON")
	return cmd
}

func printHop(cmd *cobra.Command, result hop.Result, asJSON bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), result)
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.text(result.String())
	return out.result()
}

// benchmarkError wraps a failure to set up the benchmark in a *BenchmarkError.
// Other errors mean that the arguments can't be used, and are returned unchanged.
func benchmarkError(err error) error {
	if setup := (*hop.SetupError)(nil); errors.As(err, &setup) {
		return &BenchmarkError{Cause: setup}
	}
	return err
}

// BenchmarkError means that a benchmark could not be completed.
type BenchmarkError struct{ Cause error }

// Error implements error.
func (e *BenchmarkError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *BenchmarkError) Unwrap() error { return e.Cause }

func (*BenchmarkError) exitCode() ExitCode { return ExitFailed }

// FailedCallsError means that some calls of a benchmark got no complete response,
// so its figures are unreliable.
type FailedCallsError struct{ Calls int }

// Error implements error.
func (e *FailedCallsError) Error() string {
	return strconv.Itoa(e.Calls) + " calls got no complete response"
}

func (*FailedCallsError) exitCode() ExitCode { return ExitFailed }
