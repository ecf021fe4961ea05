package cli

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"pollengauge.dev/observe"
)

const (
	defaultInterval = time.Second
	minInterval     = 100 * time.Millisecond
	maxInterval     = time.Minute
	minWidth        = 40
	maxWidth        = 1000
	maxHeight       = 10_000
)

// Terminal escape sequences. Each screen overwrites the previous one in place and
// then clears the rest, because clearing the screen first would flicker.
const (
	clearScreen = "\x1b[2J"
	cursorHome  = "\x1b[H"
	clearBelow  = "\x1b[J"
)

// topScreen holds the flag values of one run of top.
type topScreen struct {
	nodes    nodesFlags
	interval time.Duration
	once     bool
	width    int
	height   int
}

func newTopCommand() *cobra.Command {
	t := &topScreen{}
	cmd := &cobra.Command{
		Use:   "top",
		Short: "Show limits, queues, levels and outcomes live",
		Long: `Show the nodes live: a row for each service and profile with its outcomes, and
a row for each node, the most loaded first. The first screen shows totals since
the nodes began, the following ones rates a second. Ctrl-C ends it.`,
		Example: `  pollengauge top --nodes 127.0.0.1:8104,127.0.0.1:8204
  pollengauge top --once`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return t.run(cmd) },
	}
	t.nodes.bind(cmd)
	cmd.Flags().DurationVar(&t.interval, "interval", defaultInterval, "time between two screens, 100ms to 1m")
	cmd.Flags().BoolVar(&t.once, "once", false, "print one screen of totals and end")
	cmd.Flags().IntVar(&t.width, "width", 0, "characters in a line, 40 to 1000 (default: the terminal's, else 120)")
	cmd.Flags().IntVar(&t.height, "height", 0, "lines of the screen, 1 to 10000 (default: the terminal's, else no bound)")
	return cmd
}

func (t *topScreen) check(cmd *cobra.Command) error {
	if t.interval < minInterval || t.interval > maxInterval {
		return &ArgumentError{Name: "--interval", Value: t.interval.String(), Want: minInterval.String() + " to " + maxInterval.String()}
	}
	if cmd.Flags().Changed("width") && (t.width < minWidth || t.width > maxWidth) {
		return &ArgumentError{Name: "--width", Value: cmd.Flag("width").Value.String(), Want: "40 to 1000"}
	}
	if cmd.Flags().Changed("height") && (t.height < 1 || t.height > maxHeight) {
		return &ArgumentError{Name: "--height", Value: cmd.Flag("height").Value.String(), Want: "1 to 10000"}
	}
	return nil
}

func (t *topScreen) run(cmd *cobra.Command) error {
	addresses, err := t.nodes.required()
	if err != nil {
		return err
	}
	if err := t.check(cmd); err != nil {
		return err
	}
	client := newNodeClient(t.nodes.timeout)
	defer client.close()
	out := &printer{w: cmd.OutOrStdout()}
	if t.once {
		statuses, unreachable, failed := collectStatuses(cmd.Context(), client, addresses)
		out.text(t.render(cmd, statuses, nil, unreachable))
		if err := out.result(); err != nil {
			return err
		}
		return failed
	}
	return t.runLive(cmd, client, addresses, out)
}

// runLive writes screens until the command is interrupted. A node that returns no
// status does not stop it: the screen names the node, and the next screen queries it
// again.
func (t *topScreen) runLive(cmd *cobra.Command, client *nodeClient, addresses []string, out *printer) error {
	ctx := cmd.Context()
	tick := time.NewTicker(t.interval)
	defer tick.Stop()
	var previous []observe.NodeStatus
	out.text(clearScreen)
	for ctx.Err() == nil && out.err == nil {
		statuses, unreachable, _ := collectStatuses(ctx, client, addresses)
		out.text(cursorHome + t.render(cmd, statuses, previous, unreachable) + clearBelow)
		previous = statuses
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	return out.result()
}

func collectStatuses(ctx context.Context, client *nodeClient, addresses []string) ([]observe.NodeStatus, []string, error) {
	return split(queryAll(addresses, func(address string) (observe.NodeStatus, error) { return client.status(ctx, address) }))
}

func (t *topScreen) render(cmd *cobra.Command, statuses, previous []observe.NodeStatus, unreachable []string) string {
	width, height := t.width, t.height
	if terminal, ok := cmd.OutOrStdout().(*os.File); ok {
		columns, lines := terminalSize(terminal)
		if width == 0 {
			width = columns
		}
		if height == 0 && !t.once {
			height = lines - 1
		}
	}
	return observe.RenderTop(statuses, observe.TopOptions{
		Width:       width,
		Height:      max(0, height),
		Previous:    previous,
		Unreachable: unreachable,
		Now:         time.Now(),
	})
}

// terminalSize returns the size of the terminal f, or 0, 0 if f is not a terminal.
func terminalSize(f *os.File) (columns, lines int) {
	size, err := unix.IoctlGetWinsize(int(f.Fd()), unix.TIOCGWINSZ)
	if err != nil {
		return 0, 0
	}
	return int(size.Col), int(size.Row)
}
