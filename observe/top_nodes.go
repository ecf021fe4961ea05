package observe

import (
	"cmp"
	"slices"
	"strconv"
)

var nodeColumns = []column{
	{title: "NODE"},
	{title: "SERVICE"},
	{title: "ZONE", rank: 4},
	{title: "REGION", rank: 7},
	{title: "LOAD", right: true, rank: 1},
	{title: "BUSY/LIMIT", right: true},
	{title: "BLOCKED", right: true, rank: 3},
	{title: "QUEUE", right: true},
	{title: "IN FORCE", right: true},
	{title: "STATE", rank: 1},
	{title: "MEMBERS", right: true, rank: 5},
	{title: "KEYS", right: true, rank: 5},
	{title: "CONFIG", right: true, rank: 2},
	{title: "MEM", right: true, rank: 8},
}

// nodeLines renders as many nodes as fit under the used lines of the screen.
func nodeLines(nodes []NodeStatus, options TopOptions, used int) []string {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b NodeStatus) int {
		return cmp.Or(cmp.Compare(b.AdmitLevel, a.AdmitLevel), cmp.Compare(b.Load, a.Load), cmp.Compare(a.Node, b.Node))
	})
	rows := make([][]string, 0, len(sorted))
	for _, n := range sorted {
		rows = append(rows, nodeRow(n))
	}
	lines := renderTable(nodeColumns, rows, options.Width)
	available := max(1, options.Height-used)
	if options.Height <= 0 || len(lines) <= available {
		return lines
	}
	shown := max(1, available-1)
	return append(lines[:shown], "and "+strconv.Itoa(len(lines)-shown)+" more nodes")
}

func nodeRow(n NodeStatus) []string {
	return []string{
		printable(shortID(n.Node)), printable(n.Service), printable(n.Zone), printable(n.Region),
		perMille(n.Load),
		strconv.Itoa(n.InFlight) + "/" + strconv.Itoa(n.Limit),
		strconv.Itoa(n.Blocked),
		strconv.Itoa(n.Queue),
		n.AdmitLevel.String(),
		n.State(),
		strconv.Itoa(n.Members.Alive) + "/" + strconv.Itoa(n.Members.Known()),
		strconv.Itoa(n.Keys.Running+n.Keys.Done+n.Keys.Unknown) + "/" + strconv.Itoa(n.Keys.Capacity),
		strconv.FormatUint(n.ConfigVersion, 10),
		strconv.FormatInt(n.ResidentBytes>>20, 10) + "M",
	}
}

// shownIDLength is the number of characters of a node's id on the screen, the same as
// in Hop.Target. A complete id has 32 characters and would displace other columns.
const shownIDLength = 12

func shortID(id string) string { return id[:min(shownIDLength, len(id))] }
