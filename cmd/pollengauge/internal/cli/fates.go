package cli

import (
	"cmp"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/node"
)

// fate is the fate of one idempotency key and the node that reported it.
type fate struct {
	// Address is the admin listener of the node that reported the fate.
	Address string `json:"address"`
	node.FateView
}

func newFatesCommand() *cobra.Command {
	flags := &nodesFlags{}
	all := false
	claims := false
	request := ""
	cmd := &cobra.Command{
		Use:   "fates",
		Short: "List idempotency keys that need attention",
		Long: `List the idempotency keys whose fate is unknown, and those that have been
running for more than a minute, the longest first. Keys are redacted: whoever
knows a whole key can fetch its stored answer. How to settle an unknown fate is
in docs/OPERATING.md. With --claims, list what the platform still has of VMs that
are lost: claims on keys that callers brought, and recorded fates, that are open.`,
		Example: `  pollengauge fates
  pollengauge fates --claims
  pollengauge fates --request 4f2a90c17be3.r1z`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := flags.required()
			if err != nil {
				return err
			}
			query := map[string]string{"request": request}
			if all {
				query["all"] = "1"
			}
			if claims {
				return runClaims(cmd, flags, addresses)
			}
			fates, err := collectFates(cmd, flags, addresses, query)
			if printErr := printFates(cmd, fates, flags.json); printErr != nil {
				return printErr
			}
			return err
		},
	}
	flags.bind(cmd)
	flags.bindJSON(cmd)
	cmd.Flags().BoolVar(&all, "all", false, "list every key, up to 1000 of each node")
	cmd.Flags().StringVar(&request, "request", "", "list the keys of one request")
	cmd.Flags().BoolVar(&claims, "claims", false, "list the open claims of lost VMs in the platform")
	cmd.MarkFlagsMutuallyExclusive("all", "request", "claims")
	return cmd
}

func collectFates(cmd *cobra.Command, flags *nodesFlags, addresses []string, query map[string]string) ([]fate, error) {
	client := newNodeClient(flags.timeout)
	defer client.close()
	lists, _, err := split(queryAll(addresses, func(address string) ([]fate, error) {
		answer, err := client.fates(cmd.Context(), address, queryOf(query))
		fates := make([]fate, len(answer.Fates))
		for i, view := range answer.Fates {
			fates[i] = fate{Address: address, FateView: view}
		}
		return fates, err
	}))
	fates := slices.Concat(lists...)
	slices.SortStableFunc(fates, func(a, b fate) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Key, b.Key))
	})
	return fates, err
}

// sinceOf formats the time since which the fate holds. It is "-" for a claim, which
// does not record when it was made.
func sinceOf(f fate) string {
	if f.Since.IsZero() {
		return orDash("")
	}
	return f.Since.UTC().Format(time.RFC3339)
}

func printFates(cmd *cobra.Command, fates []fate, asJSON bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), append([]fate{}, fates...))
	}
	rows := [][]string{{"KEY", "STATE", "REASON", "PROFILE", "REQUEST", "SINCE", "EXPIRES", "ADMIN", "HOME"}}
	for _, f := range fates {
		rows = append(rows, []string{
			f.Key, f.State, orDash(f.Reason), orDash(f.Profile), orDash(f.Request),
			sinceOf(f), f.Expires.UTC().Format(time.RFC3339),
			f.Address, f.Home,
		})
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.table(rows)
	return out.result()
}
