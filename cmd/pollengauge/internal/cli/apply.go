package cli

import (
	"github.com/spf13/cobra"

	"pollengauge.dev/config"
)

func newApplyCommand() *cobra.Command {
	flags := &changeFlags{}
	file := ""
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Make a profile set the next version",
		Long: `Make the profile set in a file the next version, and wait until the nodes have
it in force.

The version in the file (get writes it) is the one that the change was made
from. If another version is stored, nobody's change is overwritten: both sides
are shown and the exit code is 3. A file without a version is taken as made
from nothing; --expect names what it may replace, and --expect latest replaces
whatever is stored. A file whose content is stored already changes nothing.

An answer that is lost after the write took effect is settled by reading back.
If that fails too, the exit code is 4 and the command that settles it later is
told; repeating the same --change-id never applies a change twice.`,
		Example: `  pollengauge get > set.yaml && $EDITOR set.yaml && pollengauge apply -f set.yaml
  pollengauge apply -f examples/tenantwise.yaml --expect latest --comment "evening surge"`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := readSet(cmd, file)
			if err != nil {
				return err
			}
			return flags.run(cmd, func(c *change) (changeResult, error) { return c.apply(file, set) })
		},
	}
	bindFile(cmd, &file)
	flags.bind(cmd)
	cmd.Flags().StringVar(&flags.expect, "expect", "", "stored version that may be replaced, or latest (default: the version in the file)")
	completeWith(cmd, "expect", expectLatest)
	return cmd
}

func (c *change) apply(file string, set config.Set) (changeResult, error) {
	stored, err := config.Read(c.cmd.Context(), c.client)
	if err != nil {
		return changeResult{}, err
	}
	if err := c.setExpected(stored.Set.Version, set.Version); err != nil {
		return changeResult{}, err
	}
	options := c.options()
	// A file written by get carries the comment of the previous change, which
	// does not describe this one.
	if options.Comment == "" && (set.Version == 0 || set.Comment != stored.Set.Comment) {
		options.Comment = set.Comment
	}
	if c.flags.changeID == "" && c.isUnchanged(stored.Set, set, options.HighestActiveVersion) {
		return changeResult{ChangeID: stored.Set.ChangeID, Version: stored.Set.Version, NewestVersion: stored.Set.Version, Unchanged: true}, nil
	}
	c.repeat = "pollengauge apply -f " + file
	result, err := config.Apply(c.cmd.Context(), c.client, set, options)
	return changeResultOf(result, stored.Set, set), err
}

// isUnchanged reports whether the same content is already stored under a version
// that nodes would accept, that is, one not lower than above. Version 0 is the
// built-in default, which is never stored.
func (c *change) isUnchanged(stored, set config.Set, above uint64) bool {
	return stored.Version > 0 && stored.Version >= above && len(config.Diff(stored, set)) == 0
}
