package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// Guards against dispatches above the rate in any window, with random arrivals, changes of
// the rate, pauses of the process, and restarts that lose what was counted.
func TestRateHoldsInEveryWindow(t *testing.T) {
	const window = 4 * time.Second
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(7, seed))
		c := qt.New(t)
		var l rateLimit
		// highest is the highest rate so far.
		rate := 0.2 + r.Float64()*100
		highest := rate
		l.set(rate, 0)
		var dispatched []time.Duration
		restarts := 0
		for now := time.Duration(0); now < 20*time.Second; now += time.Duration(r.ExpFloat64() * float64(10*time.Millisecond)) {
			switch r.IntN(4000) {
			case 0:
				l, restarts = rateLimit{}, restarts+1
				l.set(rate, now)
			case 1:
				rate = 0.2 + r.Float64()*100
				highest = max(highest, rate)
				l.set(rate, now)
			case 2:
				now += window
			}
			if l.untilDue(now) == 0 {
				l.take()
				dispatched = append(dispatched, now)
			}
		}
		first := 0
		for i, at := range dispatched {
			for at-dispatched[first] >= window {
				first++
			}
			limit := 1.5*highest*window.Seconds() + 5
			c.Assert(float64(i-first+1) <= limit, qt.IsTrue, qt.Commentf("seed %d: %d in a window ending at %v, rate %.1f, %d restarts", seed, i-first+1, at, highest, restarts))
		}
	}
}

// rated returns a gate in front of a fast upstream, with a rate of 20 calls a second.
func rated(c *qt.C) *Gate {
	g, err := NewGate(Config{Slots: 100, SlotShare: 1, QueueLimit: 1000, MaxQueueWait: time.Second, Preference: 1})
	c.Assert(err, qt.IsNil)
	g.SetRate(20)
	return g
}

// offer sends calls to g at a steady rate for 5 seconds. It returns how many were admitted
// and how many were refused, by reason.
func offer(g *Gate, level call.Level, perSecond int) (admitted int, refused map[call.Reason]int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	refused = make(map[call.Reason]int)
	for range 5 * perSecond {
		calls.Go(func() {
			ticket, err := g.Acquire(context.Background(), Request{Level: level, Profile: "p", MaxWait: 300 * time.Millisecond})
			mu.Lock()
			defer mu.Unlock()
			var refusal *RefusedError
			if errors.As(err, &refusal) {
				refused[refusal.Reason]++
				return
			}
			admitted++
			ticket.Release(OK)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
	return admitted, refused
}

// Guards against a limited upstream that looks idle: roots and other nodes must see that it
// takes no more, and callers must learn why.
func TestRateShowsInPressureLoadAndReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := rated(c)
		admitted, refused := offer(g, 100, 60)
		c.Check(admitted >= 95 && admitted <= 115, qt.IsTrue, qt.Commentf("%d admitted", admitted))
		c.Check(refused[call.ReasonUpstreamLimit], qt.Equals, 300-admitted)
		c.Check(g.Pressure() > 500, qt.IsTrue, qt.Commentf("pressure %d", g.Pressure()))
		c.Check(g.Load() > 1500, qt.IsTrue, qt.Commentf("load %d", g.Load()))
		g.ClearRate()
		admitted, _ = offer(g, 100, 60)
		c.Check(admitted, qt.Equals, 300)
		c.Check(g.Pressure() < 50, qt.IsTrue, qt.Commentf("pressure %d", g.Pressure()))
		c.Check(g.Load() < 500, qt.IsTrue, qt.Commentf("load %d", g.Load()))
	})
}

// Guards against important calls that wait behind unimportant ones for their turn.
func TestRateServesImportantCallsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := rated(c)
		var calls sync.WaitGroup
		important, unimportant := 0, 0
		calls.Go(func() { important, _ = offer(g, call.MakeLevel(14, 0), 10) })
		calls.Go(func() { unimportant, _ = offer(g, call.MakeLevel(2, 0), 60) })
		calls.Wait()
		c.Check(important, qt.Equals, 50)
		c.Check(unimportant > 40, qt.IsTrue, qt.Commentf("%d unimportant", unimportant))
	})
}

// Guards against a concurrency limit that learns from the few calls that a rate lets
// through, in either direction.
func TestRateTeachesTheConcurrencyLimitNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, err := NewGate(Config{Slots: 100, InitialLimit: 10, QueueLimit: 1000, MaxQueueWait: time.Second, Preference: 1})
		c.Assert(err, qt.IsNil)
		g.SetRate(20)
		offer(g, call.MaxLevel, 60)
		c.Check(g.Snapshot().Limit, qt.Equals, 10)
	})
}
