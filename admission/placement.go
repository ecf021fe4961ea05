package admission

import "pollengauge.dev/call"

// Bounds on how kinds of requests of one priority are told apart.
const (
	// leastFavor is the lowest favor that a kind can have, however much of the
	// overloaded upstream one of its requests takes.
	leastFavor = 0.25
	// keptShare bounds the unfairness: of each kind as large a part is served as
	// this part of the kind of its priority that fares best. A caller with a
	// costly request then waits twice as long on average, and nobody's requests
	// stop being served.
	keptShare = 0.5
	// usualWork stands for the work of a kind of which no answer has told yet.
	usualWork = 1
)

// favorOf compares the work that a request takes of the overloaded upstream with
// that of the cheapest kind of its priority: 1 for as little, less for more.
func favorOf(work, least float64) float64 {
	if work <= 0 || least <= 0 {
		return 1
	}
	return min(max(least/work, leastFavor), 1)
}

// place moves a level within its priority by the favor of its kind. Levels of a
// kind are spread evenly; of one with a low favor more lie below a given place.
//
// Load pattern: two kinds of one priority need an upstream that is asked for more
// than it carries, one four times as much of it as the other. Refused alike, each
// costly request that is let in takes the room of four others.
//
// Up to a point the places are drawn together by the favor; above it, so that no
// more than keptShare is taken from the kind. Where the threshold lies at t, the kind
// loses the share min(t/favor, 1-keptShare*(1-t)).
func place(level call.Level, favor float64) call.Level {
	if favor >= 1 {
		return level
	}
	const whole = float64(call.MaxTiebreak) + 1
	drawn := float64(level.Tiebreak()) / whole
	meet := (1 - keptShare) / (1/favor - keptShare)
	placed := favor * drawn
	if placed > meet {
		placed = 1 - (1-drawn)/keptShare
	}
	return call.MakeLevel(level.Priority(), call.Tiebreak(placed*whole))
}
