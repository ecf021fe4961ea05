package bound

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/bench/experiment/workload"
)

// twoServices has room for 100 rows a second. A view takes two of them and is
// worth 1, an order takes one and is worth 5.
func twoServices() *workload.Workload {
	work := func(ms int) workload.Work { return workload.Work{Median: time.Duration(ms) * time.Millisecond} }
	return &workload.Workload{
		Length:   101 * time.Second,
		Warm:     time.Second,
		Services: []workload.Service{{Name: "front", Replicas: 1, Slots: 100}, {Name: "deep", Replicas: 2, Slots: 1}},
		Routes: []workload.Route{
			{Name: "view", Service: "front", Steps: []workload.Step{{Work: work(10)}, {Together: []string{"row", "row"}}}},
			{Name: "order", Service: "front", Steps: []workload.Step{{InTurn: []string{"row"}}}},
			{Name: "row", Service: "deep", Steps: []workload.Step{{Work: work(20)}}},
		},
		Kinds: []workload.Kind{
			{Name: "order", Route: "order", Worth: 5, Rate: 40, Deadline: time.Millisecond},
			{Name: "view", Route: "view", Worth: 1, Rate: 100, Deadline: time.Millisecond},
		},
	}
}

// evenly begins the operations of each kind at its rate.
func evenly(w *workload.Workload) Begins {
	begins := make(Begins, len(w.Kinds))
	for i := range w.Kinds {
		k := &w.Kinds[i]
		for at := time.Duration(0); at < w.Length && k.Rate > 0; {
			begins[i] = append(begins[i], at)
			at += time.Duration(float64(time.Second) / w.RateAt(k, at))
		}
	}
	return begins
}

func near(c *qt.C, w *workload.Workload, want float64) {
	got, err := Most(w, evenly(w))
	c.Assert(err, qt.IsNil)
	c.Check(math.Abs(got-want) < 0.01, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
}

// All 40 orders leave 60 rows, enough for 30 views: 200 and 30.
func TestMostByHand(t *testing.T) {
	c := qt.New(t)
	near(c, twoServices(), 230)
	plenty := twoServices()
	plenty.Services[1].Slots = 1000
	near(c, plenty, 300)
	scarce := twoServices()
	scarce.Kinds[0].Rate = 200
	near(c, scarce, 500)
}

// Half of the replicas at half speed have three quarters of the rows: 75, of which
// the orders leave 35.
func TestSlowReplicasCountLess(t *testing.T) {
	c := qt.New(t)
	w := twoServices()
	w.Services[1].Speeds = []float64{1, 0.5}
	near(c, w, 217.5)
}

// In a surge of ten seconds of views no more can be had than in the same seconds
// of usual load: the idle time before can't be saved up.
func TestIdleTimeIsNotSavedUp(t *testing.T) {
	c := qt.New(t)
	w := twoServices()
	w.Kinds[0].Rate = 0
	w.Kinds[1].Rate = 10
	w.Load = []workload.Phase{{From: 50 * time.Second, To: 60 * time.Second, Factor: 100}}
	near(c, w, 0.9*10+0.1*50)
}

func TestDemand(t *testing.T) {
	c := qt.New(t)
	w := twoServices()
	d := Demand(w, &w.Kinds[1])
	c.Check(math.Abs(d[0]-0.030) < 1e-9 && math.Abs(d[1]-0.040) < 1e-9, qt.IsTrue, qt.Commentf("%v", d))
}
