package cli

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/node"
	"pollengauge.dev/quarantine"
)

func newQuarantineCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List and clear requests that crash upstreams",
		Long: `List and clear the requests that are held back because one upstream after another
crashed while running them. A fingerprint stands for a request's method, host, path,
query, caller and body. How to go about it is in docs/OPERATIONS.md.`,
		Example: `  pollengauge quarantine list
  pollengauge quarantine clear 9c1e03a77d2b5f10`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newQuarantineListCommand(), newQuarantineClearCommand())
	return cmd
}

func newQuarantineListCommand() *cobra.Command {
	flags := &nodesFlags{}
	suspects := false
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the requests that are held back",
		Long: `List the requests that are held back, as the nodes know them, each once: those
with the most crashes (ENDS) first. REQUEST is known to nodes whose own upstream
crashed.`,
		Example: `  pollengauge quarantine list
  pollengauge quarantine list --suspects --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := flags.required()
			if err != nil {
				return err
			}
			requests, err := collectQuarantined(cmd, flags, addresses, suspects)
			if printErr := printQuarantined(cmd, requests, flags.json); printErr != nil {
				return printErr
			}
			return err
		},
	}
	flags.bind(cmd)
	flags.bindJSON(cmd)
	cmd.Flags().BoolVar(&suspects, "suspects", false, "also list the requests that have crashed only one upstream")
	return cmd
}

// collectQuarantined queries all nodes and returns one view of each quarantined request:
// the one with the most crashes, and among those one that names the request.
func collectQuarantined(cmd *cobra.Command, flags *nodesFlags, addresses []string, suspects bool) ([]node.HeldView, error) {
	client := newNodeClient(flags.timeout)
	defer client.close()
	lists, _, err := split(queryAll(addresses, func(address string) ([]node.HeldView, error) {
		answer, err := client.quarantine(cmd.Context(), address, suspects)
		return answer.Requests, err
	}))
	requests := slices.Concat(lists...)
	slices.SortStableFunc(requests, func(a, b node.HeldView) int {
		return cmp.Or(
			cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Fingerprint, b.Fingerprint),
			cmp.Compare(b.Request, a.Request), a.Since.Compare(b.Since),
		)
	})
	seen := make(map[string]bool, len(requests))
	requests = slices.DeleteFunc(requests, func(h node.HeldView) bool {
		known := seen[h.Fingerprint]
		seen[h.Fingerprint] = true
		return known
	})
	return requests, err
}

func printQuarantined(cmd *cobra.Command, requests []node.HeldView, asJSON bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), append([]node.HeldView{}, requests...))
	}
	rows := [][]string{{"FINGERPRINT", "ENDS", "SINCE", "TRIAL IN", "REQUEST"}}
	for _, h := range requests {
		left := time.Duration(h.TrialInMs) * time.Millisecond
		rows = append(rows, []string{
			h.Fingerprint, strconv.Itoa(h.Ends), h.Since.UTC().Format(time.RFC3339),
			left.Round(time.Second).String(), orDash(h.Request),
		})
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.table(rows)
	return out.result()
}

func newQuarantineClearCommand() *cobra.Command {
	flags := &nodesFlags{}
	cmd := &cobra.Command{
		Use:     "clear FINGERPRINT",
		Short:   "Let a request run again that is held back",
		Long:    `Let a request run again, at all upstreams. Use it after the fault that made them crash is fixed. The first of the nodes that knows the request notifies the others.`,
		Example: `  pollengauge quarantine clear 9c1e03a77d2b5f10`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := quarantine.ParseFingerprint(args[0]); err != nil {
				return &ArgumentError{Name: "FINGERPRINT", Value: args[0], Want: "1 to 16 hexadecimal digits"}
			}
			addresses, err := flags.required()
			if err != nil {
				return err
			}
			return clearQuarantined(cmd, flags, addresses, args[0])
		},
	}
	flags.bind(cmd)
	return cmd
}

// clearQuarantined asks one node after another to clear the request until one of them
// knows it.
func clearQuarantined(cmd *cobra.Command, flags *nodesFlags, addresses []string, fingerprint string) error {
	client := newNodeClient(flags.timeout)
	defer client.close()
	var failures []error
	for _, address := range addresses {
		answer, err := client.clear(cmd.Context(), address, node.ClearRequest{Fingerprint: fingerprint})
		switch {
		case err != nil:
			failures = append(failures, err)
		case answer.Cleared:
			out := &printer{w: cmd.OutOrStdout()}
			out.printf("cleared at %s\n", address)
			return out.result()
		}
	}
	if len(failures) > 0 {
		return &UnreachableError{Failures: failures}
	}
	return &UnknownRequestError{Fingerprint: fingerprint}
}

// UnknownRequestError means that none of the nodes queried has the request in
// quarantine.
type UnknownRequestError struct{ Fingerprint string }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return "none of the nodes queried knows request " + e.Fingerprint
}

func (*UnknownRequestError) exitCode() ExitCode { return ExitNotFound }
