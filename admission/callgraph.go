package admission

import (
	"math"
	"sync"
	"time"
)

// Parameters of a CallGraph.
const (
	// graphWindow is the interval at which counts decay and links are computed
	// again.
	graphWindow = 250 * time.Millisecond
	// graphDecay is the factor on the counts per window. The counts cover about
	// 60 windows, or 15 seconds.
	graphDecay = 0.984
	// minCallsPerVisit is the mean number of calls of a kind that a visit must make
	// to be linked to that kind.
	minCallsPerVisit = 0.2
	// neededWeight is the weight of one visit in the mean number of calls that
	// its kind needs.
	neededWeight = 0.1
	// maxKinds bounds the distinguished kinds of visits, and of calls for each
	// of them.
	maxKinds = 32
)

// CallGraph counts which kinds of visits of an upstream make which kinds of
// calls.
//
// Load pattern: several kinds of requests share an upstream, and only some of
// them need a downstream service that is overloaded. Requests of those kinds
// must be refused at the root, the others must not.
//
// Only calls that name the visit they belong to are counted. In a surge all
// kinds of visits and calls increase together. Inferring the links from calls
// at the same time also links kinds that make no such calls: two thirds of the
// payments were refused because of a service that they don't need.
type CallGraph struct {
	mu        sync.Mutex
	kinds     map[string]*kindStats
	windowEnd time.Time
}

// kindStats is the state of one kind of visit.
type kindStats struct {
	// visits and calls are decayed counts of visits and of their calls by kind.
	visits float64
	calls  map[string]float64
	// needed is the mean number of calls of each kind in a successful visit.
	needed map[string]float64
	// linked are the kinds of calls that visits of this kind make, as of the
	// last window. The slice is replaced, never modified.
	linked []string
}

// NewCallGraph returns an empty CallGraph.
func NewCallGraph() *CallGraph { return &CallGraph{kinds: make(map[string]*kindStats)} }

// RecordVisit records the start of a visit.
func (g *CallGraph) RecordVisit(kind string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if r := g.stats(kind); r != nil {
		r.visits++
	}
}

// RecordCall records a call that the upstream makes for a visit.
func (g *CallGraph) RecordCall(kind, call string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	r := g.stats(kind)
	if r == nil {
		return
	}
	if _, known := r.calls[call]; known || len(r.calls) < maxKinds {
		r.calls[call]++
	}
}

// RecordSuccess records a successful visit and the calls made for it, by kind.
// Failed visits don't show how many calls are needed: most of them end at their
// first failed call.
func (g *CallGraph) RecordSuccess(kind string, calls map[string]int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	r := g.stats(kind)
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

// CallsNeeded returns how many calls of a kind a visit needs to succeed, or 0 if that
// is unknown.
func (g *CallGraph) CallsNeeded(kind, call string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.kinds[kind]; r != nil {
		return int(math.Round(r.needed[call]))
	}
	return 0
}

// CallKinds returns the kinds of calls that visits of a kind make. The caller must
// not modify the result.
func (g *CallGraph) CallKinds(kind string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.kinds[kind]; r != nil {
		return r.linked
	}
	return nil
}

// stats returns the state of a kind of visit, or nil if there are too many kinds.
func (g *CallGraph) stats(kind string) *kindStats {
	r := g.kinds[kind]
	if r == nil && len(g.kinds) < maxKinds {
		r = &kindStats{calls: make(map[string]float64), needed: make(map[string]float64)}
		g.kinds[kind] = r
	}
	return r
}

// advance closes the window if its time has passed.
func (g *CallGraph) advance(now time.Time) {
	if g.windowEnd.IsZero() {
		g.windowEnd = now.Add(graphWindow)
	}
	if now.Before(g.windowEnd) {
		return
	}
	g.windowEnd = now.Add(graphWindow)
	for _, r := range g.kinds {
		r.closeWindow()
	}
}

// closeWindow links the kinds of calls that are made often enough, and decays the
// counts.
func (r *kindStats) closeWindow() {
	var linked []string
	for call, made := range r.calls {
		if made >= minCallsPerVisit*r.visits {
			linked = append(linked, call)
		}
		r.calls[call] = made * graphDecay
	}
	r.linked = linked
	r.visits *= graphDecay
}
