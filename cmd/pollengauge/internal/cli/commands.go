package cli

import "github.com/spf13/cobra"

// commands returns every subcommand.
func commands() []*cobra.Command {
	return []*cobra.Command{
		newNodeCommand(),
		newSidecarCommand(),
		newTraceLogCommand(),
		newApplyCommand(),
		newGetCommand(),
		newDiffCommand(),
		newRollbackCommand(),
		newValidateCommand(),
		newHistoryCommand(),
		newStatusCommand(),
		newTopCommand(),
		newExplainCommand(),
		newHopsCommand(),
		newFatesCommand(),
		newQuarantineCommand(),
		newCustomersCommand(),
		newAPIKeyCommand(),
		newDrainCommand(),
		newKeyCommand(),
		newDemoCommand(),
		newBenchCommand(),
		newStandinCommand(),
		newVersionCommand(),
	}
}
