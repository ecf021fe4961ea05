package cli

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	_ "pollengauge.dev/cmd/pollengauge/internal/earlysignal" // the sidecar ignores SIGHUP until it catches it
	"pollengauge.dev/observe"
	"pollengauge.dev/platform"
)

// logFlushTimeout is how long the process waits at its exit for the log's reader to
// take the remaining lines.
const logFlushTimeout = 200 * time.Millisecond

func newSidecarCommand() *cobra.Command {
	var options platform.Options
	checkOnly := false
	cmd := &cobra.Command{
		Use:   "sidecar",
		Short: "Run the node beside an upstream on the users' platform",
		Long: `Run the node beside an upstream on the users' platform until SIGTERM or
SIGINT, then drain within the platform's grace period. The settings file is the
platform's; its path is in ` + platform.SettingsVariable + `. Numbered events go to stdout.`,
		Example: `  pollengauge sidecar --check --settings /etc/pollengauge/settings.json`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if checkOnly {
				if _, err := platform.LoadSettings(options.Path); err != nil {
					return err
				}
				out := &printer{w: cmd.OutOrStdout()}
				out.text("settings are usable\n")
				return out.result()
			}
			ignoreBrokenLog()
			lines := observe.NewLineWriter(cmd.OutOrStdout(), 0, 0)
			defer lines.Close(logFlushTimeout)
			log, err := observe.NewLogger(observe.LoggerConfig{Output: lines, Format: observe.Logfmt})
			if err != nil {
				return err
			}
			options.Log = log
			return platform.Run(cmd.Context(), options)
		},
	}
	cmd.Flags().StringVar(&options.Path, "settings", os.Getenv(platform.SettingsVariable), "path of the settings file")
	cmd.Flags().StringVar(&options.AdvertisePeer, "advertise-peer", "", "where other nodes reach the inbound listener, if not at its own address (host:port)")
	cmd.Flags().StringVar(&options.AdvertiseGossip, "advertise-gossip", "", "where other nodes reach the membership listener, if not at its own address (host:port)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "only check the settings file")
	return cmd
}
