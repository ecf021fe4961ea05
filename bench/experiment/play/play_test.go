package play

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/bench/experiment/workload"
)

// surge asks for some three times what the deep service can do in its middle.
const surge = `name: surge
length: 8s
warm: 1s
network: {zones: 2, zoneDelay: 1ms, connectDelay: 1ms}
services:
  - {name: front, replicas: 2, slots: 40}
  - {name: deep, replicas: 2, slots: 4}
routes:
  - {name: page, service: front, steps: [{work: 2ms}, {together: [row, row]}]}
  - {name: order, service: front, unrepeatable: true, steps: [{inTurn: [row]}, {work: 2ms}]}
  - {name: row, service: deep, steps: [{work: 20ms}]}
kinds:
  - {name: order, route: order, rank: 0, objective: 300ms, deadline: 1s, worth: 5, rate: 40, callers: calm}
  - {name: view, route: page, rank: 5, objective: 300ms, deadline: 1s, worth: 1, rate: 80, callers: wild}
callers:
  - {name: calm, tries: 3, timeout: 1s, backoff: 100ms}
  - {name: wild, tries: 4, timeout: 1s, impatient: true}
load:
  - {from: 3s, to: 6s, factor: 5, kinds: [view]}
`

func playOf(c *qt.C, text string) Result {
	f, err := workload.Parse([]byte(text))
	c.Assert(err, qt.IsNil)
	w, err := f.Workload(f.Variants()[0])
	c.Assert(err, qt.IsNil)
	r, err := Run(w, 1, func() bool { return false })
	c.Assert(err, qt.IsNil)
	return r
}

// Readers ask for three times what there is. Orders rank above them, so they must
// not pay: the play goes the way on which nodes refuse by rank.
func TestSurgeSparesTheHigherRank(t *testing.T) {
	c := qt.New(t)
	r := playOf(c, surge)
	orders, views := r.Kinds[0], r.Kinds[1]
	c.Check(orders.Answered > 0.95, qt.IsTrue, qt.Commentf("%+v", orders))
	c.Check(views.Answered < 0.9, qt.IsTrue, qt.Commentf("%+v", views))
	c.Check(r.RanTwice, qt.Equals, 0)
	c.Check(r.Worth > 0 && r.Worth <= r.Offered, qt.IsTrue, qt.Commentf("%v of %v", r.Worth, r.Offered))
	c.Check(r.Services[1].Busy > 0.5 && r.Services[1].Busy <= 1, qt.IsTrue, qt.Commentf("%+v", r.Services))
	c.Check(r.Ranks, qt.HasLen, 2)
	c.Check(r.Ranks[0].PerSecond, qt.HasLen, 8)
}

// Whatever breaks, no order may run twice, and all is well again a second after
// the last fault has ended.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	r := playOf(c, surge[:len(surge)-len("load:\n  - {from: 3s, to: 6s, factor: 5, kinds: [view]}\n")]+`faults:
  - {kind: slow, at: 1s, for: 1s, service: deep, replicas: [0], factor: 3}
  - {kind: freeze, at: 2s, for: 1s, service: deep, replicas: [1]}
  - {kind: crash, at: 3s, for: 1s, service: deep, replicas: [0]}
  - {kind: cut, at: 4500ms, for: 500ms, service: front, replicas: [0], with: deep}
  - {kind: delay, at: 5s, for: 1s, service: front, delay: 20ms}
`)
	c.Check(r.RanTwice, qt.Equals, 0)
	c.Check(r.Kinds[0].Answered > 0.8, qt.IsTrue, qt.Commentf("%+v", r.Kinds))
	last := r.Ranks[1].PerSecond[7]
	c.Check(last > 50, qt.IsTrue, qt.Commentf("%+v", r.Ranks))
}

// The play ends while a VM is away, another one paused and a third one cut off.
// All that runs must end with it, or the bubble can't.
func TestFaultsThatOutliveThePlay(t *testing.T) {
	c := qt.New(t)
	r := playOf(c, surge+`faults:
  - {kind: crash, at: 7s, for: 1h, service: deep, replicas: [0]}
  - {kind: freeze, at: 7s, for: 1h, service: front, replicas: [1]}
  - {kind: cut, at: 7s, for: 1h, service: front, with: deep}
`)
	c.Check(r.Kinds[0].Answered < 1, qt.IsTrue, qt.Commentf("%+v", r.Kinds))
}

func TestStop(t *testing.T) {
	c := qt.New(t)
	f, err := workload.Parse([]byte(surge))
	c.Assert(err, qt.IsNil)
	w, err := f.Workload(f.Variants()[0])
	c.Assert(err, qt.IsNil)
	for _, after := range []int{0, 2, 5, 100} {
		asked := 0
		_, err = Run(w, 1, func() bool { asked++; return asked > after })
		c.Check(err, qt.DeepEquals, &StoppedError{}, qt.Commentf("asked %d times", after))
	}
}

func TestPlanFollowsTheLoad(t *testing.T) {
	c := qt.New(t)
	f, err := workload.Parse([]byte(surge))
	c.Assert(err, qt.IsNil)
	w, err := f.Workload(f.Variants()[0])
	c.Assert(err, qt.IsNil)
	arrivals := plan(w, 7)
	c.Check(arrivals, qt.DeepEquals, plan(w, 7))
	counts := map[int]int{}
	for _, a := range arrivals {
		if a.At >= 3*time.Second && a.At < 6*time.Second {
			counts[a.Class]++
		}
	}
	c.Check(counts[0] > 80 && counts[0] < 160, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts[1] > 1100 && counts[1] < 1300, qt.IsTrue, qt.Commentf("%v", counts))
}

// An end and a begin at one time: the other way round the end would undo the
// fault that has just begun.
func TestFaultsEndBeforeTheNextBegins(t *testing.T) {
	c := qt.New(t)
	changes := changesOf([]workload.Fault{
		{Kind: workload.Slow, At: 2 * time.Second, For: time.Second},
		{Kind: workload.Slow, At: time.Second, For: time.Second},
	})
	var begins []bool
	for _, change := range changes {
		begins = append(begins, change.begin)
	}
	c.Check(begins, qt.DeepEquals, []bool{true, false, true, false})
}

func TestResults(t *testing.T) {
	c := qt.New(t)
	const ms = time.Millisecond
	w := &workload.Workload{
		Length: 3 * time.Second, Warm: time.Second,
		Services: []workload.Service{{Name: "a", Replicas: 2, Slots: 5}},
		Kinds:    []workload.Kind{{Name: "k", Rank: 3, Worth: 2, Objective: 100 * ms, Deadline: 300 * ms}},
	}
	m := newMeter()
	m.slots["a"] = 4 * time.Second
	r := resultOf(w, []operation{
		{at: 500 * ms, took: 100 * ms, outcome: answered, tries: 1},
		{at: 1000 * ms, took: 100 * ms, outcome: answered, tries: 1},
		{at: 1500 * ms, took: 200 * ms, outcome: answered, tries: 2},
		{at: 1600 * ms, took: 900 * ms, outcome: refused, tries: 3},
		{at: 2950 * ms, took: 100 * ms, outcome: answered, tries: 1},
		{at: 2990 * ms, outcome: lost, tries: 3},
	}, m)
	c.Check(r, qt.DeepEquals, Result{
		Worth: 2.5, Offered: 5, Tries: 2,
		Kinds: []KindResult{{
			Kind: "k", Rank: 3, Began: 5, Worth: 0.5, Answered: 0.6, OnTime: 0.4, Refused: 0.2, Lost: 0.2, Median: 100 * ms, P99: 200 * ms,
		}},
		Services: []ServiceResult{{Service: "a", Busy: 0.2}},
		Ranks:    []RankSeries{{Rank: 3, PerSecond: []float64{2, 3, 0}}},
	})
}

// Guards against important work that fails while upstreams name limits, and against an
// upstream that is unused after it was replaced.
func TestStatedLimitsAndDepartures(t *testing.T) {
	c := qt.New(t)
	r := playOf(c, surge[:len(surge)-len("load:\n  - {from: 3s, to: 6s, factor: 5, kinds: [view]}\n")]+`faults:
  - {kind: limit, at: 2s, for: 2s, service: deep, rate: 70}
  - {kind: leave, at: 5s, for: 2s, service: deep, replicas: [1]}
`)
	orders, views := r.Kinds[0], r.Kinds[1]
	c.Check(orders.Answered > 0.95, qt.IsTrue, qt.Commentf("%+v", orders))
	c.Check(views.Answered > 0.6 && views.Answered < 0.97, qt.IsTrue, qt.Commentf("%+v", views))
	c.Check(r.RanTwice, qt.Equals, 0)
}
