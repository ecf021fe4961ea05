package load

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Arrival is one planned operation.
type Arrival struct {
	// At is the planned start, relative to the start of the run.
	At time.Duration
	// Class is the index of the operation's class.
	Class     int
	Operation string
}

// Plan draws the arrivals of all classes as independent Poisson processes,
// sorted by time. Equal arguments give equal plans.
func Plan(classes []Class, phases []Phase, length time.Duration, seed uint64) []Arrival {
	var arrivals []Arrival
	for i, class := range classes {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for n, at := range poisson(class.Rate, phases, length, random) {
			operation := class.Name + "-" + strconv.Itoa(n)
			arrivals = append(arrivals, Arrival{At: at, Class: i, Operation: operation})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// poisson draws a Poisson process whose rate changes with the phases. It uses
// thinning: candidates are drawn at the highest rate, and each is accepted with
// probability (rate at its time) / (highest rate).
func poisson(rate float64, phases []Phase, length time.Duration, random *rand.Rand) []time.Duration {
	highest := 1.0
	for _, p := range phases {
		highest = max(highest, p.Factor)
	}
	var times []time.Duration
	for at := time.Duration(0); rate > 0; {
		at += time.Duration(random.ExpFloat64() / (rate * highest) * float64(time.Second))
		if at >= length {
			break
		}
		if random.Float64()*highest < factorAt(phases, at) {
			times = append(times, at)
		}
	}
	return times
}

func factorAt(phases []Phase, at time.Duration) float64 {
	for _, p := range phases {
		if at >= p.Start && at < p.End {
			return p.Factor
		}
	}
	return 1
}
