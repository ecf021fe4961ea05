package cli

import (
	"io/fs"
	"os"

	"github.com/spf13/cobra"

	"pollengauge.dev/demo"
	"pollengauge.dev/examples"
)

func newDemoCommand() *cobra.Command {
	options := demo.Options{Seed: 1, TimeScale: 1, LoadScale: 1}
	profiles := ""
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run today's deployments under faults, against plain forwarding",
		Long: `Run the deployments of today's users at a reduced scale on loopback, in one
process: a surge, a slow deep service, a restart, a platform outage and a
profile edited live, against plain forwarding under the same load. Exit code 6
if pollengauge broke a promise.`,
		Example: `  pollengauge demo
  pollengauge demo --deployment tenantwise --system pollengauge --plot .`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Profiles = profilesOf(profiles)
			result, err := demo.Run(cmd.Context(), options, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if result.Broken > 0 {
				return &BrokenError{Promises: result.Broken}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&options.Deployments, "deployment", nil, "nyitottkapu, tenantwise (default all)")
	flags.StringSliceVar(&options.Systems, "system", nil, "systems to compare (default all)")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of arrivals, service times and clients' choices")
	flags.Float64Var(&options.TimeScale, "time-scale", options.TimeScale, "stretches every phase")
	flags.Float64Var(&options.LoadScale, "load-scale", options.LoadScale, "multiplies every rate")
	flags.StringVar(&options.PlotDir, "plot", "", "directory for an SVG of each deployment (default none)")
	flags.StringVar(&profiles, "profiles", "", "directory with the deployments' profile sets (default: built in)")
	completeWith(cmd, "deployment", "nyitottkapu", "tenantwise")
	completeWith(cmd, "system", demo.Systems()...)
	return cmd
}

// profilesOf returns the profile sets of a directory, or the built-in ones if dir is
// empty.
func profilesOf(dir string) fs.FS {
	if dir != "" {
		return os.DirFS(dir)
	}
	return examples.Files
}
