package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// sheddingLoad is a simulated load: runs that each make several calls in turn
// to a service that refuses a share of all arrivals at random.
type sheddingLoad struct {
	calls   int
	refused float64
	// rate is the number of runs started per second, seconds the duration of
	// the load.
	rate, seconds int
	// ratio is the number of retries that a first call earns, maxRetriesPerCall
	// the maximum number of retries of one call.
	ratio             float64
	maxRetriesPerCall int
	// useRation enables the Ration; without it retries go to the first calls
	// that request them.
	useRation bool
}

// sheddingRun is one run in progress.
type sheddingRun struct {
	done, repeated int
	priority       call.Priority
}

// simulate simulates the load and returns how many runs completed all their
// calls and how many retries were made. All runs advance by one step every 20
// ms.
func (s sheddingLoad) simulate(seed uint64) (completed, retries int) {
	const step = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	bucket := NewBucket(BucketConfig{Ratio: s.ratio, Start: start})
	ration := NewRation(bucket)
	var runs []*sheddingRun
	now := start
	for range int(time.Duration(s.seconds) * time.Second / step) {
		for range s.rate * int(step) / int(time.Second) {
			runs = append(runs, &sheddingRun{priority: 13})
		}
		var unfinished []*sheddingRun
		for _, run := range runs {
			if run.repeated == 0 {
				bucket.OnFirst(now)
			}
			if random.Float64() >= s.refused {
				run.done++
				run.repeated = 0
				if run.done == s.calls {
					completed++
					continue
				}
				unfinished = append(unfinished, run)
				continue
			}
			benefit := Benefit{Priority: run.priority, Remaining: s.calls - run.done}
			chosen := !s.useRation || ration.Admit(benefit, random.Float64(), now)
			if run.repeated < s.maxRetriesPerCall && chosen && bucket.Allow(now) {
				retries++
				run.repeated++
				unfinished = append(unfinished, run)
			}
		}
		runs = unfinished
		now = now.Add(step)
	}
	return completed, retries
}

// A service far downstream refuses half of all arrivals, and each request needs
// four or eight calls to it in turn. When retries go to the first calls that
// request them, most are spent on early calls of runs that fail at a later
// call. When the same budget goes to the runs with the fewest calls left,
// clearly more runs must complete, for each number of calls and each refused
// share that the budget can't cover.
func TestScarceRetriesCompleteMoreRuns(t *testing.T) {
	c := qt.New(t)
	for _, calls := range []int{4, 8} {
		for _, refused := range []float64{0.2, 0.55, 0.8} {
			load := sheddingLoad{calls: calls, refused: refused, rate: 500, seconds: 20, ratio: 0.18, maxRetriesPerCall: 1}
			var first, chosen, firstRetries, chosenRetries int
			for seed := range uint64(3) {
				n, r := load.simulate(seed)
				first, firstRetries = first+n, firstRetries+r
				with := load
				with.useRation = true
				n, r = with.simulate(seed)
				chosen, chosenRetries = chosen+n, chosenRetries+r
			}
			c.Logf("%d calls per run, %.2f refused: %d of 30000 runs completed with %d retries; with Ration %d with %d retries",
				calls, refused, first, firstRetries, chosen, chosenRetries)
			if refused > load.ratio+0.1 {
				c.Check(float64(chosen) >= 1.2*float64(first), qt.IsTrue)
				continue
			}
			// The budget covers nearly all retries, so choosing among them must
			// cost nothing.
			c.Check(float64(chosen) >= 0.99*float64(first), qt.IsTrue)
		}
	}
}

// While the budget covers all requested retries, each must be granted: an
// occasional refusal by a healthy service must be retried whichever call of a
// run it hits.
func TestSufficientBudgetGrantsAllRetries(t *testing.T) {
	c := qt.New(t)
	bucket := NewBucket(BucketConfig{Ratio: 0.2, Start: start})
	ration := NewRation(bucket)
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	refused := 0
	for i := range 5000 {
		now = now.Add(2 * time.Millisecond)
		bucket.OnFirst(now)
		if i%20 != 0 {
			continue
		}
		if !ration.Admit(Benefit{Priority: 2, Remaining: 1 + i%8}, random.Float64(), now) || !bucket.Allow(now) {
			refused++
		}
	}
	// The first refusal comes before any retry has been earned.
	c.Check(refused <= 2, qt.IsTrue, qt.Commentf("%d of 250 refused", refused))
}

// Runs with fewer calls left must rank first; among runs with equally many,
// those of higher priority must rank first.
func TestBenefitsAreOrdered(t *testing.T) {
	c := qt.New(t)
	order := []Benefit{
		{Priority: 15, Remaining: 0}, {Priority: 3, Remaining: 1},
		{Priority: 15, Remaining: 2}, {Priority: 0, Remaining: 2},
		{Priority: 15, Remaining: maxRemaining + 5}, {Priority: 1, Remaining: maxRemaining},
	}
	for i := range order[1:] {
		c.Check(order[i].rank() < order[i+1].rank(), qt.IsTrue, qt.Commentf("%v before %v", order[i], order[i+1]))
	}
	c.Check(order[0].rank() >= 0, qt.IsTrue)
	c.Check(Benefit{Priority: 0, Remaining: 1000}.rank() < rationRanks, qt.IsTrue)
}

// A service sheds load for some seconds and is then healthy for minutes. When
// another fault begins, the first retries requested are for runs at their first
// call. They must be granted. The fault guarded against: they were denied in
// favour of demand that was minutes old, and their runs failed although the
// budget was full.
func TestOldDemandIsForgotten(t *testing.T) {
	c := qt.New(t)
	bucket := NewBucket(BucketConfig{Ratio: 0.2, Start: start})
	ration := NewRation(bucket)
	near, far := Benefit{Remaining: 1}, Benefit{Remaining: 4}
	now := start
	for range 50 {
		for range 40 {
			ration.Admit(near, 0, now)
		}
		now = now.Add(rationTick)
	}
	const earns = 300 // they earn 30 retries per tick, fewer than the 40 that were requested for near
	now = now.Add(5 * time.Minute)
	for range earns {
		bucket.OnFirst(now)
	}
	for range 3 {
		for range 40 {
			c.Check(ration.Admit(far, 0.9, now), qt.IsTrue)
		}
		now = now.Add(rationTick)
	}
}
