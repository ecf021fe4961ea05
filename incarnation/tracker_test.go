package incarnation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1e9, 0)

// at returns a time some seconds after the start of a test.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func beat(name string, born int64, sequence uint64) Heartbeat {
	return Heartbeat{ID: ID{Name: name, Born: born}, Sequence: sequence}
}

// inUse returns the name of the incarnation that gets calls, "" if none does.
func inUse(t *Tracker) string {
	id, ok := t.Current()
	if !ok || !t.Available() {
		return ""
	}
	return fmt.Sprint(id.Name, id.Born)
}

// Each report about an incarnation, in an order in which a message is late, repeated, lost,
// reordered, foreign, or from before a restart of the node.
func TestReportsInAnyOrder(t *testing.T) {
	type step func(*Tracker)
	heartbeat := func(seconds float64, h Heartbeat) step {
		return func(t *Tracker) { t.Heartbeat(h, at(seconds)) }
	}
	draining := func(seconds float64, h Heartbeat) step {
		h.Leaving = true
		return heartbeat(seconds, h)
	}
	leave := func(seconds float64, name string, born int64) step {
		return func(t *Tracker) { t.Leave(ID{Name: name, Born: born}, at(seconds)) }
	}
	misdirected := func(seconds float64, found string) step {
		return func(t *Tracker) { t.Misdirected(found, at(seconds)) }
	}
	restart := func(seconds float64) step {
		return func(t *Tracker) {
			departures := t.Departures()
			*t = Tracker{}
			t.Restore(departures, at(seconds))
		}
	}
	for name, test := range map[string]struct {
		steps []step
		want  string
	}{
		"nothing":                          {nil, ""},
		"heartbeat":                        {[]step{heartbeat(0, beat("a", 0, 1))}, "a0"},
		"leave":                            {[]step{heartbeat(0, beat("a", 0, 1)), leave(1, "a", 0)}, ""},
		"leave, late heartbeat":            {[]step{heartbeat(0, beat("a", 0, 1)), leave(1, "a", 0), heartbeat(3, beat("a", 0, 2))}, ""},
		"leave, late heartbeat after long": {[]step{heartbeat(0, beat("a", 0, 1)), leave(1, "a", 0), heartbeat(60, beat("a", 0, 2))}, ""},
		"leave before any heartbeat":       {[]step{leave(1, "a", 0), heartbeat(3, beat("a", 0, 2))}, ""},
		"leave without a start, late heartbeat with one": {[]step{leave(1, "a", 0), heartbeat(3, beat("a", 500, 2))}, ""},
		"draining, late heartbeat":                       {[]step{draining(0, beat("a", 0, 3)), heartbeat(1, beat("a", 0, 2))}, ""},
		"draining is cancelled":                          {[]step{draining(0, beat("a", 0, 3)), heartbeat(1, beat("a", 0, 4))}, "a0"},
		"restart after a leave":                          {[]step{heartbeat(0, beat("a", 0, 1)), leave(1, "a", 0), restart(2), heartbeat(3, beat("a", 0, 2))}, ""},
		"restart while draining":                         {[]step{draining(0, beat("a", 0, 3)), restart(1), heartbeat(2, beat("a", 0, 2))}, ""},
		"two restarts":                                   {[]step{leave(1, "a", 0), restart(2), restart(3), heartbeat(4, beat("a", 0, 2))}, ""},
		"restart, successor":                             {[]step{leave(1, "a", 0), restart(2), heartbeat(3, beat("b", 0, 1))}, "b0"},
		"restart, successor under the same name":         {[]step{leave(1, "a", 100), restart(2), heartbeat(3, beat("a", 200, 1))}, "a200"},
		"late heartbeat of a replaced one":               {[]step{heartbeat(0, beat("a", 0, 1)), heartbeat(1, beat("b", 0, 1)), heartbeat(2, beat("a", 0, 2))}, "b0"},
		"late heartbeat of a replaced one after a leave": {[]step{heartbeat(0, beat("a", 0, 1)), heartbeat(1, beat("b", 0, 1)), leave(2, "b", 0), heartbeat(3, beat("a", 0, 2))}, ""},
		"unknown one after a leave, 421 of the one that left": {
			[]step{heartbeat(0, beat("b", 0, 1)), leave(2, "b", 0), heartbeat(3, beat("a", 0, 2)), misdirected(3, "b")}, "",
		},
		"421 of a known one":                  {[]step{heartbeat(0, beat("b", 0, 1)), heartbeat(3, beat("a", 0, 2)), misdirected(3, "b")}, "b0"},
		"421 of an unknown one":               {[]step{heartbeat(0, beat("a", 0, 1)), misdirected(1, "b")}, ""},
		"421 of an unknown one, announcement": {[]step{heartbeat(0, beat("a", 0, 1)), misdirected(1, "b"), heartbeat(2, beat("b", 0, 1))}, "b0"},
		"replaced one comes back":             {[]step{heartbeat(0, beat("a", 0, 1)), heartbeat(1, beat("b", 0, 1)), heartbeat(8, beat("a", 0, 2))}, "a0"},
		"leave of another one":                {[]step{heartbeat(0, beat("b", 0, 1)), leave(1, "a", 0)}, "b0"},
		"leave of an earlier start":           {[]step{heartbeat(0, beat("a", 200, 1)), leave(1, "a", 100), heartbeat(2, beat("a", 200, 2))}, ""},
		"leave of an earlier start, current goes on": {
			[]step{heartbeat(0, beat("a", 200, 1)), leave(1, "a", 100), heartbeat(7, beat("a", 200, 2))}, "a200",
		},
		"repeated leave of an earlier start": {
			[]step{leave(0, "a", 100), heartbeat(1, beat("a", 200, 1)), leave(2, "a", 100)}, "a200",
		},
		"clock set back":                   {[]step{heartbeat(0, beat("a", 200, 1)), heartbeat(1, beat("a", 100, 1))}, "a200"},
		"clock set back, silence":          {[]step{heartbeat(0, beat("a", 200, 1)), heartbeat(6, beat("a", 100, 1))}, "a100"},
		"clock set back after a leave":     {[]step{leave(0, "a", 200), heartbeat(6, beat("a", 100, 1))}, "a100"},
		"leave after the highest sequence": {[]step{heartbeat(0, beat("a", 0, finalSequence)), leave(1, "a", 0)}, ""},
		"no name":                          {[]step{heartbeat(0, Heartbeat{}), heartbeat(1, Heartbeat{})}, "0"},
		"no name after a leave":            {[]step{leave(0, "a", 0), heartbeat(1, Heartbeat{})}, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			for _, step := range test.steps {
				step(&tracker)
			}
			qt.Check(t, inUse(&tracker), qt.Equals, test.want)
		})
	}
}

// world plays reports about incarnations in any order against a tracker, with restarts of
// the node that keep the departures only.
type world struct {
	tracker Tracker
	now     time.Time
	// left has the incarnations that have left, and drained the highest sequence at
	// which one that has not was draining.
	left    map[ID]bool
	drained map[ID]uint64
}

func (w *world) step(rt *rapid.T) {
	id := ID{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name"), Born: int64(rapid.IntRange(1, 3).Draw(rt, "born"))}
	switch rapid.IntRange(0, 5).Draw(rt, "step") {
	case 0, 1:
		h := Heartbeat{ID: id, Sequence: uint64(rapid.IntRange(1, 9).Draw(rt, "sequence")), Leaving: rapid.Bool().Draw(rt, "leaving")}
		if !w.tracker.Heartbeat(h, w.now).Ignored && h.Leaving {
			w.drained[id] = h.Sequence
		} else if h.Sequence > w.drained[id] {
			delete(w.drained, id)
		}
	case 2:
		w.tracker.Leave(id, w.now)
		w.left[id] = true
	case 3:
		w.tracker.Misdirected(id.Name, w.now)
	case 4:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
	case 5:
		departures := w.tracker.Departures()
		w.tracker = Tracker{}
		w.tracker.Restore(departures, w.now)
	}
}

// Guards against calls to an incarnation whose departure was reported, after any reports in
// any order and any restarts of the node.
func TestDepartedIncarnationNeverGetsCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := world{now: start, left: make(map[ID]bool), drained: make(map[ID]uint64)}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			w.step(rt)
			id, ok := w.tracker.Current()
			if !ok || !w.tracker.Available() {
				continue
			}
			if w.left[id] || w.drained[id] > 0 {
				rt.Fatalf("%v gets calls after its departure", id)
			}
		}
	})
}

// Guards against an upstream that gets no calls although it runs: whatever was reported before,
// its heartbeats put it in use once nothing else is heard of.
func TestRunningIncarnationGetsCallsInTheEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := world{now: start, left: make(map[ID]bool), drained: make(map[ID]uint64)}
		for range rapid.IntRange(0, 40).Draw(rt, "steps") {
			w.step(rt)
		}
		running := ID{Name: rapid.SampledFrom([]string{"a", "new"}).Draw(rt, "running"), Born: int64(rapid.SampledFrom([]int{0, 5}).Draw(rt, "runningBorn"))}
		if running.Name == "a" {
			running.Born = 5
		}
		for i := range uint64(10) {
			w.now = w.now.Add(1500 * time.Millisecond)
			w.tracker.Heartbeat(Heartbeat{ID: running, Sequence: 100 + i}, w.now)
		}
		id, _ := w.tracker.Current()
		if id != running || !w.tracker.Available() {
			rt.Fatalf("%v gets no calls: %v is in use", running, id)
		}
	})
}

// Guards against a departure that is forgotten because many other names were heard of.
func TestDeparturesOutlastManyNames(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	tracker.Leave(ID{Name: "left"}, start)
	for i := range 10 * maxKnown {
		tracker.Heartbeat(beat(fmt.Sprint("other", i), 0, 1), at(float64(i)))
	}
	tracker.Heartbeat(beat("left", 0, 9), at(10*maxKnown+60))
	id, _ := tracker.Current()
	c.Check(id.Name, qt.Not(qt.Equals), "left")
	c.Check(len(tracker.known) <= maxKnown, qt.IsTrue)
}
