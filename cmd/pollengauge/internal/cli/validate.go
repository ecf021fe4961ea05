package cli

import (
	"github.com/spf13/cobra"

	"pollengauge.dev/config"
)

// validation is the result of validate, and its JSON.
type validation struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Problems []config.Problem `json:"problems"`
	// Line is the first line that could not be parsed, 0 if all could be.
	Line        int `json:"line,omitempty"`
	Profiles    int `json:"profiles"`
	Assignments int `json:"assignments"`
}

func newValidateCommand() *cobra.Command {
	file := ""
	asJSON := false
	cmd := &cobra.Command{
		Use:   "validate -f FILE",
		Short: "Check a profile set without the platform",
		Long: `Check a profile set offline, as apply and every node do. All fields that can't
be read are listed at once with their lines; once all can be, all values that
are out of range are.`,
		Example: `  pollengauge validate -f examples/nyitottkapu.yaml`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := readSet(cmd, file)
			if asJSON {
				if failed := writeJSON(cmd.OutOrStdout(), validationOf(file, set, err)); failed != nil {
					return failed
				}
			}
			if err != nil || asJSON {
				return err
			}
			out := &printer{w: cmd.OutOrStdout()}
			out.printf("%s is usable: %d profiles, %d assignments\n", file, len(set.Profiles), len(set.Assignments))
			return out.result()
		},
	}
	bindFile(cmd, &file)
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the result as JSON")
	return cmd
}

func validationOf(file string, set config.Set, err error) validation {
	v := validation{
		File:        file,
		Valid:       err == nil,
		Problems:    []config.Problem{},
		Profiles:    len(set.Profiles),
		Assignments: len(set.Assignments),
	}
	failed, ok := err.(*FileError)
	if !ok {
		return v
	}
	switch cause := failed.Cause.(type) {
	case *config.ValidationError:
		v.Problems = cause.Problems
	case *config.ParseError:
		v.addParseErrors(cause)
	case config.ParseErrors:
		v.addParseErrors(cause...)
	default:
		v.Problems = []config.Problem{{Path: file, Want: cause.Error()}}
	}
	return v
}

// addParseErrors adds parse errors to the problems and sets Line to the first.
func (v *validation) addParseErrors(places ...*config.ParseError) {
	v.Line = places[0].Line
	for _, p := range places {
		v.Problems = append(v.Problems, config.Problem{Line: p.Line, Path: p.Field, Value: p.Value, Want: p.Want})
	}
}
