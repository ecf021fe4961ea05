package admission

import "pollengauge.dev/call"

// Bounds on how much the cost of a profile's requests may affect their rank within
// a priority.
const (
	// leastWeight is the lowest weight of a profile, however much of the
	// overloaded upstream one of its requests takes. A lower weight would leave
	// too few levels to distinguish the profile's requests.
	leastWeight = 0.25
	// keptShare bounds the unfairness. The admitted share of a profile is at
	// least this fraction of the admitted share of the best-served profile of
	// its priority. A costly request is therefore admitted half as often at
	// worst, and every profile continues to be served.
	keptShare = 0.5
	// usualWork is the work assumed for every profile while no response has
	// reported any.
	usualWork = 1
)

// weightOf returns the weight of a profile from the work that its requests take
// of the overloaded upstream and from that of the cheapest profile of its
// priority: 1 for the same work, less for more.
func weightOf(work, least float64) float64 {
	if work <= 0 || least <= 0 {
		return 1
	}
	return min(max(least/work, leastWeight), 1)
}

// place moves a level within its priority by the weight of its profile. The
// levels of a profile's requests are evenly distributed; the lower the weight,
// the more of them end up below a given level.
//
// Load pattern: two profiles of one priority need an overloaded upstream, one
// of them four times as much of it as the other. If both were refused alike,
// each admitted request of the costly profile would take the capacity of four
// others.
//
// Tie-breaks below meet are multiplied by the weight, and those above it are
// spread out again so that the profile keeps its keptShare. With the threshold
// at t, from 0 to 1, the refused share of the profile is min(t/weight,
// 1-keptShare*(1-t)).
func place(level call.Level, weight float64) call.Level {
	if weight >= 1 {
		return level
	}
	const whole = float64(call.MaxTiebreak) + 1
	drawn := float64(level.Tiebreak()) / whole
	meet := (1 - keptShare) / (1/weight - keptShare)
	placed := weight * drawn
	if placed > meet {
		placed = 1 - (1-drawn)/keptShare
	}
	return call.MakeLevel(level.Priority(), call.Tiebreak(placed*whole))
}
