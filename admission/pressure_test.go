package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// simulatedUpstream simulates an upstream that many roots lead to, in steps of one
// window. The field calls is the number of calls that each request makes there,
// spread evenly over spread windows; the first of them arrive after about delay
// windows, when the request has passed the upstreams before.
type simulatedUpstream struct {
	capacity float64 // calls that a window serves
	calls    int
	delay    int // windows
	spread   int // windows
	p        pressure
	// pending are the calls due in the coming windows, demand the calls that
	// they stand for.
	pending, demand []float64
}

// step simulates one window in which offered requests arrive and the roots
// refuse a part of them according to the pressure. It returns the requests
// begun and the calls refused.
func (ch *simulatedUpstream) step(offered float64) (begun, refused float64) {
	spread := max(ch.spread, 1)
	if ch.pending == nil {
		ch.pending = make([]float64, ch.delay+spread-1)
		ch.demand = make([]float64, ch.delay+spread-1)
	}
	heldBack := ch.p.value
	begun = offered * (1 - heldBack)
	for i := range spread {
		calls := begun * float64(ch.calls) / float64(spread)
		ch.pending[ch.delay-1+i] += calls
		ch.demand[ch.delay-1+i] += calls * float64(demandOf(heldBack)) / thousand
	}
	due, demand := ch.pending[0], ch.demand[0]
	ch.pending = append(ch.pending[1:], 0)
	ch.demand = append(ch.demand[1:], 0)
	refused = max(due-ch.capacity, 0)
	ch.p.update(pressureLoad{offered: demand / ch.capacity, arrived: int(due), refused: int(refused)})
	return begun, refused
}

// One of three upstreams is left and is offered 2.7 times its capacity.
// Requests make their calls over two seconds, so the calls that arrive together
// belong to pressures of different times. A pressure computed against the value
// of 0.4 s earlier rose to 0.86 where 0.65 was wanted, and stayed high for
// 2.7 s after the load was gone.
func TestPressureFitsRequestsWithLateCalls(t *testing.T) {
	c := qt.New(t)
	const capacity, calls = 29, 8
	ch := &simulatedUpstream{capacity: capacity, calls: calls, delay: 3, spread: 20}
	highest := 0.0
	for range 200 {
		ch.step(2.7 * capacity / calls)
		highest = max(highest, ch.p.value)
	}
	c.Check(highest < 0.75, qt.IsTrue, qt.Commentf("%.2f at its highest, 0.65 wanted", highest))
	windows := 0
	for ch.p.value > 0.05 {
		ch.step(0.5 * capacity / calls)
		windows++
	}
	c.Check(windows < 25, qt.IsTrue, qt.Commentf("%d windows until the pressure was gone", windows))
}

// An upstream of 17 slots is offered three times its capacity. Its calls come
// in bursts, so that in most windows some find no free capacity, at any load
// that uses the upstream well. Each such window raised the pressure without a
// bound: it reached nearly 1, and two thirds of the upstream's capacity were
// unused. Bursts may lower the target only by a bounded part.
func TestPressureIsNotRaisedWithoutEndByBursts(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(3, 3))
	var p pressure
	for range 600 {
		const wanted = 3.0
		arrived := 29 * wanted * (1 - p.value) * (0.5 + rnd.Float64())
		refused := max(int(arrived-29), int(rnd.Uint32()%2))
		p.update(pressureLoad{offered: wanted, arrived: int(arrived), refused: refused, meanWait: 80 * time.Millisecond, meanService: 55 * time.Millisecond})
	}
	c.Check(p.value < 0.8, qt.IsTrue, qt.Commentf("%.2f, 0.68 wanted", p.value))
	c.Check(p.value > 0.65, qt.IsTrue, qt.Commentf("%.2f, 0.68 wanted", p.value))
}

// A burst of 1.7 times the capacity of an upstream several hops downstream lasts
// for eight seconds, with eight calls in each request. Without pressure, four calls
// in ten are refused and nearly no request succeeds. With pressure, refusals end
// within a second, the upstream stays busy, and a second after the burst all
// requests are admitted.
func TestPressureHoldsADeepUpstreamAtItsCapacity(t *testing.T) {
	c := qt.New(t)
	const perSecond = int(time.Second / PressureWindow)
	ch := &simulatedUpstream{capacity: 800, calls: 8, delay: 4}
	var begun, refused float64
	for window := range 8 * perSecond {
		b, r := ch.step(170)
		if window >= 2*perSecond {
			begun, refused = begun+b, refused+r
		}
	}
	windows := float64(6 * perSecond)
	c.Check(refused/(begun*8) < 0.01, qt.IsTrue, qt.Commentf("%.3f of the calls refused", refused/(begun*8)))
	c.Check(begun*8 > 0.88*800*windows, qt.IsTrue, qt.Commentf("%.2f of the capacity used", begun*8/800/windows))
	for range 2 * perSecond {
		ch.step(80)
	}
	c.Check(ch.p.value < 0.05, qt.IsTrue, qt.Commentf("%.3f left after the burst", ch.p.value))
}

// A surge of four times the capacity begins at once, and the first effect of
// the pressure shows only after some windows. If the load that arrives were set
// against the current pressure instead of the pressure at the time when its
// requests began, the pressure would exceed the wanted value and refuse nearly
// all requests.
func TestPressureDoesNotOvershoot(t *testing.T) {
	c := qt.New(t)
	ch := &simulatedUpstream{capacity: 800, calls: 8, delay: 4}
	highest := 0.0
	for range 100 {
		ch.step(400)
		highest = max(highest, ch.p.value)
	}
	c.Check(highest < 0.8, qt.IsTrue, qt.Commentf("%.2f at its highest, 0.76 wanted", highest))
	c.Check(ch.p.value > 0.7, qt.IsTrue, qt.Commentf("%.2f in the end", ch.p.value))
}

// Browsing and filing lead to one overloaded upstream, paying doesn't. Under
// pressure, browsing is refused first and filing next, paying never.
func TestShedderRefusesTheLeastImportantFirst(t *testing.T) {
	c := qt.New(t)
	s := NewShedder()
	now := time.Unix(1_000_000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	refused := map[string]int{}
	for range 20_000 {
		now = now.Add(time.Millisecond)
		s.ObservePressure("browse", 0.4, now)
		s.ObservePressure("file", 0.4, now)
		s.ObservePressure("pay", 0, now)
		for profile, priority := range map[string]call.Priority{"browse": 13, "file": 15, "pay": 15} {
			level := call.MakeLevel(priority, call.Tiebreak(rnd.IntN(int(call.MaxTiebreak)+1)))
			if !s.Admit(profile, level, now).Admitted {
				refused[profile]++
			}
		}
	}
	c.Check(refused["pay"], qt.Equals, 0)
	c.Check(refused["file"] < 500, qt.IsTrue, qt.Commentf("%d filings", refused["file"]))
	c.Check(refused["browse"] > 14_000 && refused["browse"] < 17_000, qt.IsTrue, qt.Commentf("%d browsings, 16000 wanted", refused["browse"]))
}

// After an overload, no responses come for a profile whose requests are all
// refused. The last reported pressure must decay, or the profile would be
// refused for ever.
func TestPressureThatNobodyConfirmsFades(t *testing.T) {
	c := qt.New(t)
	s := NewShedder()
	now := time.Unix(1_000_000, 0)
	for range 200 {
		s.ObservePressure("browse", 0.97, now)
	}
	for range 30 {
		now = now.Add(pressureTTL + time.Millisecond)
		s.Pressure("browse", now)
	}
	c.Check(s.Pressure("browse", now) < 0.01, qt.IsTrue)
}

// Few requests of a profile are admitted during an overload, so few responses
// report the pressure. The weight of a response must grow with the time since
// the last one. Otherwise the pressure of such a profile never rises far
// enough, and its requests, each of them as costly as many others, are served
// before more important ones.
func TestRareAnswersTellThePressure(t *testing.T) {
	c := qt.New(t)
	s := NewShedder()
	now := time.Unix(1000, 0)
	s.ObservePressure("status", 0, now)
	for range 4 {
		now = now.Add(400 * time.Millisecond)
		s.ObservePressure("status", 0.9, now)
	}
	c.Check(s.Pressure("status", now) > 0.8, qt.IsTrue, qt.Commentf("%.2f", s.Pressure("status", now)))
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		s.ObservePressure("status", 0, now)
	}
	c.Check(s.Pressure("status", now) < 0.02, qt.IsTrue, qt.Commentf("%.2f after a second without pressure", s.Pressure("status", now)))
}

// Payments and schedules share an upstream, and both rise and fall together in
// a surge. Only schedules call the overloaded downstream service. If each call
// names its visit, payments must not be linked to that service: two thirds of
// them were refused because of a service that they don't need.
func TestCallsThatTellTheirRunLinkNoOther(t *testing.T) {
	c := qt.New(t)
	g := NewCallGraph()
	now := time.Unix(1000, 0)
	for i := range 400 {
		now = now.Add(25 * time.Millisecond)
		for range 1 + i/10%4 {
			g.RecordVisit("payment", now)
			g.RecordVisit("schedule", now)
			for range 4 {
				g.RecordCall("schedule", "index", now)
			}
		}
	}
	c.Check(g.CallKinds("schedule"), qt.DeepEquals, []string{"index"})
	c.Check(g.CallKinds("payment"), qt.HasLen, 0)
}
