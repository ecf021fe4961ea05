package admission

import "pollengauge.dev/call"

// Bounds on how much the cost of a profile's requests may affect their rank within
// a priority.
const (
	// minCostWeight is the lowest weight of a profile, however much of the
	// overloaded upstream one of its requests takes. A lower weight would leave
	// too few levels to distinguish the profile's requests.
	minCostWeight = 0.25
	// minRelativeShare bounds the unfairness. The admitted share of a profile
	// is at least this fraction of the admitted share of the best-served
	// profile of its priority. A costly request is therefore admitted half as
	// often at worst, and every profile continues to be served.
	minRelativeShare = 0.5
	// defaultWork is the work assumed for every profile while no response has
	// reported any.
	defaultWork = 1
)

// costWeight returns the weight of a profile from the work that its requests take
// of the overloaded upstream and from that of the cheapest profile of its
// priority: 1 for the same work, less for more.
func costWeight(work, least float64) float64 {
	if work <= 0 || least <= 0 {
		return 1
	}
	return min(max(least/work, minCostWeight), 1)
}

// weightedLevel moves a level within its priority by the weight of its profile.
// The levels of a profile's requests are evenly distributed; the lower the
// weight, the more of them end up below a given level.
//
// Load pattern: two profiles of one priority need an overloaded upstream, one
// of them four times as much of it as the other. If both were refused alike,
// each admitted request of the costly profile would take the capacity of four
// others.
//
// Tie-breaks below crossover are multiplied by the weight, and those above it
// are spread out again so that the profile keeps its minRelativeShare. With the
// threshold at t, from 0 to 1, the refused share of the profile is
// min(t/weight, 1-minRelativeShare*(1-t)).
func weightedLevel(level call.Level, weight float64) call.Level {
	if weight >= 1 {
		return level
	}
	const tiebreaks = float64(call.MaxTiebreak) + 1
	position := float64(level.Tiebreak()) / tiebreaks
	crossover := (1 - minRelativeShare) / (1/weight - minRelativeShare)
	placed := weight * position
	if placed > crossover {
		placed = 1 - (1-position)/minRelativeShare
	}
	return call.MakeLevel(level.Priority(), call.Tiebreak(placed*tiebreaks))
}
