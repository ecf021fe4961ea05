package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"pollengauge.dev/config"
)

func newRollbackCommand() *cobra.Command {
	flags := &changeFlags{}
	cmd := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Make an earlier profile set the newest again",
		Long: `Make the content of a kept earlier version the next version. Versions only go
up, so nodes take it like any other change. Without --expect it replaces
whatever is stored when the command begins.`,
		Example: `  pollengauge history
  pollengauge rollback 3 --comment "back to the calm set"`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || version == 0 {
				return &ArgumentError{Name: "VERSION", Value: args[0], Want: "a version from history"}
			}
			return flags.run(cmd, func(c *change) (changeResult, error) { return c.rollback(version) })
		},
	}
	flags.bind(cmd)
	cmd.Flags().StringVar(&flags.expect, "expect", "", "stored version that may be replaced, or latest (default latest)")
	completeWith(cmd, "expect", expectLatest)
	return cmd
}

func (c *change) rollback(version uint64) (changeResult, error) {
	stored, err := config.Read(c.cmd.Context(), c.client)
	if err != nil {
		return changeResult{}, err
	}
	if err := c.setExpected(stored.Set.Version, stored.Set.Version); err != nil {
		return changeResult{}, err
	}
	c.repeat = "pollengauge rollback " + strconv.FormatUint(version, 10)
	result, err := config.Rollback(c.cmd.Context(), c.client, version, c.options())
	return changeResultOf(result, stored.Set, result.Current), err
}
