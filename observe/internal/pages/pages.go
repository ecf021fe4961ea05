// Package pages generates the reference pages of events and metrics from the
// catalogues of package observe, so that docs and code can't differ.
package pages

import (
	"strconv"
	"strings"

	"pollengauge.dev/observe"
)

const generatedNote = "This page is written from the catalogue in code by `go run ./internal/gendocs` in the module observe; a test compares the two.\n\n"

// Pages returns the generated text of each page by file name.
func Pages() map[string]string {
	return map[string]string{"EVENTS.md": events(), "METRICS.md": metrics()}
}

func events() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" + generatedNote)
	b.WriteString("Every log line carries `event` (the number), `name` and `level`. Repeats that come too fast are left out and counted in `left_out` of the next line, or in event " +
		strconv.Itoa(observe.EventsLeftOut.ID) + ".\n")
	const rangeSize = 1000
	for _, r := range observe.EventRanges() {
		b.WriteString("\n## " + strconv.Itoa(r.First) + ": " + r.Subject + "\n\n")
		row(&b, "Event", "Name", "Level", "Meaning", "Action")
		row(&b, "---", "---", "---", "---", "---")
		for _, e := range observe.Catalogue() {
			if e.ID >= r.First && e.ID < r.First+rangeSize {
				row(&b, strconv.Itoa(e.ID), "`"+e.Name+"`", e.Level.String(), e.Meaning, e.Action)
			}
		}
	}
	return b.String()
}

func metrics() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" + generatedNote)
	b.WriteString("The page is in the Prometheus text format. Levels are one number, priority times 128 plus tie-break; 0 refuses nothing.\n\n")
	row(&b, "Name", "Kind", "Unit", "Labels", "Meaning")
	row(&b, "---", "---", "---", "---", "---")
	for _, m := range observe.MetricCatalogue() {
		row(&b, "`"+m.Name+"`", string(m.Kind), m.Unit, strings.Join(m.Labels, ", "), m.Meaning)
	}
	b.WriteString("\n## Values of the label reason\n\nThe same words stand in the header `Pollengauge-Reason`, in log lines and on the explain screen. A complete answer has `none`; a reason that this version doesn't know is counted as `other`.\n\n")
	row(&b, "Reason", "Cause", "What to change")
	row(&b, "---", "---", "---")
	for _, a := range observe.AdviceTable() {
		row(&b, "`"+string(a.Reason)+"`", a.Cause, a.Action)
	}
	return b.String()
}

func row(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
