package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"pollengauge.dev/call"
)

// Two fifths of all requests must be refused while one customer sends seven
// times its usual load, within its limit. The other customers must hardly be
// affected, and that customer must still get as much as each of them.
func TestOneHotCustomerTakesNobodysPart(t *testing.T) {
	c := qt.New(t)
	const usual, customers = 0.14, 30
	served := func(place func(use, draw float64) call.Tiebreak) (hot, others float64) {
		rnd := rand.New(rand.NewPCG(1, 2))
		start := time.Now()
		s := NewShedder()
		s.ObservePressure("read", 0.4, start)
		var arrived, admitted [2]float64
		for i := range 60_000 {
			now := start.Add(time.Duration(i) * time.Millisecond / 2)
			s.ObservePressure("read", 0.4, now)
			use, kind := usual, 1
			// The hot customer sends seven of every thirty-six requests.
			if rnd.Float64()*(customers-1+1/usual) < 1/usual {
				use, kind = 1, 0
			}
			level := call.MakeLevel(5, place(use, rnd.Float64()))
			arrived[kind]++
			if s.Admit("read", level, now).Admitted {
				admitted[kind]++
			}
		}
		return admitted[0] / arrived[0], admitted[1] / arrived[1]
	}
	hot, others := served(FairTiebreak)
	c.Check(others > 0.68, qt.IsTrue, qt.Commentf("others %.3f", others))
	c.Check(hot > 0.1, qt.IsTrue, qt.Commentf("hot %.3f", hot))
	evenHot, evenOthers := served(func(_, draw float64) call.Tiebreak { return FairTiebreak(1, draw) })
	c.Check(evenOthers < 0.63 && evenHot > 0.57, qt.IsTrue, qt.Commentf("drawn evenly: %.3f, %.3f", evenHot, evenOthers))
}

// FairTiebreak must return a valid tie-break whatever use a member reports.
func TestFairTiebreakTakesAnyUse(t *testing.T) {
	c := qt.New(t)
	for _, use := range []float64{-1, 0, 0.001, 0.5, 1, 2} {
		for _, draw := range []float64{0, 0.5, 0.999999} {
			c.Check(FairTiebreak(use, draw) <= call.MaxTiebreak, qt.IsTrue)
		}
	}
	c.Check(FairTiebreak(1, 0.999999), qt.Equals, call.Tiebreak(0))
	c.Check(FairTiebreak(0.1, 0.999999) > 110, qt.IsTrue)
}

// Guards against a change of the ranking for customers that are within their share.
func TestShareTiebreakWithinTheShareIsFairTiebreak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		use, draw := rapid.Float64Range(0, 1).Draw(t, "use"), rapid.Float64Range(0, 0.999999).Draw(t, "draw")
		if got, want := ShareTiebreak(use, draw), FairTiebreak(use, draw); got != want {
			t.Fatalf("%d, want %d", got, want)
		}
	})
}

// Guards against a customer that is refused less often when it uses more, against requests that
// leave their priority, and against requests beyond a share that all have one tie-break.
func TestTheExcessOverAShareRanksLowest(t *testing.T) {
	c := qt.New(t)
	const steps = 1000
	admitted := func(share float64, level call.Level) (sum int) {
		for i := range steps {
			tie := ShareTiebreak(share, float64(i)/steps)
			c.Assert(call.MakeLevel(5, tie).Priority(), qt.Equals, call.Priority(5))
			if call.MakeLevel(5, tie) >= level {
				sum++
			}
		}
		return sum
	}
	shares := []float64{0.5, 1, 1.01, 2, 6, MaxShare}
	for tie := call.Tiebreak(8); tie <= call.MaxTiebreak; tie++ {
		for i := 1; i < len(shares); i++ {
			level := call.MakeLevel(5, tie)
			c.Assert(admitted(shares[i], level) <= admitted(shares[i-1], level), qt.IsTrue, qt.Commentf("share %v at %v", shares[i], level))
		}
	}
	c.Check(admitted(MaxShare, call.MakeLevel(5, 0)), qt.Equals, steps, qt.Commentf("refused although there is room"))
	c.Check(admitted(math.Inf(1), call.MakeLevel(5, 64)) > 0, qt.IsTrue, qt.Commentf("a customer starves"))
	c.Check(ShareTiebreak(math.NaN(), 0.5), qt.Equals, FairTiebreak(1, 0.5))
	byTie := make(map[call.Tiebreak]int)
	for i := range steps {
		byTie[ShareTiebreak(6, float64(i)/steps)]++
	}
	for tie, count := range byTie {
		c.Check(count < steps/5, qt.IsTrue, qt.Commentf("%d requests have the tie-break %d", count, tie))
	}
}
