package cli

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/bench/control"
)

// controlCommand holds the flag values of one run of "bench control".
type controlCommand struct {
	cfg    control.Config
	phases []string
	fleet  int
	hold   time.Duration
	asJSON bool
}

func newBenchControlCommand() *cobra.Command {
	c := &controlCommand{cfg: control.DefaultConfig()}
	for _, phase := range c.cfg.Phases {
		c.phases = append(c.phases, string(phase))
	}
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Measure what a node spends on control",
		Long: `Start fleets of several sizes in this one process, on loopback with a stand-in
platform, and print what a node spends on control while nothing happens and
during changes, drains, failures, restarts and a network partition; then the
straight lines fitted through the sizes. Nodes carry no calls meanwhile.

With --fleet it starts one fleet instead, prints where to join it and keeps it
for --hold, so that a node in a process of its own can be measured beside it:
the process's memory is in /proc, or in the node's status with its CPU time.
With --others it measures its own members as part of a fleet whose other members
are in such a process.`,
		Example: `  pollengauge bench control
  pollengauge bench control --sizes 160 --phases start,steady --json
  pollengauge bench control --fleet 280 --hold 3m
  pollengauge bench control --sizes 280 --others 280 --peers 127.0.0.1:41001 --platform http://127.0.0.1:41000`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if c.fleet > 0 {
				return c.holdFleet(cmd)
			}
			return c.measure(cmd)
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&c.cfg.Sizes, "sizes", c.cfg.Sizes, "members of each fleet; one named again is run again, for medians")
	flags.StringSliceVar(&c.phases, "phases", c.phases, "phases to run; start and steady always run")
	flags.IntVar(&c.cfg.Wave, "wave", c.cfg.Wave, "nodes started at once")
	flags.DurationVar(&c.cfg.Settle, "settle", c.cfg.Settle, "pause before the steady window")
	flags.DurationVar(&c.cfg.Window, "window", c.cfg.Window, "length of the steady window")
	flags.DurationVar(&c.cfg.Limit, "limit", c.cfg.Limit, "longest time of a phase")
	flags.BoolVar(&c.cfg.InMemory, "memory", false, "connect the nodes in memory instead of by TCP; needs no open files")
	flags.IntVar(&c.cfg.Others, "others", 0, "members in other processes; needs --peers and --platform")
	flags.StringVar(&c.cfg.Join.Gossip, "peers", "", "gossip address of the others")
	flags.StringVar(&c.cfg.Join.Platform, "platform", "", "platform of the others")
	flags.IntVar(&c.fleet, "fleet", 0, "keep a fleet of so many members instead of measuring")
	flags.DurationVar(&c.hold, "hold", time.Minute, "how long --fleet is kept")
	flags.BoolVar(&c.asJSON, "json", false, "write the result as JSON")
	return cmd
}

func (c *controlCommand) measure(cmd *cobra.Command) error {
	c.cfg.Phases = nil
	for _, phase := range c.phases {
		c.cfg.Phases = append(c.cfg.Phases, control.Phase(phase))
	}
	result, err := control.Run(cmd.Context(), c.cfg)
	// Print the sizes measured before a failure: each took minutes.
	if err == nil || len(result.Sizes) > 0 {
		if err := c.print(cmd, result); err != nil {
			return err
		}
	}
	if err != nil {
		return controlError(err)
	}
	if unreached := result.Unreached(); unreached > 0 {
		return &UnreachedError{Phases: unreached}
	}
	return nil
}

func (c *controlCommand) print(cmd *cobra.Command, result control.Result) error {
	if c.asJSON {
		return writeJSON(cmd.OutOrStdout(), result)
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.text(result.String())
	return out.result()
}

// holdFleet runs a fleet until --hold has passed or the operator interrupts it.
func (c *controlCommand) holdFleet(cmd *cobra.Command) error {
	c.cfg.Sizes = []int{c.fleet}
	fleet, err := control.Hold(cmd.Context(), c.cfg)
	if err != nil {
		return controlError(err)
	}
	defer fleet.Close()
	out := &printer{w: cmd.OutOrStdout()}
	out.text("members " + strconv.Itoa(fleet.Members()) + "\njoin with --peers " + fleet.Gossip + " --platform " + fleet.Platform + "\n")
	if err := out.result(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), c.hold)
	defer cancel()
	<-ctx.Done()
	return nil
}

// controlError wraps a failure of the fleet in a *BenchmarkError. Other errors
// mean that the arguments can't be used, and are returned unchanged.
func controlError(err error) error {
	if failed := (*control.FleetError)(nil); errors.As(err, &failed) {
		return &BenchmarkError{Cause: failed}
	}
	return err
}

// UnreachedError means that in some phases a change did not reach every node within
// the time limit.
type UnreachedError struct{ Phases int }

// Error implements error.
func (e *UnreachedError) Error() string {
	return strconv.Itoa(e.Phases) + " phases did not complete within the time limit"
}

func (*UnreachedError) exitCode() ExitCode { return ExitFailed }
