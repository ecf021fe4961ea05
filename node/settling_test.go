package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// checksUntilSettled replays how many members a node knew, and how many the peer that knew
// most, at consecutive checks; the last pair repeats.
func checksUntilSettled(known [][2]int) int {
	var s settling
	for check := 0; ; check++ {
		now := known[min(check, len(known)-1)]
		if s.settled(now[0], now[1]) {
			return check + 1
		}
	}
}

// Guards against a start of the whole fleet in which hundreds of nodes that know a few
// members elect themselves as watchers, and against nodes that never elect any.
func TestNodesElectOnceTheyKnowTheFleet(t *testing.T) {
	c := qt.New(t)
	for name, replay := range map[string]struct {
		known [][2]int
		want  int
	}{
		"small fleet, known at once":                 {[][2]int{{12, 12}}, minSettleChecks},
		"restart into a fleet":                       {[][2]int{{1, 0}, {987, 987}}, 2 + quietChecks},
		"a pause in the growth":                      {[][2]int{{3, 3}, {40, 45}, {40, 500}, {40, 500}, {40, 500}, {700, 987}, {987, 987}}, 7 + quietChecks},
		"peers that are gone":                        {[][2]int{{950, 987}}, minSettleChecks},
		"no peer answers":                            {[][2]int{{1, 0}}, maxLoneChecks},
		"members that come and go without an end":    {[][2]int{{5, 9}, {6, 9}, {5, 9}, {6, 9}, {5, 9}}, maxSettleChecks},
		"a peer that reports more than there can be": {[][2]int{{12, 1 << 30}}, maxSettleChecks},
	} {
		c.Check(checksUntilSettled(replay.known), qt.Equals, replay.want, qt.Commentf("%s", name))
	}
}
