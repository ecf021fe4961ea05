package cli

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/call"
	"pollengauge.dev/node"
	"pollengauge.dev/observe"
)

// nodeState is the state of one node: a row of the status table, and its JSON.
type nodeState struct {
	Address string              `json:"address"`
	Status  *observe.NodeStatus `json:"status"`
	Config  *configState        `json:"config"`
	Error   string              `json:"error,omitempty"`
}

// configState identifies the configuration that a node has in force.
type configState struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"changeId"`
	Hash     string `json:"hash"`
	Source   string `json:"source"`
	// Heard is false while the built-in default is in force because the node has
	// never received a stored set.
	Heard bool `json:"heard"`
}

func newStatusCommand() *cobra.Command {
	flags := &nodesFlags{}
	var targets bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show each node in one line",
		Long: `Show each node in one line: whether it takes work, its load, what it knows of
the others, its keys, and the configuration in force. All nodes should show one
configuration version and hash; a difference that stays is event 2003 or 2009.`,
		Example: `  pollengauge status --nodes 127.0.0.1:8104,127.0.0.1:8204`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := flags.required()
			if err != nil {
				return err
			}
			states, err := collectStates(cmd.Context(), addresses, flags.timeout)
			if printErr := printStates(cmd, states, flags.json, targets); printErr != nil {
				return printErr
			}
			return err
		},
	}
	flags.bind(cmd)
	flags.bindJSON(cmd)
	cmd.Flags().BoolVar(&targets, "targets", false, "also show the load that the upstreams report to each node, and whether it is believed")
	return cmd
}

func collectStates(ctx context.Context, addresses []string, timeout time.Duration) ([]nodeState, error) {
	client := newNodeClient(timeout)
	defer client.close()
	replies := queryAll(addresses, func(address string) (nodeState, error) { return queryState(ctx, client, address) })
	states := make([]nodeState, len(replies))
	for i, r := range replies {
		states[i] = r.value
	}
	_, _, err := split(replies)
	return states, err
}

func queryState(ctx context.Context, client *nodeClient, address string) (nodeState, error) {
	state := nodeState{Address: address}
	status, err := client.status(ctx, address)
	if err != nil {
		state.Error = err.Error()
		return state, err
	}
	inForce, err := client.config(ctx, address)
	if err != nil {
		state.Error = err.Error()
		return state, err
	}
	state.Status = &status
	state.Config = configStateOf(inForce)
	return state, nil
}

func configStateOf(c node.ConfigResponse) *configState {
	return &configState{Version: c.Version, ChangeID: c.ChangeID, Hash: c.Hash, Source: c.Source, Heard: c.Heard}
}

func printStates(cmd *cobra.Command, states []nodeState, asJSON, targets bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), states)
	}
	rows := [][]string{stateHeading}
	for _, s := range states {
		rows = append(rows, stateRow(s))
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.table(rows)
	if targets {
		out.printf("\n")
		out.table(targetRows(states))
	}
	return out.result()
}

var targetHeading = []string{"ADMIN", "SERVICE", "ZONE", "RUNNING/SLOTS", "WAITING", "WORK", "AGE", "BELIEF", "NODE"}

// targetRows returns a row for each load report that a node has of a target.
func targetRows(states []nodeState) [][]string {
	rows := [][]string{targetHeading}
	for _, s := range states {
		if s.Status == nil {
			continue
		}
		for _, t := range s.Status.Targets {
			rows = append(rows, []string{
				s.Address, t.Service, t.Zone,
				strconv.Itoa(t.Running) + "/" + strconv.Itoa(t.Slots),
				strconv.Itoa(t.Waiting),
				strconv.FormatFloat(float64(t.Work)/call.UsualWork, 'f', 2, 64),
				(time.Duration(t.AgeMs) * time.Millisecond).String(),
				t.Belief,
				t.Node,
			})
		}
	}
	return rows
}

var stateHeading = []string{
	"ADMIN", "SERVICE", "ZONE", "REGION", "STATE", "LOAD", "BUSY/LIMIT", "QUEUE", "IN FORCE",
	"MEMBERS", "RUNNING", "UNKNOWN", "CONFIG", "HASH", "FROM", "NODE",
}

const (
	stateColumn      = 4
	hashPrefixLength = 8
)

func stateRow(s nodeState) []string {
	if s.Status == nil {
		row := slices.Repeat([]string{"-"}, len(stateHeading))
		row[0], row[stateColumn] = s.Address, "no answer"
		return row
	}
	n := s.Status
	const thousandthsPerPercent = 10
	return []string{
		s.Address, n.Service, n.Zone, n.Region,
		n.State(),
		strconv.Itoa(n.Load/thousandthsPerPercent) + "%",
		strconv.Itoa(n.InFlight) + "/" + strconv.Itoa(n.Limit),
		strconv.Itoa(n.Queue),
		n.AdmitLevel.String(),
		strconv.Itoa(n.Members.Alive) + "/" + strconv.Itoa(n.Members.Known()),
		strconv.Itoa(n.Keys.Running),
		strconv.Itoa(n.Keys.Unknown),
		strconv.FormatUint(s.Config.Version, 10),
		s.Config.Hash[:min(hashPrefixLength, len(s.Config.Hash))],
		s.Config.Source,
		n.Node,
	}
}
