package retry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// scheme is a rule that bounds retries along a chain of calls.
type scheme struct {
	name string
	// copied gives each downstream call the whole credit of the visit.
	copied bool
	// perHop, when above 0, is the number of attempts that every hop makes for
	// every failed call, without regard to credit.
	perHop int
}

// graph simulates one request: services call others downstream, and attempts
// fail with the given probabilities.
type graph struct {
	scheme scheme
	// width is the number of calls that each visit makes; widths overrides it
	// for the first levels from the root.
	width  int
	widths []int
	depth  int
	// parallel makes the calls of one visit run concurrently.
	parallel bool
	// refuse, lose and late are the probabilities that an attempt isn't run,
	// that its answer is lost, and that a lost answer arrives after the visit
	// ended.
	refuse, lose, late float64

	// bottomOnly limits failures to calls on the services at the bottom of the
	// graph.
	bottomOnly bool
	// maxExtras is the number of retries after which the simulation makes no
	// more, for schemes that would not terminate; 0 means no limit.
	maxExtras int64

	seed    atomic.Uint64
	firsts  atomic.Int64
	extras  atomic.Int64
	pending sync.WaitGroup
}

type answer struct {
	ok bool
	// downstream is true when the failure happened downstream of the answering
	// hop.
	downstream bool
	left       int
}

func (g *graph) random() *rand.Rand { return rand.New(rand.NewPCG(g.seed.Add(1), 7)) }

// visit handles a call and makes its downstream calls.
func (g *graph) visit(depth, credit int) answer {
	own := NewCredit(credit)
	var failed atomic.Bool
	var calls sync.WaitGroup
	for range g.callsAt(depth) {
		if g.parallel {
			calls.Go(func() { g.callDownstream(depth, own, &failed) })
			continue
		}
		g.callDownstream(depth, own, &failed)
	}
	calls.Wait()
	return answer{ok: !failed.Load(), downstream: failed.Load(), left: own.Left()}
}

func (g *graph) callsAt(depth int) int {
	switch {
	case depth == g.depth:
		return 0
	case depth < len(g.widths):
		return g.widths[depth]
	}
	return max(g.width, 1)
}

// callDownstream makes one downstream call, with the retries that the scheme
// allows.
func (g *graph) callDownstream(depth int, own *Credit, failed *atomic.Bool) {
	g.firsts.Add(1)
	for attempt := 1; ; attempt++ {
		result := g.attempt(depth, own)
		if result.ok {
			return
		}
		if !g.shouldRetry(attempt, result, own) {
			failed.Store(true)
			return
		}
		g.extras.Add(1)
	}
}

func (g *graph) shouldRetry(attempt int, result answer, own *Credit) bool {
	switch {
	case g.maxExtras > 0 && g.extras.Load() >= g.maxExtras:
		return false
	case g.scheme.perHop > 0:
		return attempt < g.scheme.perHop
	case result.downstream:
		return false
	}
	return own.Take(1) == 1
}

// attempt makes one attempt over a network that refuses calls and loses
// answers.
func (g *graph) attempt(depth int, own *Credit) answer {
	rnd := g.random()
	lent := own.Available()
	if !g.scheme.copied {
		lent = own.Lend()
	}
	chance := rnd.Float64()
	fails := !g.bottomOnly || depth+1 == g.depth
	if fails && chance < g.refuse {
		g.returnCredit(own, lent, lent)
		return answer{}
	}
	result := g.visit(depth+1, lent)
	if fails && chance > 1-g.lose {
		if rnd.Float64() < g.late {
			g.pending.Go(func() { g.returnCredit(own, lent, result.left) })
		}
		return answer{}
	}
	g.returnCredit(own, lent, result.left)
	return result
}

func (g *graph) returnCredit(own *Credit, lent, left int) {
	if !g.scheme.copied {
		own.Return(lent, left)
	}
}

// A request fans out over services up to fifteen levels deep. Attempts are
// refused, answers are lost or arrive after the waiting visit has ended, and
// calls run concurrently. The extra attempts of the whole request must never
// exceed the credit that it started with.
func TestCreditBoundsAnyCallGraph(t *testing.T) { rapid.Check(t, checkCallGraph) }

func FuzzCreditBoundsAnyCallGraph(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkCallGraph)) }

func checkCallGraph(t *rapid.T) {
	g := &graph{
		depth:    rapid.IntRange(1, 15).Draw(t, "depth"),
		parallel: rapid.Bool().Draw(t, "parallel"),
		refuse:   rapid.Float64Range(0, 0.5).Draw(t, "refuse"),
		lose:     rapid.Float64Range(0, 0.5).Draw(t, "lose"),
		late:     rapid.Float64Range(0, 1).Draw(t, "late"),
	}
	g.widths = rapid.SliceOfN(rapid.IntRange(1, 5), 0, 4).Draw(t, "widths")
	g.seed.Store(rapid.Uint64().Draw(t, "seed"))
	credit := rapid.IntRange(0, 20).Draw(t, "credit")
	root := g.visit(0, credit)
	g.pending.Wait()
	if int(g.extras.Load())+root.left > credit {
		t.Fatalf("%d extra attempts and %d left of a credit of %d", g.extras.Load(), root.left, credit)
	}
}

// Compares how far other schemes, described in the design note, multiply the
// attempts when every call on the services at the bottom of the graph is
// refused.
func TestSchemesCompared(t *testing.T) {
	c := qt.New(t)
	schemes := []scheme{{name: "split"}, {name: "copied", copied: true}, {name: "3 per hop", perHop: 3}}
	most := make(map[string]int64)
	for _, width := range []int{1, 2} {
		for _, depth := range []int{3, 6, 9, 12} {
			for _, s := range schemes {
				g := &graph{scheme: s, width: width, depth: depth, bottomOnly: true, refuse: 1, maxExtras: 100_000}
				g.visit(0, 2)
				c.Logf("fan-out %d depth %2d %-9s: %6d extra on %6d calls", width, depth, s.name, g.extras.Load(), g.firsts.Load())
				most[s.name] = max(most[s.name], g.extras.Load())
			}
		}
	}
	c.Assert(most["split"], qt.Equals, int64(2))
	c.Assert(most["copied"] > 2000, qt.IsTrue)
}
