package cli

import (
	"context"
	"errors"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/node"
)

const (
	defaultDrainWait  = 30 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

// drainCommand holds the flag values of one run of drain.
type drainCommand struct {
	nodes  nodesFlags
	cancel bool
	exit   bool
	wait   time.Duration
}

// drainState is the state of one node after a drain command, and its JSON.
type drainState struct {
	Address  string `json:"address"`
	Draining bool   `json:"draining"`
	InFlight int    `json:"inFlight"`
	// Exited is true if the process has exited, as requested by --exit.
	Exited bool   `json:"gone"`
	TookMs int64  `json:"tookMs"`
	Error  string `json:"error,omitempty"`
}

func newDrainCommand() *cobra.Command {
	d := &drainCommand{}
	cmd := &cobra.Command{
		Use:   "drain NODE...",
		Short: "Take nodes out of service without cutting off a call",
		Long: `Make nodes take no new work for their upstreams. They tell the others, refuse
with not-run what still arrives (the sender goes elsewhere), and pass on what
arrives at their edge. With --exit a node ends once its last call has ended and
its keys are handed over; without, it keeps running until --cancel takes it
back into service. NODE is the address of an admin listener.`,
		Example: `  pollengauge drain --exit --wait 127.0.0.1:8104
  pollengauge drain --cancel 127.0.0.1:8104`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return d.run(cmd, args) },
	}
	cmd.Flags().DurationVar(&d.nodes.timeout, "timeout", defaultTimeout, "bound on each question to a node")
	d.nodes.bindJSON(cmd)
	cmd.Flags().BoolVar(&d.cancel, "cancel", false, "take the nodes back into service")
	cmd.Flags().BoolVar(&d.exit, "exit", false, "end the processes once drained")
	cmd.Flags().DurationVar(&d.wait, "wait", 0, "wait up to this long (30s if no time is given) for the last call, with --exit for the end of the process")
	cmd.Flags().Lookup("wait").NoOptDefVal = defaultDrainWait.String()
	cmd.MarkFlagsMutuallyExclusive("cancel", "exit")
	cmd.MarkFlagsMutuallyExclusive("cancel", "wait")
	return cmd
}

func (d *drainCommand) run(cmd *cobra.Command, addresses []string) error {
	for _, address := range addresses {
		if err := checkAddress("NODE", address); err != nil {
			return err
		}
	}
	if d.wait < 0 {
		return &ArgumentError{Name: "--wait", Value: d.wait.String(), Want: "0 or more"}
	}
	client := newNodeClient(d.nodes.timeout)
	defer client.close()
	replies := queryAll(addresses, func(address string) (drainState, error) { return d.drain(cmd.Context(), client, address) })
	states := make([]drainState, len(replies))
	for i, r := range replies {
		states[i] = r.value
	}
	_, _, err := split(replies)
	if printErr := d.print(cmd, states); printErr != nil {
		return printErr
	}
	return unwrapSingle(err)
}

// unwrapSingle returns the only failure of an *UnreachableError itself, so that its own
// exit code applies. Other errors are returned unchanged.
func unwrapSingle(err error) error {
	if several, ok := err.(*UnreachableError); ok && len(several.Failures) == 1 {
		return several.Failures[0]
	}
	return err
}

func (d *drainCommand) drain(ctx context.Context, client *nodeClient, address string) (drainState, error) {
	start := time.Now()
	state := drainState{Address: address}
	answer, err := client.drain(ctx, address, node.DrainRequest{Draining: !d.cancel, Exit: d.exit})
	if err != nil {
		state.Error = err.Error()
		return state, err
	}
	state.Draining, state.InFlight = answer.Draining, answer.InFlight
	if d.wait > 0 {
		err = d.awaitDrained(ctx, client, &state)
	}
	state.TookMs = time.Since(start).Milliseconds()
	if err != nil {
		state.Error = err.Error()
	}
	return state, err
}

// awaitDrained polls the node until its last call has ended or, with --exit, until its
// process no longer responds.
func (d *drainCommand) awaitDrained(ctx context.Context, client *nodeClient, state *drainState) error {
	ctx, cancel := context.WithTimeout(ctx, d.wait)
	defer cancel()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		status, err := client.status(ctx, state.Address)
		switch {
		case err == nil:
			state.InFlight = status.InFlight + status.Queue
		case d.exit && ctx.Err() == nil && as[*NodeError](err) && !errors.Is(err, context.DeadlineExceeded):
			state.InFlight = 0
			state.Exited = true
			return nil
		}
		if err == nil && !d.exit && state.InFlight == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &StillBusyError{Node: state.Address, InFlight: state.InFlight, Waited: d.wait}
		case <-tick.C:
		}
	}
}

func (d *drainCommand) print(cmd *cobra.Command, states []drainState) error {
	if d.nodes.json {
		return writeJSON(cmd.OutOrStdout(), states)
	}
	out := &printer{w: cmd.OutOrStdout()}
	for _, s := range states {
		took := (time.Duration(s.TookMs) * time.Millisecond).String()
		switch {
		case s.Error != "":
		case s.Exited:
			out.printf("%s: ended after %s\n", s.Address, took)
		case !s.Draining:
			out.printf("%s: in service\n", s.Address)
		default:
			out.printf("%s: draining, %d calls in flight after %s\n", s.Address, s.InFlight, took)
		}
	}
	return out.result()
}

func newKeyCommand() *cobra.Command {
	flags := &nodesFlags{}
	cmd := &cobra.Command{
		Use:   "key NODE",
		Short: "Mint an idempotency key",
		Long: `Mint an idempotency key that is owned by the node with this admin address. A
caller sends it as Idempotency-Key; whichever node gets it, the call runs at
most once. Callers mint their own at the edge: POST /.well-known/pollengauge/key.`,
		Example: `  curl -X POST -H "Idempotency-Key: $(pollengauge key 127.0.0.1:8104)" http://127.0.0.1:8100/filings`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkAddress("NODE", args[0]); err != nil {
				return err
			}
			client := newNodeClient(flags.timeout)
			defer client.close()
			minted, err := client.key(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if flags.json {
				return writeJSON(cmd.OutOrStdout(), minted)
			}
			out := &printer{w: cmd.OutOrStdout()}
			out.printf("%s\n", minted.Key)
			return out.result()
		},
	}
	cmd.Flags().DurationVar(&flags.timeout, "timeout", defaultTimeout, "bound on the question to the node")
	flags.bindJSON(cmd)
	return cmd
}
