package cli

import (
	"context"
	"errors"
	"math"
	"net"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/cmd/pollengauge/internal/upstream"
	"pollengauge.dev/standin"
)

func newStandinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Small stand-ins to run the system by hand",
		Long: `Small stand-ins of what surrounds the system, to run it by hand as plain
processes. They keep everything in memory and are not for production.`,
		Example: `  pollengauge standin platform --addr 127.0.0.1:7070
  pollengauge standin upstream --service filing --addr 127.0.0.1:9001 \
    --node-admin 127.0.0.1:8104 --node-outbound 127.0.0.1:8102 --calls directory/lookup`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newStandinPlatformCommand(), newStandinUpstreamCommand())
	return cmd
}

func newStandinPlatformCommand() *cobra.Command {
	addr := "127.0.0.1:7070"
	options := standin.Options{ReadRate: standin.DefaultReadRate, WriteRate: standin.DefaultWriteRate}
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's object API from memory",
		Long: `Serve the platform's object API from memory until SIGTERM or SIGINT. GET /stats
counts the calls; POST /faults takes JSON such as {"down":true}, {"delay_ms":500}
or {"drop_next":1} (the next answer to a write is lost), and {} heals all.`,
		Example: `  pollengauge standin platform --addr 127.0.0.1:7070
  curl -d '{"down":true}' http://127.0.0.1:7070/faults`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, _, err := net.SplitHostPort(addr); err != nil {
				return &ArgumentError{Name: "--addr", Value: addr, Want: "host:port"}
			}
			for _, name := range []string{"read-rate", "write-rate"} {
				if perSecond, err := cmd.Flags().GetFloat64(name); err != nil || !(perSecond > 0) {
					return &ArgumentError{Name: "--" + name, Value: cmd.Flag(name).Value.String(), Want: "above 0"}
				}
			}
			return servePlatform(cmd, addr, options)
		},
	}
	cmd.Flags().StringVar(&addr, "addr", addr, "listener (host:port)")
	cmd.Flags().Float64Var(&options.ReadRate, "read-rate", options.ReadRate, "reads a second over which it refuses; a waiting watch is one")
	cmd.Flags().Float64Var(&options.WriteRate, "write-rate", options.WriteRate, "writes a second over which it refuses")
	cmd.Flags().IntVar(&options.History, "history", standin.DefaultHistory, "events kept for watches")
	return cmd
}

func servePlatform(cmd *cobra.Command, addr string, options standin.Options) error {
	options.ReadRate = min(options.ReadRate, math.MaxInt32)
	options.WriteRate = min(options.WriteRate, math.MaxInt32)
	server := standin.New(options)
	bound, err := server.Start(addr)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	out := &printer{w: cmd.OutOrStdout()}
	out.printf("platform stand-in on http://%s\n", bound)
	if err := out.result(); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return nil
}

func newStandinUpstreamCommand() *cobra.Command {
	settings := upstream.Settings{
		Addr:     "127.0.0.1:0",
		Work:     5 * time.Millisecond,
		Slots:    100,
		Interval: 500 * time.Millisecond,
	}
	var calls []string
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Serve one upstream that announces itself to its node",
		Long: `Serve one upstream until SIGTERM or SIGINT. It answers every path after --work,
before that makes --calls through its node, and announces itself again and
again. PUT /standin/work?value=200ms makes it slow while it runs.`,
		Example: `  pollengauge standin upstream --service filing --addr 127.0.0.1:9001 \
    --node-admin 127.0.0.1:8104 --node-outbound 127.0.0.1:8102 \
    --work 5ms --calls directory/lookup,POST:billing/records`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, text := range calls {
				c, err := upstream.ParseCall(text)
				if err != nil {
					return err
				}
				settings.Calls = append(settings.Calls, c)
			}
			return serveUpstream(cmd, settings)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&settings.Service, "service", "", "service, the same as its node's")
	flags.StringVar(&settings.Addr, "addr", settings.Addr, "listener (host:port)")
	flags.StringVar(&settings.NodeAdmin, "node-admin", "", "admin listener of its node (host:port)")
	flags.StringVar(&settings.NodeOutbound, "node-outbound", "", "outbound listener of its node (host:port)")
	flags.DurationVar(&settings.Work, "work", settings.Work, "time that each request takes")
	flags.IntVar(&settings.Slots, "slots", settings.Slots, "requests worked on at once")
	flags.StringSliceVar(&calls, "calls", nil, "calls made for each request: service/path or METHOD:service/path, comma separated")
	flags.DurationVar(&settings.Interval, "interval", settings.Interval, "time between two announcements")
	flags.StringVar(&settings.CrashPath, "ends-at", "", "path whose requests make it crash; it listens again later")
	return cmd
}

// upstreamDrainTimeout is the longest wait for requests in flight when the stand-in shuts
// down.
const upstreamDrainTimeout = 30 * time.Second

func serveUpstream(cmd *cobra.Command, settings upstream.Settings) error {
	u, err := upstream.Start(settings)
	if err != nil {
		return err
	}
	defer u.Close()
	out := &printer{w: cmd.OutOrStdout()}
	out.printf("upstream of %s on %s\n", settings.Service, u.Addr())
	if err := out.result(); err != nil {
		return err
	}
	u.Announce(cmd.Context(), func(err error) {
		if err != nil {
			report(cmd.ErrOrStderr(), err)
			return
		}
		out.printf("announced to node %s\n", settings.NodeAdmin)
	})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(cmd.Context()), upstreamDrainTimeout)
	defer cancel()
	if err := u.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return &OutputError{Cause: err}
	}
	return nil
}
