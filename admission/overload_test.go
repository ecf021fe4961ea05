package admission

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

// mixedLevels draws the levels of a surge: mostly browsing and status checks,
// and one filing in ten calls.
func mixedLevels(r *rand.Rand) call.Level {
	priorities := []call.Priority{3, 3, 3, 3, 5, 5, 5, 5, 5, 12}
	return call.MakeLevel(priorities[r.IntN(len(priorities))], call.Tiebreak(64+r.IntN(64)))
}

// surgeOf returns a simulation with a load of 0.7 of the upstream's 2000 calls
// a second, and from 2 s to 5 s with a load of times the 2000 calls.
func surgeOf(times float64) simulation {
	return simulation{
		config: Config{Slots: 300, InitialLimit: 32, DepthAware: true},
		cpus:   16,
		work:   8 * time.Millisecond,
		rate: func(at time.Duration) float64 {
			if at >= 2*time.Second && at < 5*time.Second {
				return 2000 * times
			}
			return 1400
		},
		level:    mixedLevels,
		length:   7 * time.Second,
		deadline: time.Second,
	}
}

// Demand rises to 1.2, 2 and 5 times the capacity for three seconds. Without
// shedding, every call would wait past its deadline. The upstream must stay
// busy with calls that complete, no filing may be refused, and within a second
// of the surge's end all calls must be served again, with and without roots
// that enforce the level.
func TestSurgeAndRecovery(t *testing.T) {
	c := qt.New(t)
	for _, feedback := range []bool{false, true} {
		for _, times := range []float64{1.2, 2, 5} {
			for _, preference := range []float64{0, 1} {
				s := surgeOf(times)
				s.feedback = feedback
				s.config.Preference = preference
				bins, _ := s.run(t)
				surge := sum(bins, 2500*time.Millisecond, 5*time.Second)
				after := sum(bins, 6*time.Second, 7*time.Second)
				t.Logf("feedback %v, surge %v, preference %v: %.3f of capacity, lost after the end %.3f s, 99 %% served within %v",
					feedback, times, preference, float64(surge.ok)/5000, lostSeconds(bins[50:]), surge.percentile(99))
				c.Assert(surge.ok > 5000*93/100, qt.IsTrue, qt.Commentf("%+v", surge.ok))
				c.Assert(surge.late, qt.Equals, 0)
				c.Assert(surge.importantOK, qt.Equals, surge.important)
				c.Assert(after.ok, qt.Equals, after.offered)
				c.Assert(lostSeconds(bins[50:]) < 0.2, qt.IsTrue)
			}
		}
	}
}

// All calls have the same level, for example because a root doesn't rank them.
// A level can only be refused as a whole. Refusing it would idle the upstream,
// and admitting it without a limit would flood the upstream.
func TestSurgeOfOneLevel(t *testing.T) {
	s := surgeOf(3)
	s.level = func(*rand.Rand) call.Level { return call.MakeLevel(4, 64) }
	bins, _ := s.run(t)
	surge := sum(bins, 2500*time.Millisecond, 5*time.Second)
	qt.Assert(t, surge.ok > 5000*85/100, qt.IsTrue, qt.Commentf("%+v", surge.ok))
}

// Refused callers retry up to three times, after the RetryAfter that they got;
// in a second load, bursts come twice a second. Preference for goodput must
// lose fewer callers. Preference for recovery must serve the callers at the end
// of the surge sooner, and leave shorter waits after a burst.
func TestPreferenceTradesGoodputForRecovery(t *testing.T) {
	c := qt.New(t)
	var surge, bursts [2]bin
	for preference := range surge {
		s := surgeOf(3)
		s.config.Preference = float64(preference)
		s.retries = 3
		bins, _ := s.run(t)
		surge[preference] = sum(bins, 4500*time.Millisecond, 5*time.Second)
		s.retries = 0
		s.rate = func(at time.Duration) float64 {
			if at%(500*time.Millisecond) < 100*time.Millisecond {
				return 4000
			}
			return 800
		}
		bins, _ = s.run(t)
		bursts[preference] = sum(bins, time.Second, 7*time.Second)
		for _, b := range []bin{surge[preference], bursts[preference]} {
			t.Logf("preference %d: %.3f served, 99 %% within %v", preference, float64(b.ok)/float64(b.offered), b.percentile(99))
		}
	}
	c.Assert(surge[1].ok > surge[0].ok, qt.IsTrue)
	c.Assert(bursts[1].ok > bursts[0].ok, qt.IsTrue)
	c.Assert(surge[0].percentile(99) < surge[1].percentile(99), qt.IsTrue)
	c.Assert(bursts[0].percentile(99) < bursts[1].percentile(99), qt.IsTrue)
}

// A downstream service slows from 5 ms to 400 ms. The upstream that calls it
// only waits, so its limit must not fall. Without depth awareness, the wait
// looks like slowness of the upstream itself and the limit falls, which sheds
// calls that don't use the downstream service.
func TestSlowDeepServiceLeavesLimitAbove(t *testing.T) {
	c := qt.New(t)
	for _, aware := range []bool{true, false} {
		s := surgeOf(0)
		s.config.DepthAware = aware
		s.config.InitialLimit = 0
		s.rate = func(time.Duration) float64 { return 400 }
		s.deep = func(at time.Duration) time.Duration {
			if at > 2*time.Second {
				return 400 * time.Millisecond
			}
			return 5 * time.Millisecond
		}
		least := s.config.Slots
		s.onArrival = func(at time.Duration, g *Gate) {
			if at > 2*time.Second {
				least = min(least, int(g.limit.Load()))
			}
		}
		s.run(t)
		t.Logf("depth aware %v: least limit %d", aware, least)
		c.Assert(least >= 75, qt.Equals, aware, qt.Commentf("least limit %d", least))
	}
}

// The mix shifts from a fast profile to a slow one, or the upstream becomes
// slow at any concurrency, as with a slow disk. Neither is overload, and
// lowering the limit would only idle the upstream. Slowness that grows with
// concurrency is overload. A cold upstream must stay below its ramp even if its
// latency is low.
func TestLimiterTellsOverloadFromOtherSlowness(t *testing.T) {
	c := qt.New(t)
	quick, slow := &profileStats{}, &profileStats{}
	l := newLimiter(Config{Slots: 100, InitialLimit: 10, MinLimit: 2, RampTime: 5 * time.Second})
	now := time.Duration(0)
	window := func(quickMean, slowMean, quickShare float64) {
		now += DefaultWindow
		ended := 50 * l.limit / (quickShare*quickMean + (1-quickShare)*slowMean)
		n := uint64(ended * quickShare)
		m := uint64(ended) - n
		l.update(measurement{
			samples: []sample{
				{quick, n, time.Duration(float64(n) * quickMean * 1e6)},
				{slow, m, time.Duration(float64(m) * slowMean * 1e6)},
			},
			peakActive: int(l.limit),
			ok:         n + m,
			elapsed:    DefaultWindow,
		}, now)
	}
	for i := range 100 {
		window(1, 10, 0.95-float64(i)/110)
		c.Assert(float64(l.effective(now)) <= 10+90*now.Seconds()/5+0.5, qt.IsTrue)
	}
	c.Assert(l.effective(now), qt.Equals, 100)
	for range 200 {
		window(4, 40, 0.5)
	}
	c.Assert(l.limit > 70, qt.IsTrue, qt.Commentf("slow at any concurrency: %v", l.limit))
	for range 200 {
		strain := max(l.limit/20, 1)
		window(4*strain, 40*strain, 0.5)
	}
	c.Assert(l.limit < 50, qt.IsTrue, qt.Commentf("slow by concurrency: %v", l.limit))
}

// The only slot stays occupied. A call of a profile that prefers recovery must
// be refused soon, so that its caller can do something else; a call of a
// profile that prefers goodput waits four times as long for capacity; a call
// with IgnoreMaxQueueWait waits for as long as its own profile allows.
func TestPreferenceOfProfileSetsPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, err := NewGate(Config{Slots: 1, MinLimit: 1, QueueLimit: 2})
		c.Assert(err, qt.IsNil)
		_, err = g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		for r, wantWait := range map[Request]time.Duration{
			{MaxWait: time.Second}:                           DefaultMaxQueueWait / 4,
			{MaxWait: time.Second, Preference: 1}:            DefaultMaxQueueWait,
			{MaxWait: time.Second, IgnoreMaxQueueWait: true}: time.Second,
		} {
			start := time.Now()
			_, err = g.Acquire(t.Context(), r)
			c.Check(err, qt.ErrorMatches, ".*queue-wait.*")
			c.Check(time.Since(start), qt.Equals, wantWait)
		}
	})
}

// In a window, a small upstream finishes ten calls, and random variation
// matters more for it than for a large upstream. If the level were set to admit
// the capacity on average, every eighth window of a surge would have too few
// calls, and the upstream would idle.
func TestRaisedLevelLeavesNoWindowShort(t *testing.T) {
	c := qt.New(t)
	for _, capacity := range []float64{1, 10, 100, 1000} {
		v := newLevelController(Config{})
		for i := range v.expected {
			v.expected[i] = float32(4 * capacity / float64(levels))
		}
		v.raise(capacity)
		r := rand.New(rand.NewPCG(3, 4))
		const windows = 500
		short := 0
		for range windows {
			n, at := 0.0, r.ExpFloat64()
			for ; at < v.admitted(); at += r.ExpFloat64() {
				n++
			}
			if n < capacity {
				short++
			}
		}
		t.Logf("capacity %v: %.0f%% of it arrive, %d of %d windows short", capacity, 100*v.admitted()/capacity, short, windows)
		c.Check(short <= windows*6/100, qt.IsTrue)
		c.Check(v.admitted() <= maxTargetFactor*capacity, qt.IsTrue)
	}
}
