package cli

import "github.com/spf13/cobra"

// benchmarks lists the constructors of bench's subcommands. Each constructor is
// in a file of its own; a new benchmark is registered here.
var benchmarks = []func() *cobra.Command{
	newBenchHopCommand,
	newBenchControlCommand,
	newBenchExperimentCommand,
}

func newBenchCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Run a benchmark",
		Long: `Run a benchmark. Each subcommand is one; it prints what it measured and exits
with code 6 if a promise was broken meanwhile.`,
		Example: `  pollengauge bench hop`,
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	for _, newBenchmark := range benchmarks {
		cmd.AddCommand(newBenchmark())
	}
	return cmd
}
