package slotshare

import (
	"math"
	"time"
)

// Bounds of a cost. They limit the effect of a mean that is wrong: a customer is served at least
// an eighth and at most eight times as often as its number of requests alone would allow.
const (
	MinCost = 1.0 / 8
	MaxCost = 8.0
)

// maxMix bounds the part of a cost that comes from the kinds of a customer's requests, to a factor of
// two between customers. Callers require that no kind of request is served less than a quarter as
// often as all kinds together. The Shedder, which ranks kinds by their work, serves an expensive kind
// at least half as often as others, so half of it is left for the customers that send it.
const maxMix = math.Sqrt2

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

// maxRelative bounds the slot time of one request relative to others of its kind, so that a single one
// raises a customer's cost by two at most.
const maxRelative = 2 * customerWindow

// costOf returns a cost from the mean of the slot times of a customer's requests, each relative to
// others of its kind, from the mean that such requests take, and from the mean of all requests at the
// service.
//
// The first is a mean of ratios, not a ratio of means: with the latter, a few requests that are cheap
// for an expensive kind would hide many expensive ones of another kind.
func costOf(relative, expected, all float64) float64 {
	return clampCost(relative * min(max(expected/all, 1/maxMix), maxMix))
}

// addToMean returns the running mean of slot times in milliseconds with one more value, which is
// the seen-th one or, once that many were seen, the latest of a window.
func addToMean(mean, slotTime float32, seen uint8) float32 {
	return mean + (slotTime-mean)/float32(seen)
}

func milliseconds(d time.Duration) float32 { return float32(d) / float32(time.Millisecond) }
