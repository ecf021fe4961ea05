package cli

import (
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/config"
)

// historyEntry is one change of the configuration, and its JSON.
type historyEntry struct {
	config.Change
	// Kept reports whether the version is still stored, so that get and rollback can
	// use it.
	Kept bool `json:"kept"`
}

func newHistoryCommand() *cobra.Command {
	flags := &platformFlags{}
	asJSON := false
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the accepted changes, the newest first",
		Long: `List the accepted changes, the newest first. The platform keeps the record of
64 changes, and up to 16 earlier profile sets whole: those are marked as kept
and can be read by get --version and brought back by rollback.`,
		Example: `  pollengauge history`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			document, err := readDocument(cmd.Context(), flags)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), historyOf(document))
			}
			return printHistory(cmd, historyOf(document))
		},
	}
	flags.bind(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the result as JSON")
	return cmd
}

func historyOf(document config.Document) []historyEntry {
	entries := make([]historyEntry, 0, len(document.Changes))
	for _, change := range slices.Backward(document.Changes) {
		_, err := document.Lookup(change.Version)
		entries = append(entries, historyEntry{Change: change, Kept: err == nil})
	}
	return entries
}

func printHistory(cmd *cobra.Command, entries []historyEntry) error {
	rows := [][]string{{"VERSION", "AT", "AUTHOR", "KEPT", "CHANGE", "COMMENT"}}
	for _, e := range entries {
		rows = append(rows, []string{
			strconv.FormatUint(e.Version, 10),
			e.At.UTC().Format(time.RFC3339),
			orDash(e.Author),
			yesNo(e.Kept),
			e.ChangeID,
			orDash(e.Comment),
		})
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.table(rows)
	return out.result()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
