package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func target(id, zone string) Target {
	return Target{ID: id, Service: "filing", Zone: zone, Region: "hu", Slots: 100}
}

func good(latency time.Duration) Feedback {
	return Feedback{Outcome: call.Complete, Latency: latency}
}

// fleet simulates routers that call targets in virtual time. By default a
// target takes 20 ms on average, refuses calls when its slots are full and
// reports its load.
type fleet struct {
	routers []*Router
	answer  func(Target) Feedback
	now     time.Time
	rnd     *rand.Rand
	// onPick, if set, is called for each chosen target with the zone of the
	// caller.
	onPick   func(zone string, t Target)
	inFlight map[string]int
	calls    map[string]int
	refused  int
	// endCallbacks holds the callbacks that end calls, by millisecond.
	endCallbacks map[int64][]func()
}

func newFleet(callers int, zones []string, subset int, targets []Target) *fleet {
	f := &fleet{now: start, rnd: rand.New(rand.NewPCG(3, 4)), inFlight: make(map[string]int), endCallbacks: make(map[int64][]func())}
	f.answer = f.answerBySlots
	for i := range callers {
		config := Config{Node: fmt.Sprint("caller", i), Zone: zones[i%len(zones)], Region: "hu", Start: start, Subset: subset}
		f.routers = append(f.routers, NewRouter(config))
	}
	f.setTargets(targets)
	return f
}

func (f *fleet) setTargets(targets []Target) {
	for _, r := range f.routers {
		r.SetTargets(targets)
	}
}

// run makes rate calls per second at random times by random routers, and
// returns the number of calls to each target.
func (f *fleet) run(c *qt.C, d time.Duration, rate float64) map[string]int {
	f.calls, f.refused = make(map[string]int), 0
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		at := f.now.UnixMilli()
		for _, done := range f.endCallbacks[at] {
			done()
		}
		delete(f.endCallbacks, at)
		for next.Before(f.now) {
			next = next.Add(time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second)))
			f.call(c)
		}
	}
	return f.calls
}

func (f *fleet) call(c *qt.C) {
	r := f.routers[f.rnd.IntN(len(f.routers))]
	picked, err := r.Pick("filing", nil, f.rnd.Uint64(), f.now)
	c.Assert(err, qt.IsNil)
	t := picked.Target
	if f.onPick != nil {
		f.onPick(r.config.Zone, t)
	}
	f.calls[t.ID]++
	feedback := f.answer(t)
	f.inFlight[t.ID]++
	end := f.now.Add(max(feedback.Latency, time.Millisecond)).UnixMilli()
	f.endCallbacks[end] = append(f.endCallbacks[end], func() {
		f.inFlight[t.ID]--
		if feedback.Load == 0 {
			feedback.Load = f.inFlight[t.ID] * thousand / t.Slots
		}
		picked.Done(feedback, f.now)
	})
}

func (f *fleet) answerBySlots(t Target) Feedback {
	if f.inFlight[t.ID] >= t.Slots {
		f.refused++
		return Feedback{Outcome: call.NotRun, Reason: call.ReasonQueueFull, Latency: time.Millisecond}
	}
	return good(time.Duration(f.rnd.ExpFloat64() * float64(20*time.Millisecond)))
}

// All callers are in one zone whose target can serve two thirds of their load;
// the other zones are idle. Few calls may be refused: the excess must go to the
// other zones, and the zone's callers must not oscillate between leaving and
// returning because load reports are late.
func TestOverfullZoneSpillsSmoothly(t *testing.T) {
	c := qt.New(t)
	f := newFleet(30, []string{"a"}, 0, threeZones)
	f.run(c, 5*time.Second, 7500)
	calls := f.run(c, 10*time.Second, 7500)
	c.Logf("refused %d of 75000, calls %v", f.refused, calls)
	c.Assert(f.refused < 375, qt.IsTrue)
	c.Assert(calls["t1"] > 37500, qt.IsTrue)
}

// All zones are equally full, up to the load at which calls begin to leave
// their zone. Exchanging calls between the zones doesn't help and only costs
// traffic between zones, so few calls may leave.
func TestEquallyFullZonesKeepTheirCalls(t *testing.T) {
	c := qt.New(t)
	for _, load := range []struct{ rate, mostCrossed float64 }{{12000, 0.08}, {13000, 0.22}, {13800, 0.37}} {
		rate := load.rate
		f := newFleet(30, []string{"a", "b", "c"}, 0, threeZones)
		f.run(c, 5*time.Second, rate)
		crossed := 0
		zoneOf := map[string]string{"t1": "a", "t2": "b", "t3": "c"}
		f.onPick = func(zone string, t Target) {
			if zoneOf[t.ID] != zone {
				crossed++
			}
		}
		f.run(c, 10*time.Second, rate)
		share := float64(crossed) / (rate * 10)
		c.Logf("%.0f a second: refused %d, %.3f left their zone", rate, f.refused, share)
		c.Check(share < load.mostCrossed, qt.IsTrue, qt.Commentf("%.0f a second: %.3f", rate, share))
		c.Check(float64(f.refused) < 0.03*rate*10, qt.IsTrue, qt.Commentf("refused %d", f.refused))
	}
}

// Each caller uses only a subset of a large service. Some targets are in more
// subsets than others; the load must still be nearly even, each subset must
// include every zone, and removing a member must not change the subsets that
// don't contain it.
func TestSubsetBalancesAndBoundsConnections(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{22, 100} {
		result := measureSubset(c, size, DefaultSubset, 300*time.Millisecond)
		c.Logf("members %d: %+v", size, result)
		c.Assert(result.loadSkew < 1.5, qt.IsTrue)
		c.Assert(result.mostCallers < 560*DefaultSubset/size*3/2, qt.IsTrue)
	}
}

// BenchmarkSubset measures the figures in the design note.
func BenchmarkSubset(b *testing.B) {
	for _, shape := range [][2]int{{22, 6}, {22, 12}, {22, 24}, {100, 6}, {100, 12}, {100, 24}, {300, 6}, {300, 12}, {300, 24}} {
		b.Run(fmt.Sprintf("members=%d/subset=%d", shape[0], shape[1]), func(b *testing.B) {
			for range b.N {
				got := measureSubset(qt.New(b), shape[0], shape[1], time.Second)
				b.ReportMetric(float64(got.mostCallers), "callers-max")
				b.ReportMetric(got.loadSkew, "load-max/mean")
			}
		})
	}
}

type subsetResult struct {
	mostCallers int
	loadSkew    float64
}

// measureSubset simulates 560 callers in three zones that load a service to 60
// %.
func measureSubset(c *qt.C, size, subset int, d time.Duration) subsetResult {
	zones := []string{"a", "b", "c"}
	var targets []Target
	for i := range size {
		one := target(fmt.Sprint("member", i), zones[i%3])
		one.Slots = 40
		targets = append(targets, one)
	}
	f := newFleet(560, zones, subset, targets)
	callers, moved := make(map[string]int), 0
	for _, r := range f.routers {
		perZone := make(map[string]int)
		before := subsetOf(r)
		for id, zone := range before {
			callers[id]++
			perZone[zone]++
		}
		c.Assert(len(before), qt.Equals, min(subset, size))
		c.Assert(len(perZone), qt.Equals, 3)
		r.SetTargets(targets[1:])
		for id := range subsetOf(r) {
			if before[id] == "" {
				moved++
			}
		}
		r.SetTargets(targets)
	}
	c.Assert(moved <= callers["member0"], qt.IsTrue)
	rate := float64(size) * 40 * 0.6 / 0.020
	f.run(c, d/2, rate)
	calls := f.run(c, d, rate)
	total := 0
	for _, n := range calls {
		total += n
	}
	return subsetResult{maxCount(callers), float64(maxCount(calls)*size) / float64(total)}
}

func maxCount(counts map[string]int) int {
	n := 0
	for _, one := range counts {
		n = max(n, one)
	}
	return n
}

func subsetOf(r *Router) map[string]string {
	zones := make(map[string]string)
	for _, state := range r.Snapshot("filing") {
		if state.InSubset {
			zones[state.ID] = state.Zone
		}
	}
	return zones
}
