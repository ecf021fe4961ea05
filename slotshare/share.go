package slotshare

import "time"

// Bounds of a cost. They limit the effect of a mean that is wrong: a customer is served at least
// an eighth and at most eight times as often as its number of requests alone would allow.
const (
	MinCost = 1.0 / 8
	MaxCost = 8.0
)

// Bounds of a weight.
const (
	DefaultWeight = 1.0
	MaxWeight     = 1000.0
)

// minShare keeps a share above 0, which stands for an unknown use.
const minShare = 1e-9

// Share returns the part of its share of slot time that a customer uses: its use of its request
// limit, from 0 to 1, times the cost of its requests, divided by its weight. It exceeds 1 for a
// customer that uses more than its whole share. A use of 0 stands for an unknown use and results
// in 0. Invalid values count as 1.
//
// Load pattern: customers send as many requests as their limits allow, but the requests of some
// take many times the slot time of others, at a service that has too few slots. Ranked by number,
// all are refused alike, and those few take most of the service.
func Share(use, cost, weight float64) float64 {
	if use == 0 {
		return 0
	}
	if !(use > 0 && use <= 1) {
		use = 1
	}
	return max(use*clampCost(cost)/ValidWeight(weight), minShare)
}

// ValidWeight returns weight if it is above 0 and at most MaxWeight, else DefaultWeight.
func ValidWeight(weight float64) float64 {
	if !(weight > 0 && weight <= MaxWeight) {
		return DefaultWeight
	}
	return weight
}

// clampCost returns cost within its bounds, and 1 if it is not a positive number.
func clampCost(cost float64) float64 {
	if !(cost > 0) {
		return 1
	}
	return min(max(cost, MinCost), MaxCost)
}

// addToMean returns the running mean of slot times in milliseconds with one more value, which is
// the seen-th one or, once that many were seen, the latest of a window.
func addToMean(mean float32, slotTime time.Duration, seen uint8) float32 {
	return mean + (float32(slotTime)/float32(time.Millisecond)-mean)/float32(seen)
}
