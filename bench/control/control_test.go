package control

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"pollengauge.dev/objects"
)

// A capacity page is worked out from these lines, so a wrong one promises room
// that isn't there. The figures are those of a line with known slope, then of
// the same line with an error whose least squares are worked out by hand.
func TestFitFindsTheLine(t *testing.T) {
	c := qt.New(t)
	near := qt.CmpEquals(cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }))
	sizes := []float64{10, 40, 160, 560}
	exact := fit("f", "u", sizes, []float64{7, 13, 37, 117})
	c.Check(exact, near, Fit{Figure: "f", Unit: "u", Base: 5, Slope: 0.2, R2: 1, Design: 117, Doubled: 229})
	// Around the means 2 and 3: slope (-1*-2 + 0*-1 + 1*3) / 2, of the
	// variation 4+1+9 the line explains 2.5*2.5*2.
	rough := fit("f", "u", []float64{1, 2, 3}, []float64{1, 2, 6})
	c.Check(rough.Slope, near, 2.5)
	c.Check(rough.Base, near, -2.0)
	c.Check(rough.R2, near, 12.5/14)
}

// A phase that did not come to its end, or was run at one size only, must not
// bend a line.
func TestFitAllLeavesOutWhatWasNotReached(t *testing.T) {
	c := qt.New(t)
	size := func(members int, took time.Duration, reached bool) SizeResult {
		return SizeResult{Members: members, Phases: []PhaseResult{{Phase: Drain, Took: took, Reached: reached}}}
	}
	sizes := []SizeResult{size(10, time.Second, true), size(20, 2*time.Second, true), size(40, time.Hour, false)}
	fits := FitAll(sizes)
	found := Fit{}
	for _, f := range fits {
		if f.Figure == "drain: time until all know" {
			found = f
		}
	}
	c.Check(math.Abs(found.Slope-0.1) < 1e-9, qt.IsTrue, qt.Commentf("%v", found))
	c.Check(FitAll(sizes[:1]), qt.HasLen, 0)
	c.Check(Result{Sizes: sizes}.Unreached(), qt.Equals, 1)
}

// One odd run must not move a figure, and a size at which a phase failed once
// must not pass for one that holds.
func TestMediansTakeTheMiddleRun(t *testing.T) {
	c := qt.New(t)
	run := func(cpu float64, took time.Duration, reached bool, reads uint64) SizeResult {
		usage := Usage{CPU: cpu, Calls: map[objects.Op]uint64{objects.OpGet: reads}}
		return SizeResult{Members: 10, Phases: []PhaseResult{{Phase: Kill, Took: took, Reached: reached, Usage: usage}}}
	}
	medians := Medians([]SizeResult{
		run(1, 3, true, 5), {Members: 20}, run(900, 1, true, 7), run(2, 2, false, 900),
	})
	c.Assert(medians, qt.HasLen, 2)
	c.Check(medians[1].Members, qt.Equals, 20)
	kill, _ := medians[0].phase(Kill)
	c.Check(medians[0].Runs, qt.Equals, 3)
	c.Check(kill.Usage.CPU, qt.Equals, 2.0)
	c.Check(kill.Took, qt.Equals, time.Duration(2))
	c.Check(kill.Usage.Calls[objects.OpGet], qt.Equals, uint64(7))
	c.Check(kill.Reached, qt.IsFalse)
	// Zeros of a run that failed at its start would halve a fleet's memory.
	failed := SizeResult{Members: 5, Phases: []PhaseResult{{Phase: Start}}}
	whole := SizeResult{Members: 5, Resident: 8, Connections: 6, Phases: []PhaseResult{{Phase: Start, Reached: true}}}
	both := Medians([]SizeResult{failed, whole})[0]
	c.Check(both.Resident, qt.Equals, int64(8))
	c.Check(both.Connections, qt.Equals, 6)
	c.Check(both.Phases[0].Reached, qt.IsFalse)
	c.Check(FitAll([]SizeResult{failed, {Members: 9, Resident: 1}}), qt.HasLen, 0)
	c.Check(median([]float64{4, 1}, func(v float64) float64 { return v }), qt.Equals, 2.5)
}

// A fleet that the process has no files for fails node by node, in dials that
// look like a fault of the membership. The run says so instead, at once.
func TestRoomIsCheckedBeforeTheStart(t *testing.T) {
	c := qt.New(t)
	var refused *RoomError
	cfg := DefaultConfig()
	c.Check(cfg.room(1<<30), qt.ErrorAs, &refused)
	c.Check(refused.What, qt.Equals, "open files")
	c.Check(cfg.room(minSize), qt.IsNil)
	cfg.InMemory = true
	c.Check(cfg.room(1<<30), qt.IsNil)
}

// A run in which the nodes do not come to know each other must be told as
// failed, and gives no figures of a smaller fleet under the name of a large one.
func TestStartThatFailsEndsTheSize(t *testing.T) {
	c := qt.New(t)
	cfg := DefaultConfig()
	cfg.Sizes, cfg.InMemory, cfg.Tail = []int{3}, true, 0
	cfg.Limit = time.Second
	// Nobody is there to be joined, so two of the members stay unknown.
	cfg.Others, cfg.Join = 2, Join{Gossip: "127.0.0.1:1", Platform: "http://127.0.0.1:1"}
	result, err := Run(context.Background(), cfg)
	c.Assert(err, qt.IsNil)
	c.Check(result.Unreached(), qt.Equals, 1)
	c.Check(result.Sizes[0].Phases, qt.HasLen, 1)
	_, err = Hold(context.Background(), cfg)
	c.Check(err, qt.ErrorMatches, "fleet: start: not every one of 3 nodes came to know all")
}

// The headers that the kernel adds are estimated, at both ends.
func TestWireBytes(t *testing.T) {
	c := qt.New(t)
	c.Check(wireBytes(0, 1, 1), qt.Equals, uint64(66*(3+7)))
	c.Check(wireBytes(2*1448, 0, 0), qt.Equals, uint64(2*1448+2*66))
	c.Check(totals{payload: 100, sent: 1, received: 1, dials: 1}.wire(), qt.Equals, uint64(100+66*(6+14)))
}

// A run whose figures are missing or zero would look like one that costs
// nothing. Five real nodes go through every phase, in two fleets side by side,
// since a cut takes as long as all the others. They keep the pace that nodes
// have: at ten times that, a busy machine made them take each other for dead.
func TestRunMeasuresEverything(t *testing.T) {
	parts := map[string][]Phase{
		"events":  {Start, Steady, Change, Late, Outage, Drain, Kill, Restart},
		"the cut": {Start, Steady, Cut, Heal},
	}
	for name, phases := range parts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cfg := DefaultConfig()
			cfg.Sizes, cfg.Phases = []int{5}, phases
			cfg.Settle, cfg.Hold, cfg.Late, cfg.Tail = 0, 0, 10*time.Millisecond, 100*time.Millisecond
			cfg.Window = 2500 * time.Millisecond
			result, err := Run(context.Background(), cfg)
			c.Assert(err, qt.IsNil)
			c.Check(result.Unreached(), qt.Equals, 0, qt.Commentf("%s", result))
			c.Check(result.String(), qt.Contains, "5 members")
			t.Log(result)
			checkMeasured(c, result.Sizes[0], len(phases))
		})
	}
}

func checkMeasured(c *qt.C, s SizeResult, phases int) {
	c.Check(s.Phases, qt.HasLen, phases)
	c.Check(s.Resident > 0 && s.HeapInUse > 0 && s.Goroutines > 0 && s.Connections > 0 && s.OpenFiles > 0, qt.IsTrue)
	for _, p := range s.Phases {
		u := p.Usage
		c.Check(p.Took > 0 && u.Seconds > 0 && u.CPU > 0 && u.PeakCPU >= u.CPU, qt.IsTrue, qt.Commentf("%s", p.Phase))
		c.Check(u.Payload > 0 && u.Gossip > u.Payload && u.PeakGossip >= u.Gossip, qt.IsTrue, qt.Commentf("%s", p.Phase))
		c.Check(u.Messages > 0 && u.Writes > 0, qt.IsTrue, qt.Commentf("%s", p.Phase))
	}
	start, _ := s.phase(Start)
	reads, writes := callsOf(start.Usage.Calls)
	c.Check(reads >= uint64(s.Members) && writes > 0 && start.Usage.Dials > 0, qt.IsTrue)
}

func TestCheckListsEveryWrongField(t *testing.T) {
	c := qt.New(t)
	err := Config{Sizes: []int{2}, Phases: []Phase{"nap"}, Others: 1}.Check()
	c.Assert(err, qt.ErrorMatches, `(?s)sizes "2".*phases "nap".*wave "0".*join "".*window "0s".*limit "0s".*`)
}
