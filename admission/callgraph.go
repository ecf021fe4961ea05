package admission

import (
	"math"
	"sync"
	"time"
)

// Tuning of a CallGraph.
const (
	// graphWindow is how often counts fade and links are settled anew.
	graphWindow = 250 * time.Millisecond
	// graphDecay is what a window leaves of the counts before: some 60 windows,
	// or 15 seconds, count.
	graphDecay = 0.984
	// leastCalls is how many calls a run must make on average to be linked.
	leastCalls = 0.2
	// neededWeight is the weight of one run in what its kind needs.
	neededWeight = 0.1
	// maxKinds bounds the kinds of runs and of calls that are told apart.
	maxKinds = 32
)

// CallGraph counts which kinds of runs of an upstream make which kinds of
// calls.
//
// Load pattern: several kinds of requests share an upstream, and only some of
// them need a deeper service that is overloaded. Requests of those kinds must
// be refused where they begin, and the others must not.
//
// Only calls that tell their run are counted. In a surge all kinds of runs and
// calls rise together, and a guess by what comes at the same time links kinds
// that make no calls at all: two thirds of the payments were refused for a
// service that they don't need.
type CallGraph struct {
	mu    sync.Mutex
	runs  map[string]*runKind
	until time.Time
}

// runKind is one kind of run.
type runKind struct {
	// started and made are decayed counts of runs and of their calls by kind.
	started float64
	made    map[string]float64
	// needed is how many calls of each kind a run makes that ends well, averaged.
	needed map[string]float64
	// linked are the kinds of calls that it makes, as of the last window. The
	// list is replaced, never changed.
	linked []string
}

// NewCallGraph returns a CallGraph that knows nothing.
func NewCallGraph() *CallGraph { return &CallGraph{runs: make(map[string]*runKind)} }

// Begin notes the begin of a run.
func (g *CallGraph) Begin(kind string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if r := g.run(kind); r != nil {
		r.started++
	}
}

// CalledBy notes a call that the upstream makes for a run.
func (g *CallGraph) CalledBy(run, call string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	r := g.run(run)
	if r == nil {
		return
	}
	if _, known := r.made[call]; known || len(r.made) < maxKinds {
		r.made[call]++
	}
}

// Completed notes a run that ended well and the calls that were made for it, by
// kind. Runs that fail say nothing of what is needed: most end at their first
// failed call.
func (g *CallGraph) Completed(run string, calls map[string]int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	r := g.run(run)
	if r == nil {
		return
	}
	for call, times := range calls {
		usual, known := r.needed[call]
		switch {
		case known:
			r.needed[call] = usual + neededWeight*(float64(times)-usual)
		case len(r.needed) < maxKinds:
			r.needed[call] = float64(times)
		}
	}
}

// Needs returns how many calls of a kind a run needs to end well, 0 where no such
// run is known.
func (g *CallGraph) Needs(run, call string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[run]; r != nil {
		return int(math.Round(r.needed[call]))
	}
	return 0
}

// Linked returns the kinds of calls that runs of a kind make.
func (g *CallGraph) Linked(run string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[run]; r != nil {
		return r.linked
	}
	return nil
}

// run returns the record of a kind, nil where there are too many.
func (g *CallGraph) run(kind string) *runKind {
	r := g.runs[kind]
	if r == nil && len(g.runs) < maxKinds {
		r = &runKind{made: make(map[string]float64), needed: make(map[string]float64)}
		g.runs[kind] = r
	}
	return r
}

// advance closes the window when its time has come.
func (g *CallGraph) advance(now time.Time) {
	if g.until.IsZero() {
		g.until = now.Add(graphWindow)
	}
	if now.Before(g.until) {
		return
	}
	g.until = now.Add(graphWindow)
	for _, r := range g.runs {
		r.settle()
	}
}

// settle lists the calls that are made often enough, and lets the counts fade.
func (r *runKind) settle() {
	var linked []string
	for call, made := range r.made {
		if made >= leastCalls*r.started {
			linked = append(linked, call)
		}
		r.made[call] = made * graphDecay
	}
	r.linked = linked
	r.started *= graphDecay
}
