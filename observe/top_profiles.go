package observe

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"pollengauge.dev/call"
)

func profileColumns(options TopOptions) []column {
	unit := ""
	if len(options.Previous) > 0 {
		unit = "/s"
	}
	return []column{
		{title: "SERVICE"},
		{title: "PROFILE"},
		{title: "OFFERED" + unit, right: true, rank: 1},
		{title: "COMPLETE" + unit, right: true},
		{title: "NOT-RUN" + unit, right: true},
		{title: "UNKNOWN" + unit, right: true},
		{title: "STALE" + unit, right: true, rank: 5},
		{title: "RETRIES" + unit, right: true, rank: 4},
		{title: "P50", right: true, rank: 3},
		{title: "P99", right: true, rank: 2},
		{title: "BELOW", right: true, rank: 3},
	}
}

// profileKey identifies a row of the profile table.
type profileKey struct{ service, profile string }

// profileSum is a row of the profile table, summed over the nodes of a service.
type profileSum struct {
	offered, complete, notRun, unknown, stale, retries float64
	// p50 and p99 are the highest of any node, since percentiles can't be added.
	p50, p99   time.Duration
	levelBelow call.Level
}

// profileLines renders the profiles of each service. Rows of zeros are left out
// and one line gives their number: a configuration has many profiles, and a
// service serves few of them.
func profileLines(nodes []NodeStatus, options TopOptions) []string {
	sums := sumProfiles(nodes, options.Previous)
	all := len(sums)
	maps.DeleteFunc(sums, func(_ profileKey, s *profileSum) bool { return *s == profileSum{} })
	lines := renderTable(profileColumns(options), profileRows(sums), options.Width)
	if idle := all - len(sums); idle > 0 {
		lines = append(lines, "and "+strconv.Itoa(idle)+" profiles without calls")
	}
	return lines
}

func profileRows(sums map[profileKey]*profileSum) [][]string {
	keys := slices.Collect(maps.Keys(sums))
	slices.SortFunc(keys, func(a, b profileKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.profile, b.profile))
	})
	rows := make([][]string, 0, len(keys))
	for _, key := range keys {
		s := sums[key]
		rows = append(rows, []string{
			printable(key.service), printable(key.profile),
			formatCount(s.offered), formatCount(s.complete), formatCount(s.notRun), formatCount(s.unknown), formatCount(s.stale), formatCount(s.retries),
			shortDuration(s.p50), shortDuration(s.p99), s.levelBelow.String(),
		})
	}
	return rows
}

func sumProfiles(nodes, previous []NodeStatus) map[profileKey]*profileSum {
	before := make(map[string]*NodeStatus, len(previous))
	for i := range previous {
		before[previous[i].Node] = &previous[i]
	}
	sums := make(map[profileKey]*profileSum)
	for i := range nodes {
		n := &nodes[i]
		earlier := before[n.Node]
		if len(previous) > 0 && !sameProcess(earlier, n) {
			// A node that is new or was restarted has no rate yet.
			continue
		}
		addNode(sums, n, earlier)
	}
	return sums
}

func sameProcess(earlier, now *NodeStatus) bool {
	return earlier != nil && now.At.After(earlier.At) && now.CPU >= earlier.CPU
}

func addNode(sums map[profileKey]*profileSum, n, earlier *NodeStatus) {
	for _, p := range n.Profiles {
		key := profileKey{n.Service, p.Name}
		if sums[key] == nil {
			sums[key] = &profileSum{}
		}
		if earlier == nil {
			sums[key].add(p, ProfileStatus{}, 1)
			continue
		}
		sums[key].add(p, earlier.profile(p.Name), n.At.Sub(earlier.At).Seconds())
	}
}

func (n *NodeStatus) profile(name string) ProfileStatus {
	i := slices.IndexFunc(n.Profiles, func(p ProfileStatus) bool { return p.Name == name })
	if i < 0 {
		return ProfileStatus{}
	}
	return n.Profiles[i]
}

func (s *profileSum) add(now, before ProfileStatus, seconds float64) {
	rate := func(a, b int64) float64 { return float64(max(0, a-b)) / seconds }
	s.offered += rate(now.Offered, before.Offered)
	s.complete += rate(now.Complete, before.Complete)
	s.notRun += rate(now.NotRun, before.NotRun)
	s.unknown += rate(now.Unknown, before.Unknown)
	s.stale += rate(now.Stale, before.Stale)
	s.retries += rate(now.Retries, before.Retries)
	s.p50 = max(s.p50, now.P50)
	s.p99 = max(s.p99, now.P99)
	s.levelBelow = max(s.levelBelow, now.LevelBelow)
}
