package cli

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
)

const (
	// expectLatest is the value of --expect that accepts whatever version is stored
	// when the command starts.
	expectLatest = "latest"
	defaultWait  = 5 * time.Second
)

// changeFlags are the flags shared by the commands that change the configuration.
type changeFlags struct {
	platform platformFlags
	nodes    nodesFlags
	expect   string
	changeID string
	author   string
	comment  string
	above    uint64
	wait     time.Duration
}

func (f *changeFlags) bind(cmd *cobra.Command) {
	f.platform.bind(cmd)
	f.nodes.bind(cmd)
	f.nodes.bindJSON(cmd)
	cmd.Flags().StringVar(&f.changeID, "change-id", "", "id that makes repeating this very change safe (default: a random one)")
	cmd.Flags().StringVar(&f.author, "author", "", "who makes the change (default $"+envAuthor+", else the user's name)")
	cmd.Flags().StringVar(&f.comment, "comment", "", "why the change is made")
	cmd.Flags().Uint64Var(&f.above, "above", 0, "make a version above this one; matters after the platform lost its data (default: the highest that --nodes have in force)")
	cmd.Flags().DurationVar(&f.wait, "wait", defaultWait, "how long to wait until --nodes have the change in force; 0 does not ask them")
}

// changeResult is the JSON of a change that took effect.
type changeResult struct {
	ChangeID string `json:"changeId"`
	Version  uint64 `json:"version"`
	// Unchanged is true if the same content was already stored, so nothing was written.
	Unchanged bool `json:"unchanged"`
	// Settled is true if the response to the write was lost and reading back found
	// the change.
	Settled bool `json:"settled"`
	// NewestVersion is the newest stored version. It is above Version if another
	// change has followed.
	NewestVersion uint64        `json:"newestVersion"`
	Changes       []difference  `json:"changes"`
	Nodes         []nodeInForce `json:"nodes"`
}

// change is the state of one change of the configuration while it is being made.
type change struct {
	flags     *changeFlags
	cmd       *cobra.Command
	client    *objects.Client
	addresses []string
	// expected is the stored version that the change may replace.
	expected uint64
	// repeat is the command line without --expect and --change-id. With those two
	// added, it settles a change whose fate is unknown.
	repeat string
}

// run connects to the platform, makes the change with do, waits for the nodes and
// prints the result.
func (f *changeFlags) run(cmd *cobra.Command, do func(c *change) (changeResult, error)) error {
	addresses, err := f.nodes.addresses()
	if err != nil {
		return err
	}
	if f.wait < 0 {
		return &ArgumentError{Name: "--wait", Value: f.wait.String(), Want: "0 or more"}
	}
	client, err := f.platform.client()
	if err != nil {
		return err
	}
	defer client.Close()
	c := &change{flags: f, cmd: cmd, client: client, addresses: addresses}
	result, err := do(c)
	if err != nil {
		return c.reportFailure(err)
	}
	result.Nodes, err = c.awaitInForce(result.Version)
	if printErr := c.printResult(result); printErr != nil {
		return printErr
	}
	return err
}

// options returns the options for config.Apply and config.Rollback.
func (c *change) options() config.ApplyOptions {
	f := c.flags
	author := f.author
	if author == "" {
		author = defaultAuthor()
	}
	return config.ApplyOptions{
		ExpectVersion:        c.expected,
		HighestActiveVersion: c.above(),
		ChangeID:             f.changeID,
		Author:               author,
		Comment:              f.comment,
		Now:                  time.Now(),
	}
}

// above returns the version that the new version must exceed: the value of
// --above, or else the highest version that any node has in force.
//
// If the platform loses its data, it numbers versions from 1 again. Nodes accept
// only higher versions, so they would ignore new sets until the numbers had caught
// up. Starting above the nodes' versions prevents that.
func (c *change) above() uint64 {
	if c.cmd.Flags().Changed("above") {
		return c.flags.above
	}
	highest := uint64(0)
	for _, r := range c.versions(c.cmd.Context()) {
		highest = max(highest, r.value)
	}
	return highest
}

// setExpected sets the stored version that the change may replace: the value of
// --expect, or otherwise if the flag is not given.
func (c *change) setExpected(stored, otherwise uint64) error {
	switch c.flags.expect {
	case "":
		c.expected = otherwise
		return nil
	case expectLatest:
		c.expected = stored
		return nil
	}
	version, err := strconv.ParseUint(c.flags.expect, 10, 64)
	if err != nil {
		return &ArgumentError{Name: "--expect", Value: c.flags.expect, Want: "a version or " + expectLatest}
	}
	c.expected = version
	return nil
}

func changeResultOf(result config.Result, before, after config.Set) changeResult {
	return changeResult{
		ChangeID:      result.ChangeID,
		Version:       result.Version,
		Settled:       result.FoundInHistory,
		NewestVersion: result.Current.Version,
		Changes:       differencesOf(config.Diff(before, after)),
	}
}

// reportFailure handles a change that returned err. It prints both sides of a lost race,
// and adds the command that settles a change whose fate is unknown.
func (c *change) reportFailure(err error) error {
	if race := (*config.RaceError)(nil); errors.As(err, &race) {
		if printErr := c.reportRace(race); printErr != nil {
			return printErr
		}
	}
	applied := (*config.ApplyError)(nil)
	if !errors.As(err, &applied) || applied.Fate != config.FateUnknown {
		return err
	}
	command := c.repeat + " --expect " + strconv.FormatUint(c.expected, 10) + " --change-id " + applied.ChangeID
	return &UnsettledError{Command: command, Cause: err}
}

// versions queries every node for the version it has in force.
func (c *change) versions(ctx context.Context) []reply[uint64] {
	client := newNodeClient(c.flags.nodes.timeout)
	defer client.close()
	return queryAll(c.addresses, func(address string) (uint64, error) {
		answer, err := client.config(ctx, address)
		return answer.Version, err
	})
}
