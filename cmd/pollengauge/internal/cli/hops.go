package cli

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/observe"
)

// hopsQuery holds the filters of the hops command.
type hopsQuery struct {
	profile, decision, outcome, reason, kind string
	limit                                    int
}

const (
	defaultHops = 50
	maxHops     = 1000
)

func newHopsCommand() *cobra.Command {
	flags := &nodesFlags{}
	q := &hopsQuery{}
	cmd := &cobra.Command{
		Use:   "hops",
		Short: "List recent hops",
		Long: `List the newest hops that the nodes hold, the newest first. The request's id
leads on to explain.`,
		Example: `  pollengauge hops --decision refused --profile browse
  pollengauge hops --outcome unknown --limit 10`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := flags.required()
			if err != nil {
				return err
			}
			if q.limit < 1 || q.limit > maxHops {
				return &ArgumentError{Name: "--limit", Value: strconv.Itoa(q.limit), Want: "1 to " + strconv.Itoa(maxHops)}
			}
			if err := q.check(); err != nil {
				return err
			}
			return q.run(cmd, flags, addresses)
		},
	}
	flags.bind(cmd)
	flags.bindJSON(cmd)
	cmd.Flags().StringVar(&q.profile, "profile", "", "only this profile")
	cmd.Flags().StringVar(&q.decision, "decision", "", "only admitted, delayed, refused, replayed, forwarded or stale")
	cmd.Flags().StringVar(&q.outcome, "outcome", "", "only complete, not-run or unknown")
	cmd.Flags().StringVar(&q.reason, "reason", "", "only this reason, such as level or queue-wait")
	cmd.Flags().StringVar(&q.kind, "kind", "", "only root, inbound, outbound or attempt")
	cmd.Flags().IntVar(&q.limit, "limit", defaultHops, "most hops of each node and in all, 1 to 1000")
	completeWith(cmd, "decision", hopDecisions...)
	completeWith(cmd, "outcome", hopOutcomes...)
	completeWith(cmd, "kind", hopKinds...)
	return cmd
}

// The values that the filters of hops accept.
var (
	hopDecisions = []string{"admitted", "delayed", "refused", "replayed", "forwarded", "stale"}
	hopOutcomes  = []string{"complete", "not-run", "unknown"}
	hopKinds     = []string{"root", "inbound", "outbound", "attempt"}
)

// check rejects a value that no hop can have. Without the check, a typo such as
// --decision refsued would return an empty list and look like a graph without
// refusals.
func (q *hopsQuery) check() error {
	for _, filter := range []struct {
		flag, value string
		allowed     []string
	}{
		{"--decision", q.decision, hopDecisions},
		{"--outcome", q.outcome, hopOutcomes},
		{"--kind", q.kind, hopKinds},
	} {
		if filter.value != "" && !slices.Contains(filter.allowed, filter.value) {
			return &ArgumentError{Name: filter.flag, Value: filter.value, Want: strings.Join(filter.allowed, ", ")}
		}
	}
	return nil
}

func (q *hopsQuery) run(cmd *cobra.Command, flags *nodesFlags, addresses []string) error {
	client := newNodeClient(flags.timeout)
	defer client.close()
	query := queryOf(map[string]string{
		"profile":  q.profile,
		"decision": q.decision,
		"outcome":  q.outcome,
		"reason":   q.reason,
		"kind":     q.kind,
		"limit":    strconv.Itoa(q.limit),
	})
	found, err := mergeHops("", queryAll(addresses, func(address string) ([]observe.Hop, error) {
		answer, err := client.hops(cmd.Context(), address, query)
		return answer.Hops, err
	}))
	slices.SortStableFunc(found.Hops, func(a, b observe.Hop) int { return b.At.Compare(a.At) })
	found.Hops = found.Hops[:min(q.limit, len(found.Hops))]
	if printErr := printHops(cmd, found, flags.json); printErr != nil {
		return printErr
	}
	return err
}

func printHops(cmd *cobra.Command, found explanation, asJSON bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), found.Hops)
	}
	rows := [][]string{{"AT", "REQUEST", "KIND", "SERVICE", "PROFILE", "LEVEL", "IN FORCE", "DECISION", "OUTCOME", "REASON", "WAITED", "TOOK", "STATUS"}}
	for _, h := range found.Hops {
		rows = append(rows, []string{
			h.At.UTC().Format("15:04:05.000"),
			h.RequestID, string(h.Kind), h.Service, h.Profile,
			h.Level.String(), h.AdmitLevel.String(),
			string(h.Decision), h.Outcome.String(), orDash(string(h.Reason)),
			h.Waited.Round(time.Microsecond).String(),
			h.Took.Round(time.Microsecond).String(),
			strconv.Itoa(h.Status),
		})
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.table(rows)
	return out.result()
}
