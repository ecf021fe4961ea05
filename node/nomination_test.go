package node

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// nominees replays the start of a fleet in which addresses can be read some rounds after
// they were stored, and returns how many nodes nominate themselves, and in which round the
// first one does.
func nominees(size, visibleAfter int, rng *rand.Rand) (count, first int) {
	first = -1
	for round := 0; first < 0 || round <= first+visibleAfter; round++ {
		for range size - count {
			if rng.Float64() < nominationProbability(round) {
				count++
				if first < 0 {
					first = round
				}
			}
		}
	}
	return count, first
}

// Guards against a start of the whole fleet in which the nodes that write their address
// are more than a few in a hundred, and against a lone node that never does.
func TestFewNodesOfAFleetNominateThemselves(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{1, 2, 12, 96, 301, 987, 1974} {
		most, latest := 0, 0
		for range 50 {
			count, first := nominees(size, 1, rng)
			most, latest = max(most, count), max(latest, first)
		}
		// The nominees of two rounds in a fleet of which a 128th nominates itself in the
		// first one, and three times as many at most, as the draws are random.
		bound := 3 * (3*firstNomination*float64(size) + 3)
		c.Check(float64(most) <= bound, qt.IsTrue, qt.Commentf("%d of %d nodes, bound %.0f", most, size, bound))
		c.Check(latest <= 7, qt.IsTrue, qt.Commentf("first of %d nodes in round %d", size, latest))
	}
}
