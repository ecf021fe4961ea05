package cli

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildInfo is the version of the binary, and its JSON.
type buildInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	// Revision is the commit, "" if the build did not record it.
	Revision string `json:"revision"`
	// Modified is true if the work tree had uncommitted changes at the build.
	Modified bool   `json:"modified"`
	Time     string `json:"time"`
}

func newVersionCommand() *cobra.Command {
	asJSON := false
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this binary",
		Long:    `Print the module's version, the Go version and, if built in, the revision.`,
		Example: `  pollengauge version --json`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			info := readBuildInfo()
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), info)
			}
			out := &printer{w: cmd.OutOrStdout()}
			out.printf("pollengauge %s, %s", info.Version, info.Go)
			if info.Revision != "" {
				out.printf(", revision %s of %s", info.Revision, info.Time)
			}
			if info.Modified {
				out.text(", modified")
			}
			out.text("\n")
			return out.result()
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the result as JSON")
	return cmd
}

func readBuildInfo() buildInfo {
	info := buildInfo{Version: "(devel)", Go: runtime.Version()}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	if build.Main.Version != "" {
		info.Version = build.Main.Version
	}
	for _, s := range build.Settings {
		switch s.Key {
		case "vcs.revision":
			info.Revision = s.Value
		case "vcs.time":
			info.Time = s.Value
		case "vcs.modified":
			info.Modified = s.Value == "true"
		}
	}
	return info
}
