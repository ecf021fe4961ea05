package cli

import (
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"pollengauge.dev/config"
	"pollengauge.dev/examples"
)

// docs/CLI.md must cover the whole command line: a heading for each command, each
// flag and environment variable named under its heading, and a table row for each
// exit code. Every command must have a long help text and an example.
func TestPageNamesEveryCommand(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../../../../docs/CLI.md")
	c.Assert(err, qt.IsNil)
	page := sections(string(data))
	for code := ExitOK; code <= ExitDifferent; code++ {
		c.Check(page["Exit codes"], qt.Contains, "| "+strconv.Itoa(int(code))+" |")
	}
	walk(newRoot(), func(cmd *cobra.Command) {
		name := cmd.CommandPath()
		section, ok := page["`"+name+"`"]
		c.Check(ok, qt.IsTrue, qt.Commentf("no heading for %s", name))
		c.Check(cmd.Long != "" && cmd.Example != "", qt.IsTrue, qt.Commentf("%s: long help and example", name))
		cmd.LocalFlags().VisitAll(func(flag *pflag.Flag) {
			c.Check(section, qt.Contains, "`--"+flag.Name+"`", qt.Commentf("%s", name))
			if _, isSetting := flag.Value.(*setting); isSetting {
				c.Check(section, qt.Contains, "`"+envName(flag.Name)+"`", qt.Commentf("%s", name))
			}
		})
	})
	for _, variable := range []string{envPlatform, envNodes, envAuthor} {
		c.Check(page["Environment variables"], qt.Contains, "`"+variable+"`")
	}
}

// sections splits a Markdown page at its headings. The keys are the headings.
func sections(page string) map[string]string {
	out := make(map[string]string)
	heading := ""
	for line := range strings.Lines(page) {
		if title, ok := strings.CutPrefix(line, "#"); ok {
			heading = strings.TrimSpace(strings.TrimLeft(title, "#"))
			continue
		}
		out[heading] += line
	}
	return out
}

func walk(cmd *cobra.Command, visit func(*cobra.Command)) {
	for _, sub := range cmd.Commands() {
		visit(sub)
		walk(sub, visit)
	}
}

// Users copy the example files, and the demo uses the same ones. Each deployment
// must have its file, and the file must be valid without changes.
func TestExamplesAreUsable(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"nyitottkapu.yaml", "tenantwise.yaml"} {
		data, err := examples.Files.ReadFile(name)
		c.Assert(err, qt.IsNil)
		_, err = config.Parse(data, config.YAML)
		c.Check(err, qt.IsNil)
	}
}
