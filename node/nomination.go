package node

import (
	"math"
	"time"
)

const (
	// nominationPause is the time between two reads of the stored addresses by a node that
	// finds none.
	nominationPause = 60 * time.Millisecond
	// firstNomination is the probability with which a node nominates itself in its first
	// round. It doubles with each round: a node that is alone waits for at most seven
	// pauses, and of a thousand nodes that start together about eight nominate themselves
	// before they see each other's addresses.
	firstNomination = 1.0 / 128
)

// nominationProbability returns the probability with which a node that starts stores its
// own address, after it has read for a number of rounds that no address is stored.
func nominationProbability(round int) float64 {
	return min(math.Ldexp(firstNomination, round), 1)
}
