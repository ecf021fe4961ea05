package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const bookingProfile = "booking"

// upstreamsByWorkTime returns three upstreams of one service whose speeds
// differ as much as those of VMs of one type do in practice: the slow one takes
// 1.7 times as long as the usual one, the quick one 0.7 times.
func upstreamsByWorkTime(slots int) []Target {
	targets := []Target{target("slow", "a"), target("usual", "b"), target("quick", "c")}
	for i, factor := range []float64{1 / 0.6, 1, 1 / 1.4} {
		targets[i].Slots = slots
		targets[i].WorkTimes[0] = WorkTime{Profile: ProfileKey(bookingProfile), Micros: uint32(factor * 120_000)}
	}
	return targets
}

// drawWorkTime draws the duration of a booking at a target: log-normal around
// 120 ms scaled by the target's speed, and five times as long for one call in a
// hundred.
func drawWorkTime(t Target, rnd *rand.Rand) time.Duration {
	mean := float64(t.WorkTimes[0].Micros)
	took := mean * math.Exp(0.8*rnd.NormFloat64()-0.32)
	if rnd.IntN(100) == 0 {
		took *= 5
	}
	return time.Duration(min(took, mean*7)) * time.Microsecond
}

// placeCalls makes calls by a router in zone a, a few in flight at a time, and
// returns the share that missed the deadline and the number of calls to each
// target.
func placeCalls(c *qt.C, targets []Target, left time.Duration, profile string, calls int) (late float64, placed map[string]int) {
	r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start})
	r.SetTargets(targets)
	rnd := rand.New(rand.NewPCG(1, 2))
	now := start.Add(time.Minute)
	placed = map[string]int{}
	tooLate := 0
	for range calls {
		now = now.Add(20 * time.Millisecond)
		picked, err := r.PickFor(Call{Service: "filing", NoProbe: true, Profile: ProfileKey(profile), TimeLeft: left}, rnd.Uint64(), now)
		c.Assert(err, qt.IsNil)
		took := drawWorkTime(picked.Target, rnd)
		if took > left {
			tooLate++
		}
		placed[picked.Target.ID]++
		picked.Done(good(took), now)
	}
	return float64(tooLate) / float64(calls), placed
}

// Bookings that can't be repeated have 800 ms, and the upstream in their zone
// is the slow one. One in fifty missed the deadline there while a fast upstream
// in the next zone was idle. Calls with enough time left must stay in their
// zone.
func TestCallsNearTheirDeadlineGoToAFasterUpstream(t *testing.T) {
	c := qt.New(t)
	const calls, deadline = 20_000, 800 * time.Millisecond
	lateUninformed, _ := placeCalls(c, upstreamsByWorkTime(100), deadline, "untold", calls)
	late, placed := placeCalls(c, upstreamsByWorkTime(100), deadline, bookingProfile, calls)
	c.Logf("late: %.4f without work times, %.4f with them; %v", lateUninformed, late, placed)
	c.Check(lateUninformed > 0.02, qt.IsTrue)
	c.Check(late < lateUninformed/3, qt.IsTrue)
	c.Check(placed["slow"] > calls/100, qt.IsTrue)
	_, placed = placeCalls(c, upstreamsByWorkTime(100), 10*time.Second, bookingProfile, calls)
	c.Check(placed, qt.DeepEquals, map[string]int{"slow": calls})
}

// The zone has two upstreams, one of them slow. Calls must not leave the zone
// for a faster upstream elsewhere: that costs traffic between zones, which a
// choice within the zone does not.
func TestCallsStayInAZoneWithSeveralTargets(t *testing.T) {
	c := qt.New(t)
	targets := upstreamsByWorkTime(100)
	targets[1].Zone = "a"
	_, placed := placeCalls(c, targets, 800*time.Millisecond, bookingProfile, 2000)
	c.Check(placed["quick"], qt.Equals, 0)
	c.Check(placed["usual"] > placed["slow"], qt.IsTrue)
}

// The fast upstream in the other zone fills up. If calls were still sent there
// for its speed, they would be refused although their own zone has capacity.
func TestFastUpstreamUnderPressureGetsFewCalls(t *testing.T) {
	c := qt.New(t)
	targets := upstreamsByWorkTime(100)
	r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start})
	r.SetTargets(targets)
	now := start.Add(time.Minute)
	rnd := rand.New(rand.NewPCG(1, 2))
	call := Call{Service: "filing", Profile: ProfileKey(bookingProfile), TimeLeft: 800 * time.Millisecond}
	placed := map[string]int{}
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		picked, err := r.PickFor(call, rnd.Uint64(), now)
		c.Assert(err, qt.IsNil)
		answer := good(100 * time.Millisecond)
		if picked.Target.ID != "slow" {
			answer.Load = 950
		}
		picked.Done(answer, now)
		if i >= 1000 {
			placed[picked.Target.ID]++
		}
	}
	c.Logf("%v", placed)
	c.Check(placed["slow"] > 1800, qt.IsTrue)
}

// A mean varies with each call. If it were announced at each change, 560
// members would flood each other with messages that have no effect; if it were
// never announced, a node that turned slow would keep its calls. The most
// frequently called profiles must be announced.
func TestWorkTimesAreAnnouncedWhenTheyChange(t *testing.T) {
	c := qt.New(t)
	var w WorkMeter
	rnd := rand.New(rand.NewPCG(3, 4))
	now := start
	slow := 1.0
	announcements := 0
	second := func() (WorkTimes, bool) {
		now = now.Add(time.Second)
		for range 40 {
			w.Add("busy", time.Duration(slow*100*math.Exp(0.8*rnd.NormFloat64()-0.32))*time.Millisecond)
		}
		times, announce := w.Announcement(now)
		if announce {
			announcements++
		}
		return times, announce
	}
	w.Add("rare", time.Second)
	times, announce := second()
	c.Assert(announce, qt.IsTrue)
	c.Check(times.forProfile(ProfileKey("rare")), qt.Equals, int64(0))
	c.Check(times.forProfile(ProfileKey("busy")) > 60_000, qt.IsTrue)
	for range 300 {
		second()
	}
	c.Logf("announced %d times in 300 s without a change", announcements)
	c.Check(announcements <= 12, qt.IsTrue)
	slow, announcements = 4, 0
	for range 6 {
		times, _ = second()
	}
	c.Check(announcements >= 1, qt.IsTrue)
	c.Check(times.forProfile(ProfileKey("busy")) > 200_000, qt.IsTrue)
	for i := range 2 * maxMeasuredProfiles {
		w.Add(fmt.Sprint("profile", i), time.Millisecond)
	}
	c.Check(len(w.profiles) <= maxMeasuredProfiles, qt.IsTrue)
	for range 200 {
		now = now.Add(time.Second)
		w.Announcement(now)
	}
	c.Check(w.profiles, qt.HasLen, 0)
}
