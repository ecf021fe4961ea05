package cli

import (
	"context"

	"github.com/spf13/cobra"

	"pollengauge.dev/config"
)

// readDocument reads the stored configuration.
func readDocument(ctx context.Context, flags *platformFlags) (config.Document, error) {
	client, err := flags.client()
	if err != nil {
		return config.Document{}, err
	}
	defer client.Close()
	return config.Read(ctx, client)
}

func newGetCommand() *cobra.Command {
	flags := &platformFlags{}
	version := uint64(0)
	format := string(config.YAML)
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print the stored profile set",
		Long: `Print the stored profile set in the form that apply takes. It carries its
version, so that apply can tell whether somebody was faster. While nothing is
stored, that is the built-in default, version 0.`,
		Example: `  pollengauge get > set.yaml
  pollengauge get --version 3 -o json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if format != string(config.YAML) && format != string(config.JSON) {
				return &ArgumentError{Name: "--output", Value: format, Want: "yaml or json"}
			}
			document, err := readDocument(cmd.Context(), flags)
			if err != nil {
				return err
			}
			set := document.Set
			if cmd.Flags().Changed("version") {
				if set, err = document.Lookup(version); err != nil {
					return err
				}
			}
			return printSet(cmd, set, config.Format(format))
		},
	}
	flags.bind(cmd)
	cmd.Flags().Uint64Var(&version, "version", 0, "a kept version in place of the newest (see history)")
	cmd.Flags().StringVarP(&format, "output", "o", format, "yaml or json")
	completeWith(cmd, "output", string(config.YAML), string(config.JSON))
	return cmd
}

func printSet(cmd *cobra.Command, set config.Set, format config.Format) error {
	if format == config.JSON {
		return writeJSON(cmd.OutOrStdout(), set)
	}
	text, err := set.YAML()
	if err != nil {
		return err
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.text(string(text))
	return out.result()
}
