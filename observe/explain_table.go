package observe

import (
	"strconv"
	"strings"
)

var explainColumns = []column{
	{title: "HOP"},
	{title: "NODE", rank: 1},
	{title: "ZONE", rank: 7},
	{title: "DECISION"},
	{title: "OUTCOME"},
	{title: "REASON"},
	{title: "IN FORCE", right: true},
	{title: "BELOW", right: true, rank: 3},
	{title: "WAITED", right: true},
	{title: "TOOK", right: true},
	{title: "BUSY/LIMIT", right: true, rank: 1},
	{title: "QUEUE", right: true, rank: 2},
	{title: "LOAD", right: true, rank: 5},
	{title: "CREDIT", right: true, rank: 4},
	{title: "STATUS", right: true, rank: 6},
}

const maxIndent = 8

func explainRows(steps []step) [][]string {
	rows := make([][]string, 0, len(steps))
	mark := decidingStep(steps)
	for i, s := range steps {
		rows = append(rows, explainRow(s, i == mark))
	}
	return rows
}

func explainRow(s step, marked bool) []string {
	return []string{
		hopName(s, marked),
		printable(s.Node),
		printable(s.Zone),
		printable(string(s.Decision)),
		s.Outcome.String(),
		orDash(printable(string(s.Reason))),
		s.AdmitLevel.String(),
		s.LevelBelow.String(),
		shortDuration(s.Waited),
		shortDuration(s.Took),
		strconv.Itoa(s.InFlight) + "/" + orDash(zeroBlank(s.Limit)),
		strconv.Itoa(s.Queue),
		perMille(s.Load),
		strconv.Itoa(s.CreditLeft) + "/" + strconv.Itoa(s.CreditIn),
		orDash(zeroBlank(s.Status)),
	}
}

// hopName returns the cell of the first column: the kind of the hop, indented by
// its place in the chain, and the target or service. The deciding hop is marked.
func hopName(s step, marked bool) string {
	name := strings.Repeat("  ", min(s.indent, maxIndent))
	if s.orphan {
		name += "? "
	}
	name += printable(string(s.Kind)) + " "
	switch {
	case s.Kind == Attempt:
		name += strconv.Itoa(s.Attempt) + " at " + printable(s.Target)
	case s.Target != "":
		name += "to " + printable(s.Target)
	default:
		name += printable(s.Service)
	}
	if marked {
		name += " <--"
	}
	return name
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func zeroBlank(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
