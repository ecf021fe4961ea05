package routing

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

// loadedRouter returns a router in zone a that knows two targets with 10 slots
// in its zone. Each has answered once, t1 in 20 ms and t2 in 60 ms.
func loadedRouter(c *qt.C) (*Router, time.Time) {
	r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start})
	targets := []Target{target("t1", "a"), target("t2", "a")}
	r.SetTargets(targets)
	now := start.Add(time.Minute)
	reportTo(c, r, "t1", call.TargetLoad{}, now)
	reportTo(c, r, "t2", call.TargetLoad{}, now)
	return r, now
}

// reportTo makes a call to the target, which answers with the report in 20 ms.
// Without a report, t2 takes 60 ms.
func reportTo(c *qt.C, r *Router, id string, l call.TargetLoad, now time.Time) {
	var others []string
	for _, state := range r.Snapshot("filing") {
		if state.ID != id {
			others = append(others, state.ID)
		}
	}
	picked, err := r.Pick("filing", others, 1, now)
	c.Assert(err, qt.IsNil)
	c.Assert(picked.Target.ID, qt.Equals, id)
	f := good(20 * time.Millisecond)
	if l.IsZero() && id == "t2" {
		f.Latency *= 3
	}
	f.Reported = l
	picked.Done(f, now)
}

// picksOf returns how many of 200 calls would go to each target.
func picksOf(c *qt.C, r *Router, now time.Time) map[string]int {
	picks := map[string]int{}
	for i := range uint64(200) {
		picked, err := r.Pick("filing", nil, i, now)
		c.Assert(err, qt.IsNil)
		picks[picked.Target.ID]++
		// The calls are taken back, so that each is the first one after the reports.
		picked.stats.release()
		picked.stats.reported.sent.Add(-1)
	}
	return picks
}

var (
	busyLoad = call.TargetLoad{Running: 10, Waiting: 5, Slots: 10, Work: call.UsualWork}
	idleLoad = call.TargetLoad{Running: 1, Slots: 10, Work: call.UsualWork}
)

// Guards against a report that counts after the load it describes has changed, and
// against one that draws calls from a target that reports nothing.
func TestOnlyRecentReportsOfBothTargetsDecide(t *testing.T) {
	c := qt.New(t)
	r, now := loadedRouter(c)
	reportTo(c, r, "t1", busyLoad, now)
	c.Check(picksOf(c, r, now)["t1"], qt.Equals, 200, qt.Commentf("t2 reports nothing"))
	reportTo(c, r, "t2", idleLoad, now)
	c.Check(picksOf(c, r, now)["t1"], qt.Equals, 0)
	late := now.Add(maxReportMillis * time.Millisecond)
	c.Check(picksOf(c, r, late)["t1"], qt.Equals, 200)
	c.Check(r.Snapshot("filing")[0].Belief, qt.Equals, LoadStale)
}

// Guards against malformed and outdated reports that are used, or that nobody counts.
func TestUnusableReportsAreIgnoredAndCounted(t *testing.T) {
	c := qt.New(t)
	r, now := loadedRouter(c)
	reportTo(c, r, "t1", busyLoad, now)
	for _, l := range []call.TargetLoad{{Slots: -1}, {Slots: 10, Work: 0}, {Running: call.MaxTargetLoadFigure + 1, Slots: 1, Work: 1}} {
		reportTo(c, r, "t1", l, now)
	}
	for _, age := range []int{1, maxReportMillis, call.MaxTargetLoadFigure} {
		old := idleLoad
		old.Age = age
		reportTo(c, r, "t1", old, now)
	}
	c.Check(r.IgnoredLoads(LoadMalformed), qt.Equals, uint64(3))
	c.Check(r.IgnoredLoads(LoadOld), qt.Equals, uint64(3))
	state := r.Snapshot("filing")[0]
	c.Check(state.Reported, qt.Equals, busyLoad)
	c.Check(state.Belief, qt.Equals, LoadBelieved)
}

// Guards against a target that reports free slots while this node's calls to it take
// three times as long as elsewhere. It must not be believed for some seconds, and be
// believed again afterwards. A target that reports that it is slow is not contradicted.
func TestContradictedReportsAreNotBelieved(t *testing.T) {
	c := qt.New(t)
	for _, work := range []int{call.UsualWork, 3 * call.UsualWork} {
		r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start})
		r.SetTargets([]Target{target("t1", "a"), target("t2", "a"), target("t3", "a")})
		now := start.Add(time.Minute)
		for range 100 {
			for i, others := range [][]string{{"t2", "t3"}, {"t1", "t3"}, {"t1", "t2"}} {
				now = now.Add(10 * time.Millisecond)
				picked, err := r.Pick("filing", others, 1, now)
				c.Assert(err, qt.IsNil)
				answer := good(20 * time.Millisecond)
				answer.Reported = idleLoad
				if i == 0 {
					answer.Latency *= 3
					answer.Reported.Work = work
				}
				picked.Done(answer, now)
			}
		}
		states := r.Snapshot("filing")
		if work != call.UsualWork {
			c.Check(states[0].Belief, qt.Equals, LoadBelieved)
			continue
		}
		c.Check(states[0].Belief, qt.Equals, LoadDistrusted)
		c.Check(states[1].Belief, qt.Equals, LoadBelieved)
		c.Check(r.IgnoredLoads(LoadContradicted) > 0, qt.IsTrue)
		now = now.Add(distrustMillis * time.Millisecond)
		reportTo(c, r, "t1", idleLoad, now)
		c.Check(r.Snapshot("filing")[0].Belief, qt.Equals, LoadBelieved)
	}
}

// Guards against an exchange of calls between equally full zones, calls that leave a
// zone with free slots, and a share that moves faster than the reports can show.
func TestSpillShareFollowsTheDifference(t *testing.T) {
	c := qt.New(t)
	share := 0.0
	settle := func(own, common float64) float64 {
		for range 100 {
			next := nextSpillShare(share, own, common)
			c.Assert(next-share <= spillStep && share-next <= spillStep, qt.IsTrue)
			share = next
		}
		return share
	}
	c.Check(settle(1.2, 1.2), qt.Equals, 0.0)
	c.Check(settle(0.79, 0.3), qt.Equals, 0.0)
	c.Check(nextSpillShare(0, 1.55, 1), qt.Equals, spillStep*0.55/1.55)
	c.Check(settle(1.55, 1) > 0.9, qt.IsTrue)
	c.Check(settle(0.5, 0.5), qt.Equals, 0.0)
	c.Check(commonUse([]zoneUse{{1.5, 10}, {0.5, 30}}), qt.Equals, 0.75)
	c.Check(commonUse(nil), qt.Equals, 0.0)
}

// Guards against a spill by reports that have ended: without recent ones of the own
// zone and of another one, the pressure decides as before.
func TestSpillByReportsEndsWithThem(t *testing.T) {
	c := qt.New(t)
	r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start})
	r.SetTargets([]Target{target("t1", "a"), target("t2", "b")})
	s := (*r.services.Load())["filing"]
	now := start.Add(time.Minute)
	for range 20 {
		now = now.Add(spillIntervalMillis * time.Millisecond)
		reportTo(c, r, "t2", idleLoad, now)
		reportTo(c, r, "t1", busyLoad, now)
	}
	share, known := s.spill.spillShare(r.millis(now))
	c.Check(known, qt.IsTrue)
	c.Check(share > 300, qt.IsTrue, qt.Commentf("%d", share))
	for range 10 {
		now = now.Add(spillIntervalMillis * time.Millisecond)
		reportTo(c, r, "t1", busyLoad, now)
	}
	_, known = s.spill.spillShare(r.millis(now))
	c.Check(known, qt.IsFalse)
}

// manyReporting returns a router with 100 targets, of which 64 are in its subset
// and report their load.
func manyReporting(c *qt.C) (*Router, Call, time.Time) {
	r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start, Subset: MaxSubset})
	var targets []Target
	for i := range 100 {
		one := target(fmt.Sprint("t", i), "abc"[i%3:i%3+1])
		one.WorkTimes[0] = WorkTime{Profile: ProfileKey("short"), Micros: uint32(40_000 + i)}
		targets = append(targets, one)
	}
	r.SetTargets(targets)
	now := start.Add(time.Minute)
	for i := range uint64(2000) {
		picked, err := r.Pick("filing", nil, i, now)
		c.Assert(err, qt.IsNil)
		f := good(50 * time.Millisecond)
		f.Reported = idleLoad
		picked.Done(f, now)
	}
	return r, Call{Service: "filing", Profile: ProfileKey("short"), TimeLeft: time.Second}, now
}

// Guards against load reports that make each call allocate.
func TestPlacementByReportsAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	r, one, now := manyReporting(c)
	rnd := uint64(0)
	f := good(50 * time.Millisecond)
	f.Reported = idleLoad
	c.Check(testing.AllocsPerRun(1000, func() {
		rnd++
		now = now.Add(time.Millisecond)
		picked, _ := r.PickFor(one, rnd, now)
		picked.Done(f, now)
	}), qt.Equals, 0.0)
}

func BenchmarkPickByReports(b *testing.B) {
	r, one, now := manyReporting(qt.New(b))
	b.ReportAllocs()
	for i := range uint64(b.N) {
		picked, _ := r.PickFor(one, i, now)
		picked.stats.release()
		picked.stats.reported.sent.Store(0)
	}
}

// Guards against a data race of concurrent calls on the reports of a target. It needs
// -race.
func TestConcurrentCallsShareTheReports(t *testing.T) {
	c := qt.New(t)
	r, one, now := manyReporting(c)
	var done sync.WaitGroup
	for i := range uint64(4) {
		done.Go(func() {
			for j := range uint64(2000) {
				at := now.Add(time.Duration(j) * time.Millisecond)
				picked, _ := r.PickFor(one, i<<32|j, at)
				f := good(50 * time.Millisecond)
				f.Reported = idleLoad
				picked.Done(f, at)
				r.Snapshot("filing")
			}
		})
	}
	done.Wait()
	for _, state := range r.Snapshot("filing") {
		c.Check(state.Reported.Slots == 0 || state.Reported.Slots == idleLoad.Slots, qt.IsTrue)
	}
}
