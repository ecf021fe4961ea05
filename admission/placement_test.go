package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// kind is a kind of requests that leads to one short upstream.
type kind struct {
	name     string
	priority call.Priority
	perTick  int
	work     int // milliseconds of the upstream's slots
}

// admitAll offers kinds to a root for a while under a pressure that fits their work
// to the capacity, and returns the served share of each and of all requests.
// Capacity is in milliseconds of slots for each tick of 10 ms.
func admitAll(kinds []kind, capacity float64, tellWork bool) (served map[string]float64, all float64) {
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
		// The upstream's pressure follows the work that was let in.
		pressure += 0.02 * (work - capacity) / offered
		pressure = min(max(pressure, 0), pressureMost)
		work = 0
		for _, k := range kinds {
			s.Heard(k.name, pressure, now)
			if tellWork {
				s.HeardWork(k.name, k.work)
			}
			for range k.perTick {
				level := call.MakeLevel(k.priority, call.Tiebreak(random.IntN(int(call.MaxTiebreak)+1)))
				in := s.Admit(k.name, level, now).Admitted
				if in {
					work += float64(k.work)
				}
				if tick < ticks/2 {
					continue
				}
				asked[k.name]++
				if in {
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

// A deep upstream is asked for 1.7 times what it carries. Of two kinds of one
// priority the costly one takes four times as much of it; refused alike, every
// costly request takes the room of four others. More whole requests must be served
// in the same room, the costly kind must keep half of what the cheap one gets, and
// what ranks higher must not notice.
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
	c.Check(placed["status"] >= 0.9*keptShare*placed["browse"], qt.IsTrue)
	c.Check(placed["status"] <= alike["status"], qt.IsTrue)
}

// At any threshold, and however costly a kind is, it keeps its share of what the
// best-placed kind of its priority is let in. Nothing leaves its priority.
func TestPlacementKeepsAShareForEachKind(t *testing.T) {
	c := qt.New(t)
	whole := int(call.MaxTiebreak) + 1
	for _, weight := range []float64{1, 0.9, 0.5, leastWeight, weightOf(1e6, 1)} {
		for threshold := range whole {
			in := 0
			for tie := range whole {
				level := place(call.MakeLevel(9, call.Tiebreak(tie)), weight)
				c.Assert(level.Priority(), qt.Equals, call.Priority(9))
				if int(level.Tiebreak()) >= threshold {
					in++
				}
			}
			// One step of the tie-break more or less is rounding.
			kept := keptShare * float64(whole-threshold)
			c.Assert(float64(in) >= kept-1, qt.IsTrue, qt.Commentf("weight %v, threshold %d: %d of %d", weight, threshold, in, whole))
		}
	}
	c.Check(weightOf(0, 10), qt.Equals, 1.0)
	c.Check(weightOf(20, 10), qt.Equals, 0.5)
	c.Check(weightOf(5, 10), qt.Equals, 1.0)
}
