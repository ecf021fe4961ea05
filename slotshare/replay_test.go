package slotshare_test

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/slotshare"
)

// load is the load of one customer: requests a second, its limit, the mean slot time of a request
// and its weight.
type load struct {
	rate, limit, weight float64
	slotTime            time.Duration
	// varies is set if slot times are exponentially distributed.
	varies bool
	// profile is the profile of the requests, "" for read.
	profile string
}

// replay sends the requests of customers to a service that has room for the given part of their
// slot time, and returns for each customer the admitted part of its requests, after the first half
// of the time. byNumber ranks them by the number of requests alone.
func replay(loads []load, room float64, seconds int, table *slotshare.Table, byNumber bool) []float64 {
	const service = "deep"
	r := rand.New(rand.NewPCG(1, 2))
	shedder := admission.NewShedder()
	names := make([]string, len(loads))
	rate := 0.0
	for i, l := range loads {
		names[i] = "customer" + strconv.Itoa(i)
		rate += l.rate
	}
	start := time.Unix(0, 0)
	arrived, admitted := make([]float64, len(loads)), make([]float64, len(loads))
	var offered, taken, pressure float64
	requests := int(rate * float64(seconds))
	for i := range requests {
		now := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if i%int(rate/10+1) == 0 && offered > 0 {
			// Ten times a second the pressure follows the slot time taken since: it rises if that
			// exceeds the room.
			pressure = min(max(pressure+0.2*(taken/offered-room), 0), 0.99)
			offered, taken = 0, 0
		}
		who := pick(loads, r.Float64()*rate)
		l := loads[who]
		profile := cmp.Or(l.profile, "read")
		shedder.ObservePressure(profile, pressure, now)
		slotTime := l.slotTime
		if l.varies {
			slotTime = time.Duration(r.ExpFloat64() * float64(slotTime))
		}
		use, draw := min(l.rate/l.limit, 1), r.Float64()
		tie := admission.FairTiebreak(use, draw)
		if !byNumber {
			tie = admission.ShareTiebreak(slotshare.Share(use, table.Cost(names[who], service), l.weight), draw)
		}
		measured := i > requests/2
		if measured {
			arrived[who]++
		}
		offered += float64(slotTime)
		if !shedder.Admit(profile, call.MakeLevel(5, tie), now).Admitted {
			table.Refuse(names[who], service)
			continue
		}
		taken += float64(slotTime)
		table.Observe(names[who], service, profile, slotTime)
		shedder.ObserveWork(profile, int(slotTime.Milliseconds()))
		if measured {
			admitted[who]++
		}
	}
	for i := range admitted {
		admitted[i] /= arrived[i]
	}
	return admitted
}

func pick(loads []load, at float64) int {
	for i, l := range loads {
		if at -= l.rate; at < 0 {
			return i
		}
	}
	return len(loads) - 1
}

const ms = time.Millisecond

// equal returns customers that use a part of their limits.
func equal(count int, use float64) []load {
	loads := make([]load, count)
	for i := range loads {
		loads[i] = load{rate: 100 * use, limit: 100, weight: 1, slotTime: 50 * ms}
	}
	return loads
}

// Guards against customers that lose service because another one sends six times its usual load,
// within its limit.
func TestACustomerAtSixTimesItsLoad(t *testing.T) {
	c := qt.New(t)
	loads := equal(20, 0.15)
	loads[0].rate *= 6
	got := replay(loads, 0.8, 60, slotshare.NewTable(), false)
	t.Logf("%.3f", got)
	c.Check(got[0] > 0.05, qt.IsTrue)
	for _, part := range got[1:] {
		c.Check(part > 0.9, qt.IsTrue, qt.Commentf("%.3f", got))
	}
}

// Guards against customers of equal request rates of which some take thirty times the slot time of
// others and are refused no more often.
func TestEqualRatesWithSlotTimesFrom1To30(t *testing.T) {
	c := qt.New(t)
	loads := equal(30, 0.6)
	for i := range loads {
		loads[i].slotTime = time.Duration(i+1) * 10 * ms
		loads[i].varies = true
	}
	got := replay(loads, 0.6, 60, slotshare.NewTable(), false)
	today := replay(loads, 0.6, 60, slotshare.NewTable(), true)
	t.Logf("by slot time %.3f", got)
	t.Logf("by number %.3f", today)
	c.Check(got[0] > 0.95 && got[4] > 0.95 && got[9] > 0.9, qt.IsTrue)
	c.Check(got[29] > 0.2 && got[29] < 0.6, qt.IsTrue)
	c.Check(today[0] < 0.75, qt.IsTrue)
	// The slot time that is taken must differ much less than the slot time that is asked for.
	c.Check(got[29]*30 < 1.5*got[19]*20, qt.IsTrue, qt.Commentf("%.3f", got))
}

// Guards against a kind of requests that starves because it counts as expensive twice: by the work
// of its profile and by the cost of the only customers that send it. The bound is a quarter of the
// part that is served of all requests.
func TestAnExpensiveProfileDoesNotStarve(t *testing.T) {
	c := qt.New(t)
	for _, room := range []float64{0.9, 0.6, 0.3} {
		loads := equal(20, 0.6)
		for i := range 4 {
			loads[i].profile, loads[i].slotTime = "long", 20*loads[i].slotTime
		}
		got := replay(loads, room, 60, slotshare.NewTable(), false)
		today := replay(loads, room, 60, slotshare.NewTable(), true)
		t.Logf("room %v: %.3f, by number %.3f", room, got, today)
		long, all := 0.0, 0.0
		for i, part := range got {
			if i < 4 {
				long += part / 4
			}
			all += part / float64(len(got))
		}
		c.Check(long > all/4, qt.IsTrue, qt.Commentf("%.3f of %.3f", long, all))
	}
}

// Guards against a weight without effect: under the same load, a customer of weight 3 must keep
// more of its requests, and the others still get some.
func TestAWeightOf3(t *testing.T) {
	c := qt.New(t)
	loads := equal(10, 1)
	loads[0].weight = 3
	got := replay(loads, 0.25, 60, slotshare.NewTable(), false)
	t.Logf("%.3f", got)
	c.Check(got[0]/got[1] > 2.5 && got[0]/got[1] < 3.5, qt.IsTrue, qt.Commentf("%.3f", got))
}

// Guards against a change for deployments whose customers all have the same slot times.
func TestEqualCustomersAreRankedAsByNumber(t *testing.T) {
	loads := equal(20, 0.6)
	loads[3].rate = 90
	qt.Check(t, replay(loads, 0.7, 30, slotshare.NewTable(), false), qt.DeepEquals, replay(loads, 0.7, 30, slotshare.NewTable(), true))
}

// Guards against a ranking that never recovers from a restart: a node that knows no costs must
// learn them from the responses of the requests that it admits.
func TestCostsAreLearnedAfterARestart(t *testing.T) {
	c := qt.New(t)
	loads := equal(10, 0.8)
	loads[0].slotTime *= 20
	early := replay(loads, 0.6, 1, slotshare.NewTable(), false)
	later := replay(loads, 0.6, 30, slotshare.NewTable(), false)
	t.Logf("first second %.3f, later %.3f", early, later)
	c.Check(later[1] > 0.95, qt.IsTrue)
	c.Check(later[0] > 0.1, qt.IsTrue)
}
