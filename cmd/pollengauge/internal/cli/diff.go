package cli

import (
	"github.com/spf13/cobra"

	"pollengauge.dev/config"
)

func newDiffCommand() *cobra.Command {
	flags := &platformFlags{}
	file := ""
	asJSON := false
	cmd := &cobra.Command{
		Use:   "diff -f FILE",
		Short: "Show what applying a file would change",
		Long: `Show what leads from the stored profile set to the one in the file, one
difference a line: + added, - removed, ~ changed. Exit code 8 if they differ.`,
		Example: `  pollengauge diff -f set.yaml`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := readSet(cmd, file)
			if err != nil {
				return err
			}
			document, err := readDocument(cmd.Context(), flags)
			if err != nil {
				return err
			}
			return printDiff(cmd, config.Diff(document.Set, set), asJSON)
		},
	}
	bindFile(cmd, &file)
	flags.bind(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the result as JSON")
	return cmd
}

// difference is the JSON of one config.Difference.
type difference struct {
	Op   config.DiffOp `json:"op"`
	Path string        `json:"path"`
	From string        `json:"from"`
	To   string        `json:"to"`
}

func differencesOf(list []config.Difference) []difference {
	out := make([]difference, len(list))
	for i, d := range list {
		out[i] = difference(d)
	}
	return out
}

func printDiff(cmd *cobra.Command, list []config.Difference, asJSON bool) error {
	var err error
	if asJSON {
		err = writeJSON(cmd.OutOrStdout(), differencesOf(list))
	} else {
		out := &printer{w: cmd.OutOrStdout()}
		out.text(config.FormatDiff(list))
		err = out.result()
	}
	if err == nil && len(list) > 0 {
		err = &QuietError{Code: ExitDifferent}
	}
	return err
}
