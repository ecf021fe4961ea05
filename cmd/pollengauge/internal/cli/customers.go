package cli

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

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
owns the customer. The customers with the most refusals come first. The last
columns show the customer's weight, the slot time that its requests took of each
service under pressure, in seconds, and how many were refused under pressure,
since the nodes started. No key is shown, nor its digest.`,
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
// the node that owns the customer, if it responded, with the slot times of all nodes.
func collectCustomers(cmd *cobra.Command, flags *nodesFlags, addresses []string) ([]node.CustomerView, error) {
	client := newNodeClient(flags.timeout)
	defer client.close()
	lists, _, err := split(queryAll(addresses, func(address string) (node.CustomersResponse, error) {
		return client.customers(cmd.Context(), address)
	}))
	byName := make(map[string]node.CustomerView)
	slotTimes := make(slotTimeSums)
	for _, list := range lists {
		for _, view := range list.Customers {
			slotTimes.add(view)
			if known, ok := byName[view.Name]; !ok || (view.Home && view.Asked >= known.Asked) {
				byName[view.Name] = view
			}
		}
	}
	views := make([]node.CustomerView, 0, len(byName))
	for _, view := range byName {
		view.SlotTimes = slotTimes.of(view.Name)
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b node.CustomerView) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name))
	})
	return views, err
}

// slotTimeSums sums the slot times that nodes report, by customer and service.
type slotTimeSums map[string]map[string]node.SlotTimeView

func (s slotTimeSums) add(view node.CustomerView) {
	if len(view.SlotTimes) == 0 {
		return
	}
	if s[view.Name] == nil {
		s[view.Name] = make(map[string]node.SlotTimeView)
	}
	for _, t := range view.SlotTimes {
		sum, known := s[view.Name][t.Service]
		if !known {
			s[view.Name][t.Service] = t
			continue
		}
		// The cost is the mean of the nodes' costs by slot time.
		if seconds := sum.Seconds + t.Seconds; seconds > 0 {
			sum.Cost = (sum.Cost*sum.Seconds + t.Cost*t.Seconds) / seconds
		}
		sum.Seconds += t.Seconds
		sum.Refused += t.Refused
		s[view.Name][t.Service] = sum
	}
}

// of returns the sums of a customer, the highest slot time first.
func (s slotTimeSums) of(customer string) []node.SlotTimeView {
	return slices.SortedFunc(maps.Values(s[customer]), func(a, b node.SlotTimeView) int {
		return cmp.Or(cmp.Compare(b.Seconds, a.Seconds), cmp.Compare(a.Service, b.Service))
	})
}

func printCustomers(cmd *cobra.Command, views []node.CustomerView, asJSON bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), views)
	}
	rows := [][]string{{"CUSTOMER", "KEYS", "PRIORITY", "RATE", "BURST", "ASKED/S", "REFUSED/S", "WEIGHT", "SLOT-SECONDS", "REFUSED-UNDER-PRESSURE"}}
	for _, v := range views {
		rate, burst := "-", "-"
		if v.Rate > 0 {
			rate, burst = shortNumber(v.Rate), shortNumber(v.Burst)
		}
		asked, refused := "-", "-"
		if v.Home {
			asked, refused = shortNumber(v.Asked), shortNumber(v.Refused)
		}
		weight := "-"
		if v.Weight > 0 {
			weight = shortNumber(v.Weight)
		}
		rows = append(rows, []string{v.Name, strconv.Itoa(v.Keys), strconv.Itoa(v.Priority), rate, burst, asked, refused, weight, slotSeconds(v), underPressure(v)})
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.table(rows)
	return out.result()
}

// slotSeconds formats the slot times of a customer by service, "-" if there are none.
func slotSeconds(v node.CustomerView) string {
	parts := make([]string, len(v.SlotTimes))
	for i, t := range v.SlotTimes {
		parts[i] = t.Service + "=" + shortNumber(t.Seconds)
	}
	return cmp.Or(strings.Join(parts, ","), "-")
}

// underPressure formats the number of requests that were refused under pressure.
func underPressure(v node.CustomerView) string {
	sum := uint64(0)
	for _, t := range v.SlotTimes {
		sum += t.Refused
	}
	return strconv.FormatUint(sum, 10)
}

// shortNumber formats value with four significant digits.
func shortNumber(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
