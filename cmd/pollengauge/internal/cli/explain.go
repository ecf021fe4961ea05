package cli

import (
	"context"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// explanation is the JSON of explain.
type explanation struct {
	Request     string        `json:"request"`
	Hops        []observe.Hop `json:"hops"`
	Unreachable []string      `json:"unreachable"`
}

func newExplainCommand() *cobra.Command {
	flags := &nodesFlags{}
	width := 0
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Tell why a request was admitted, delayed or refused",
		Long: `Tell in one screen why a request was admitted, delayed or refused: every hop
that the nodes hold of it, its decision and what decided it. The id is in the
answer's header Pollengauge-Request and, of a refusal, in its body. Name all
nodes of the graph: each holds only its own hops, and only the last ones
(--lookback of node).`,
		Example: `  pollengauge explain 4f2a90c17be3.r1z --nodes 127.0.0.1:8104,127.0.0.1:8204`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			addresses, err := flags.required()
			if err != nil {
				return err
			}
			if width < minWidth || width > maxWidth {
				return &ArgumentError{Name: "--width", Value: strconv.Itoa(width), Want: "40 to 1000"}
			}
			if !call.ValidToken(args[0], call.MaxIDLength) {
				return &ArgumentError{Name: "REQUEST", Value: args[0], Want: "a request id, as in the header Pollengauge-Request: visible characters"}
			}
			return runExplain(cmd, flags, addresses, args[0], width)
		},
	}
	flags.bind(cmd)
	flags.bindJSON(cmd)
	cmd.Flags().IntVar(&width, "width", observe.DefaultWidth, "characters in a line, 40 to 1000")
	return cmd
}

func runExplain(cmd *cobra.Command, flags *nodesFlags, addresses []string, request string, width int) error {
	client := newNodeClient(flags.timeout)
	defer client.close()
	found, err := collectHops(cmd.Context(), client, addresses, request)
	if len(found.Hops) == 0 {
		if err != nil {
			return err
		}
		return &NoHopsError{Request: request}
	}
	if flags.json {
		return writeJSON(cmd.OutOrStdout(), found)
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.text(observe.Explain(found.Hops, observe.ExplainOptions{
		Width:       width,
		Unreachable: found.Unreachable,
		Refusals:    collectRefusals(cmd.Context(), client, addresses, found.Hops),
	}))
	return out.result()
}

// collectRefusals returns recent refusals of the profile that was refused at the
// root because of a downstream service; they name that service. It returns nil for
// requests that were not. Nodes that don't respond are ignored here, because the
// query for the request's own hops has already reported them.
func collectRefusals(ctx context.Context, client *nodeClient, addresses []string, hops []observe.Hop) []observe.Hop {
	profile, ok := observe.ShedBelow(hops)
	if !ok {
		return nil
	}
	query := queryOf(map[string]string{
		"profile":  profile,
		"decision": string(observe.Refused),
		"kind":     string(observe.Inbound),
		"limit":    strconv.Itoa(maxHops),
	})
	found, _ := mergeHops("", queryAll(addresses, func(address string) ([]observe.Hop, error) {
		answer, err := client.hops(ctx, address, query)
		return answer.Hops, err
	}))
	return found.Hops
}

func collectHops(ctx context.Context, client *nodeClient, addresses []string, request string) (explanation, error) {
	replies := queryAll(addresses, func(address string) ([]observe.Hop, error) {
		answer, err := client.explain(ctx, address, request)
		return answer.Hops, err
	})
	return mergeHops(request, replies)
}

// mergeHops merges the hops of all replies. The error is non-nil if any node failed.
func mergeHops(request string, replies []reply[[]observe.Hop]) (explanation, error) {
	lists, unreachable, err := split(replies)
	found := explanation{Request: request, Hops: []observe.Hop{}, Unreachable: []string{}}
	for _, list := range lists {
		found.Hops = append(found.Hops, list...)
	}
	found.Unreachable = append(found.Unreachable, unreachable...)
	return found, err
}

// queryOf returns URL parameters without the empty values.
func queryOf(values map[string]string) url.Values {
	query := url.Values{}
	for name, value := range values {
		if value != "" {
			query.Set(name, value)
		}
	}
	return query
}
