package cli

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"pollengauge.dev/node"
)

func newCustomersCommand() *cobra.Command {
	flags := &nodesFlags{}
	cmd := &cobra.Command{
		Use:   "customers",
		Short: "List customers with their limits and their use",
		Long: `List the customers of the configuration in force, with their limits, and the
requests each makes and has refused over all nodes, as counted by the node that
owns the customer. The customers with the most refusals come first. No key is
shown, nor its digest.`,
		Example: `  pollengauge customers
  pollengauge customers --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := flags.required()
			if err != nil {
				return err
			}
			views, err := collectCustomers(cmd, flags, addresses)
			if printErr := printCustomers(cmd, views, flags.json); printErr != nil {
				return printErr
			}
			return err
		},
	}
	flags.bind(cmd)
	flags.bindJSON(cmd)
	return cmd
}

// collectCustomers queries all nodes and returns one view of each customer: that of
// the node that owns the customer, if it responded.
func collectCustomers(cmd *cobra.Command, flags *nodesFlags, addresses []string) ([]node.CustomerView, error) {
	client := newNodeClient(flags.timeout)
	defer client.close()
	lists, _, err := split(queryAll(addresses, func(address string) (node.CustomersResponse, error) {
		return client.customers(cmd.Context(), address)
	}))
	byName := make(map[string]node.CustomerView)
	for _, list := range lists {
		for _, view := range list.Customers {
			if known, ok := byName[view.Name]; !ok || (view.Home && view.Asked >= known.Asked) {
				byName[view.Name] = view
			}
		}
	}
	views := make([]node.CustomerView, 0, len(byName))
	for _, view := range byName {
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b node.CustomerView) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name))
	})
	return views, err
}

func printCustomers(cmd *cobra.Command, views []node.CustomerView, asJSON bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), views)
	}
	rows := [][]string{{"CUSTOMER", "KEYS", "PRIORITY", "RATE", "BURST", "ASKED/S", "REFUSED/S"}}
	for _, v := range views {
		rate, burst := "-", "-"
		if v.Rate > 0 {
			rate, burst = shortNumber(v.Rate), shortNumber(v.Burst)
		}
		asked, refused := "-", "-"
		if v.Home {
			asked, refused = shortNumber(v.Asked), shortNumber(v.Refused)
		}
		rows = append(rows, []string{v.Name, strconv.Itoa(v.Keys), strconv.Itoa(v.Priority), rate, burst, asked, refused})
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.table(rows)
	return out.result()
}

// shortNumber formats value with four significant digits.
func shortNumber(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
