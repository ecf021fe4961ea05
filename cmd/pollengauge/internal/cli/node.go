package cli

import (
	"context"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"pollengauge.dev/node"
	"pollengauge.dev/observe"
	"pollengauge.dev/platform/store"
)

// nodeCommand holds the flag values of one run of "node".
type nodeCommand struct {
	settings  node.Settings
	flags     *settingFlags
	checkOnly bool
	format    string
	severity  string
}

func newNodeCommand() *cobra.Command {
	c := &nodeCommand{
		settings: node.DefaultSettings(),
		format:   string(observe.Logfmt),
		severity: observe.Info.String(),
	}
	c.settings.OpenPlatform = store.Open
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run the node beside an upstream",
		Long: `Run the node beside an upstream until SIGTERM or SIGINT, then drain: no call
in flight is cut off unless --drain-timeout passes. A second SIGINT ends the
process at once; a second SIGTERM does not.

Every setting can also be given as an environment variable: --key-window is
POLLENGAUGE_KEY_WINDOW. A flag goes before its variable, and an empty variable
counts as not set. All wrong settings are told together. Numbered events go to
stderr (docs/EVENTS.md).`,
		Example: `  pollengauge node --service filing --zone hu-a --region hu-central \
    --edge 10.0.1.7:8100 --peer 10.0.1.7:8101 --outbound 127.0.0.1:8102 \
    --gossip 10.0.1.7:8103 --admin 127.0.0.1:8104 --platform http://10.0.0.9:7070`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd) },
	}
	c.flags = nodeFlags(cmd, &c.settings)
	c.flags.text(&c.format, "log-format", "logfmt or json")
	c.flags.text(&c.severity, "log-level", "lowest severity logged: debug, info, warn or error")
	cmd.Flags().BoolVar(&c.checkOnly, "check", false, "only check the settings")
	completeWith(cmd, "log-format", string(observe.Logfmt), string(observe.JSON))
	completeWith(cmd, "log-level", "debug", "info", "warn", "error")
	return cmd
}

func (c *nodeCommand) run(cmd *cobra.Command) error {
	c.flags.fromEnvironment()
	for _, name := range c.flags.unknownVariables() {
		_, _ = io.WriteString(cmd.ErrOrStderr(), errorPrefix+name+" names no setting of this build; ignoring it\n")
	}
	c.settings.Log = c.flags.logger(cmd.ErrOrStderr(), c.format, c.severity)
	if err := c.flags.check(c.settings); err != nil {
		return err
	}
	if !c.checkOnly {
		ignoreBrokenLog()
		return runNode(cmd.Context(), c.settings)
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.text("settings are usable\n")
	return out.result()
}

// logger returns the event log. It records an invalid format or severity as a
// problem, for check to report.
func (f *settingFlags) logger(w io.Writer, format, severity string) *observe.Logger {
	level, err := observe.ParseSeverity(severity)
	if err != nil {
		f.problem("log-level", severity, "debug, info, warn or error")
	}
	logger, err := observe.NewLogger(observe.LoggerConfig{Output: w, Format: observe.LogFormat(format), Level: level})
	if err != nil {
		f.problem("log-format", format, "logfmt or json")
	}
	return logger
}

// problem records an invalid setting, for check to report.
func (f *settingFlags) problem(name, value, allowed string) {
	f.problems = append(f.problems, &node.SettingError{Name: name, Value: strconv.Quote(value), Allowed: allowed})
}

// runNode runs the node until ctx ends or an operator requests its exit, then drains
// it.
func runNode(ctx context.Context, settings node.Settings) error {
	n, err := node.New(settings)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.ExitRequested():
	}
	return n.Drain(context.WithoutCancel(ctx))
}

// completeWith registers fixed values for the shell completion of a flag.
func completeWith(cmd *cobra.Command, flag string, values ...string) {
	_ = cmd.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp))
}
