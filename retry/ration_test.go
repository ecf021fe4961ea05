package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// shedding is a load: runs that each make calls in turn to a service that refuses a
// share of all arrivals at random.
type shedding struct {
	calls   int
	refused float64
	// rate is runs a second, over the seconds that the load lasts.
	rate, seconds int
	// ratio is what a first call earns, and again how often one call may be
	// repeated.
	ratio float64
	again int
	// choose picks among retries by what is left; without it the first to ask gets
	// them.
	choose bool
}

// sheddingRun is one run under way.
type sheddingRun struct {
	done, repeated int
	priority       call.Priority
}

// play returns how many runs had all their calls, and how many retries were made.
// All runs take a step each 20 ms.
func (s shedding) play(seed uint64) (completed, retries int) {
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
		var open []*sheddingRun
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
				open = append(open, run)
				continue
			}
			benefit := Benefit{Priority: run.priority, Remaining: s.calls - run.done}
			chosen := !s.choose || ration.Admit(benefit, random.Float64(), now)
			if run.repeated < s.again && chosen && bucket.Allow(now) {
				retries++
				run.repeated++
				open = append(open, run)
			}
		}
		runs = open
		now = now.Add(step)
	}
	return completed, retries
}

// A deep service refuses half of all arrivals, and each request needs four or eight
// of its calls in turn. Retries go to whoever asks first: most are spent on first
// calls of runs that fail at a later one. Given to the runs with the fewest calls
// left, the same budget must complete clearly more, at every depth and share refused
// that it can't pay for.
func TestScarceRetriesCompleteMoreRuns(t *testing.T) {
	c := qt.New(t)
	for _, calls := range []int{4, 8} {
		for _, refused := range []float64{0.2, 0.55, 0.8} {
			load := shedding{calls: calls, refused: refused, rate: 500, seconds: 20, ratio: 0.18, again: 1}
			var first, chosen, firstRetries, chosenRetries int
			for seed := range uint64(3) {
				n, r := load.play(seed)
				first, firstRetries = first+n, firstRetries+r
				with := load
				with.choose = true
				n, r = with.play(seed)
				chosen, chosenRetries = chosen+n, chosenRetries+r
			}
			c.Logf("%d calls, %.2f refused: %d of 30000 completed by %d retries, chosen: %d by %d",
				calls, refused, first, firstRetries, chosen, chosenRetries)
			if refused > load.ratio+0.1 {
				c.Check(float64(chosen) >= 1.2*float64(first), qt.IsTrue)
				continue
			}
			// Nearly all can be paid for, and choosing must cost nothing.
			c.Check(float64(chosen) >= 0.99*float64(first), qt.IsTrue)
		}
	}
}

// While the budget has enough for all, nobody may be left without: a single refusal
// of a healthy service must be mended whichever call meets it.
func TestPlentifulRetriesAreForAll(t *testing.T) {
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
	// The first one comes before anything has been earned.
	c.Check(refused <= 2, qt.IsTrue, qt.Commentf("%d of 250 refused", refused))
}

// Of two runs with as many calls left, the more important one goes first; a run
// with fewer left goes before either.
func TestBenefitsAreOrdered(t *testing.T) {
	c := qt.New(t)
	order := []Benefit{
		{Priority: 15, Remaining: 0}, {Priority: 3, Remaining: 1},
		{Priority: 15, Remaining: 2}, {Priority: 0, Remaining: 2},
		{Priority: 15, Remaining: maxRemaining + 5}, {Priority: 1, Remaining: maxRemaining},
	}
	for i := range order[1:] {
		c.Check(order[i].place() < order[i+1].place(), qt.IsTrue, qt.Commentf("%v before %v", order[i], order[i+1]))
	}
	c.Check(order[0].place() >= 0, qt.IsTrue)
	c.Check(Benefit{Priority: 0, Remaining: 1000}.place() < rationPlaces, qt.IsTrue)
}

// A service sheds for some seconds, and is sound again for minutes. When another
// fault begins, the first retries are for runs at their first call. They are denied
// in favour of retries that nobody has wanted for minutes, and these runs fail though
// the budget is full.
func TestWhatWasWantedLongAgoCountsNoMore(t *testing.T) {
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
	const earns = 300 // for 30 retries in a tick, fewer than were wanted near the end
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
