package admission

import "pollengauge.dev/call"

// Bounds on how kinds of requests of one priority are told apart.
const (
	// leastWeight is the lowest weight of a kind, however much of the overloaded
	// upstream one of its requests takes: few levels are left below it to tell
	// requests apart by.
	leastWeight = 0.25
	// keptShare bounds the unfairness: the share of a kind that is let in is at
	// least this part of the share of the kind of its priority that fares best.
	// A costly request is then let in half as often at worst, and no kind stops
	// being served.
	keptShare = 0.5
	// usualWork stands for the work of any kind while no answer has told of one.
	usualWork = 1
)

// weightOf compares the work that a request takes of the overloaded upstream with
// that of the cheapest kind of its priority: 1 for as little, less for more.
func weightOf(work, least float64) float64 {
	if work <= 0 || least <= 0 {
		return 1
	}
	return min(max(least/work, leastWeight), 1)
}

// place moves a level within its priority by the weight of its kind. Levels of a
// kind are spread evenly; of one with a low weight more lie below a given place.
//
// Load pattern: two kinds of one priority need an upstream that is asked for more
// than it carries, one four times as much of it as the other. Refused alike, each
// costly request that is let in takes the room of four others.
//
// The places below meet are drawn together by the weight, those above it spread out
// again, so that the kind keeps its keptShare. Where the threshold lies at t, from 0 to
// 1, the kind loses the share min(t/weight, 1-keptShare*(1-t)).
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
