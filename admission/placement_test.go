package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// kind is a profile whose requests lead to the same overloaded upstream.
type kind struct {
	name     string
	priority call.Priority
	perTick  int
	work     int // milliseconds of the upstream's slots
}

// admitAll sends the requests of all kinds to a root under a pressure that fits
// their work to the capacity, and returns the admitted share of each kind and
// of all requests. The capacity is in milliseconds of slots for each tick of
// 10 ms.
func admitAll(kinds []kind, capacity float64, reportWork bool) (served map[string]float64, all float64) {
	random := rand.New(rand.NewPCG(3, 4))
	s := NewShedder()
	offered := 0.0
	for _, k := range kinds {
		offered += float64(k.perTick * k.work)
	}
	now := time.Unix(0, 0)
	admitted, asked := map[string]float64{}, map[string]float64{}
	var pressure, work float64
	const ticks = 2000
	for tick := range ticks {
		now = now.Add(10 * time.Millisecond)
		// The upstream's pressure follows the work that was admitted.
		pressure += 0.02 * (work - capacity) / offered
		pressure = min(max(pressure, 0), maxPressure)
		work = 0
		for _, k := range kinds {
			s.ObservePressure(k.name, pressure, now)
			if reportWork {
				s.ObserveWork(k.name, k.work)
			}
			for range k.perTick {
				level := call.MakeLevel(k.priority, call.Tiebreak(random.IntN(int(call.MaxTiebreak)+1)))
				admittedNow := s.Admit(k.name, level, now).Admitted
				if admittedNow {
					work += float64(k.work)
				}
				if tick < ticks/2 {
					continue
				}
				asked[k.name]++
				if admittedNow {
					admitted[k.name]++
				}
			}
		}
	}
	served = map[string]float64{}
	totalAdmitted, totalAsked := 0.0, 0.0
	for _, k := range kinds {
		served[k.name] = admitted[k.name] / asked[k.name]
		totalAdmitted += admitted[k.name]
		totalAsked += asked[k.name]
	}
	return served, totalAdmitted / totalAsked
}

// An upstream is offered 1.7 times its capacity. Of two kinds of one priority,
// each request of the costly kind takes four times as much of it; if both are
// refused alike, every costly request takes the capacity of four others. More
// complete requests must be served with the same capacity, the costly kind must
// get at least half the admitted share of the cheap one, and the kind of higher
// priority must not be affected.
func TestCheapRequestsGoFirstWithinAPriority(t *testing.T) {
	c := qt.New(t)
	kinds := []kind{
		{name: "filing", priority: 15, perTick: 2, work: 680},
		{name: "browse", priority: 13, perTick: 5, work: 340},
		{name: "status", priority: 13, perTick: 1, work: 1400},
	}
	const capacity = 2 * (2*680 + 5*340 + 1400) / 3.4
	alike, before := admitAll(kinds, capacity, false)
	placed, after := admitAll(kinds, capacity, true)
	c.Logf("served of all: %.3f alike, %.3f by their work; by kind: %.2v, %.2v", before, after, alike, placed)
	c.Check(after >= before+0.03, qt.IsTrue)
	c.Check(placed["filing"] >= 0.97, qt.IsTrue)
	c.Check(placed["status"] >= 0.9*minRelativeShare*placed["browse"], qt.IsTrue)
	c.Check(placed["status"] <= alike["status"], qt.IsTrue)
}

// At any threshold and for any weight, a kind keeps its share of what the
// best-served kind of its priority gets, and no request leaves its priority.
func TestPlacementKeepsAShareForEachKind(t *testing.T) {
	c := qt.New(t)
	whole := int(call.MaxTiebreak) + 1
	for _, weight := range []float64{1, 0.9, 0.5, minCostWeight, costWeight(1e6, 1)} {
		for threshold := range whole {
			in := 0
			for tie := range whole {
				level := weightedLevel(call.MakeLevel(9, call.Tiebreak(tie)), weight)
				c.Assert(level.Priority(), qt.Equals, call.Priority(9))
				if int(level.Tiebreak()) >= threshold {
					in++
				}
			}
			// A difference of one tie-break is rounding.
			kept := minRelativeShare * float64(whole-threshold)
			c.Assert(float64(in) >= kept-1, qt.IsTrue, qt.Commentf("weight %v, threshold %d: %d of %d", weight, threshold, in, whole))
		}
	}
	c.Check(costWeight(0, 10), qt.Equals, 1.0)
	c.Check(costWeight(20, 10), qt.Equals, 0.5)
	c.Check(costWeight(5, 10), qt.Equals, 1.0)
}
