package cli

import (
	"time"

	"pollengauge.dev/config"
)

// race describes a change that lost to a concurrent one, and is its JSON.
type race struct {
	Expected uint64 `json:"expected"`
	Stored   uint64 `json:"stored"`
	// Yours and Theirs are the differences from the expected version to each
	// side. They are null if that version is no longer stored.
	Yours  []difference `json:"yours"`
	Theirs []difference `json:"theirs"`
	// Between is the differences from their set to yours.
	Between []difference `json:"between"`
	Author  string       `json:"author"`
	Comment string       `json:"comment"`
	Change  string       `json:"changeId"`
	At      time.Time    `json:"at"`
}

// reportRace prints both sides of a change that lost to a concurrent one.
func (c *change) reportRace(lost *config.RaceError) error {
	report := race{
		Expected: lost.Expected,
		Stored:   lost.Theirs.Version,
		Between:  differencesOf(config.Diff(lost.Theirs, lost.Mine)),
		Author:   lost.Theirs.Author,
		Comment:  lost.Theirs.Comment,
		Change:   lost.Theirs.ChangeID,
		At:       lost.Theirs.At,
	}
	if base, ok := c.base(lost.Expected); ok {
		report.Yours = differencesOf(config.Diff(base, lost.Mine))
		report.Theirs = differencesOf(config.Diff(base, lost.Theirs))
	}
	if c.flags.nodes.json {
		return writeJSON(c.cmd.OutOrStdout(), report)
	}
	return c.printRace(report)
}

// base returns the Set that both sides were made from, if it is still stored.
func (c *change) base(version uint64) (config.Set, bool) {
	if version == 0 {
		return config.Default(), true
	}
	document, err := config.Read(c.cmd.Context(), c.client)
	if err != nil {
		return config.Set{}, false
	}
	set, err := document.Lookup(version)
	return set, err == nil
}

func (c *change) printRace(report race) error {
	out := &printer{w: c.cmd.OutOrStdout()}
	if report.Yours != nil {
		out.printf("yours, made from version %d:\n", report.Expected)
		printSide(out, report.Yours)
		out.printf("theirs, version %d by %s, %s, comment %q:\n", report.Stored, orDash(report.Author), report.At.UTC().Format(time.RFC3339), report.Comment)
		printSide(out, report.Theirs)
	}
	out.printf("from theirs to yours:\n")
	printSide(out, report.Between)
	out.printf("nothing was changed; to replace theirs, repeat the command with --expect %d\n", report.Stored)
	return out.result()
}

func printSide(out *printer, list []difference) {
	if len(list) == 0 {
		out.text("  no difference\n")
	}
	for _, d := range list {
		out.printf("  %s\n", config.Difference(d))
	}
}
