package observe

import (
	"strconv"
	"strings"
	"time"
)

// TopOptions configures RenderTop.
type TopOptions struct {
	// Width is the greatest length of a line (0: DefaultWidth).
	Width int
	// Height is the greatest number of lines (0: no bound). The least loaded
	// nodes are left out if they don't fit, and one line gives their number.
	Height int
	// Previous holds the snapshots of an earlier screen. If it is set, the counts
	// of outcomes are shown as rates per second, otherwise as totals.
	Previous []NodeStatus
	// Unreachable names the nodes that returned no status.
	Unreachable []string
	// Now is shown in the heading.
	Now time.Time
}

// RenderTop renders one screen: a heading, a row for each service and profile
// with calls, and a row for each node. Nodes are sorted by admission level and
// load, the highest first.
func RenderTop(nodes []NodeStatus, options TopOptions) string {
	if options.Width <= 0 {
		options.Width = DefaultWidth
	}
	lines := topHeading(nodes, options)
	lines = append(lines, "")
	lines = append(lines, profileLines(nodes, options)...)
	lines = append(lines, "")
	lines = append(lines, nodeLines(nodes, options, len(lines))...)
	return strings.Join(lines, "\n") + "\n"
}

func topHeading(nodes []NodeStatus, options TopOptions) []string {
	draining := 0
	var low, high uint64
	for i, n := range nodes {
		if n.Draining {
			draining++
		}
		if i == 0 || n.ConfigVersion < low {
			low = n.ConfigVersion
		}
		high = max(high, n.ConfigVersion)
	}
	text := "pollengauge top  " + options.Now.UTC().Format(time.TimeOnly) +
		"  nodes " + strconv.Itoa(len(nodes)) + "  draining " + strconv.Itoa(draining) +
		"  config " + versionRange(low, high)
	lines := wrap(text, "  ", options.Width)
	if len(options.Unreachable) > 0 {
		names := printable(strings.Join(options.Unreachable, ", "))
		lines = append(lines, shorten("no status from: "+names, options.Width))
	}
	return lines
}

// versionRange formats the configuration version of the nodes, or the range of
// versions while a change spreads.
func versionRange(low, high uint64) string {
	text := strconv.FormatUint(low, 10)
	if low == high {
		return text
	}
	return text + ".." + strconv.FormatUint(high, 10)
}
