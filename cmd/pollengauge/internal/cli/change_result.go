package cli

import (
	"strconv"

	"pollengauge.dev/config"
)

// printResult prints the result of a change that took effect.
func (c *change) printResult(result changeResult) error {
	if result.Changes == nil {
		result.Changes = []difference{}
	}
	if c.flags.nodes.json {
		return writeJSON(c.cmd.OutOrStdout(), result)
	}
	out := &printer{w: c.cmd.OutOrStdout()}
	version := strconv.FormatUint(result.Version, 10)
	switch {
	case result.Unchanged:
		out.printf("unchanged: version %s has this content already\n", version)
	case result.Settled:
		out.printf("version %s is stored (change %s, found by reading back)\n", version, result.ChangeID)
	default:
		out.printf("version %s is stored (change %s)\n", version, result.ChangeID)
	}
	if result.NewestVersion > result.Version {
		out.printf("another change has followed: the newest is version %d\n", result.NewestVersion)
	}
	for _, d := range result.Changes {
		out.printf("  %s\n", config.Difference(d))
	}
	for _, n := range result.Nodes {
		out.printf("%s\n", n)
	}
	return out.result()
}
