package admission

import (
	"sync"
	"time"
)

// Tuning of a CallGraph.
const (
	// graphWindow is the span of one observation. Runs last some tens of
	// milliseconds, so most of their calls fall into the window of the run.
	graphWindow = 250 * time.Millisecond
	// graphDecay is what a window leaves of the observations before: some 60
	// windows, or 15 seconds, count.
	graphDecay = 0.984
	// leastCalls is how many calls a run must make on average to be linked, and
	// leastExplained the share of all calls of that kind that must come from
	// its kind of run. What is below is chance.
	leastCalls     = 0.2
	leastExplained = 0.08
	// graphSweeps bounds the steps of the fit; it converges in a few.
	graphSweeps = 30
	// maxKinds bounds the kinds of runs and of calls that are told apart.
	maxKinds = 32
)

// CallGraph learns which kinds of runs of an upstream make which kinds of
// calls, and how many, where calls don't say what run they belong to.
//
// Load pattern: several kinds of requests share an upstream, and only some of
// them need a deeper service that is overloaded. Requests of those kinds must
// be refused where they begin, and the others must not.
//
// In each window it sees how long runs of each kind were under way, and how
// many calls were made. The calls are fitted as a sum over kinds of runs, each
// with a rate that is not negative (least squares, by coordinate descent).
// Runs come and go independently, which tells their parts apart.
//
// Where a call tells its run, that is counted and nothing is fitted: in a surge
// all kinds of runs rise together, and the fit then links kinds that make no
// calls at all.
type CallGraph struct {
	mu    sync.Mutex
	runs  map[string]*runKind
	order []*runKind
	calls map[string]*callKind
	until time.Time
	now   time.Time
	// traced is set once a call has told its run.
	traced bool
}

// runKind is one kind of run.
type runKind struct {
	index   int
	name    string
	running int
	// since is when running last changed.
	since time.Time
	// busy is the run time in this window, in seconds.
	busy float64
	// meanBusy, started and total are decayed sums, for the mean length.
	started float64
	total   float64
	// products are the decayed sums of busy times the busy of each kind.
	products []float64
	// traced are the decayed counts of the calls that told this kind of run.
	traced map[string]float64
	// linked are the kinds of calls that it makes, as of the last window. The
	// list is replaced, never changed.
	linked []string
}

// callKind is one kind of call.
type callKind struct {
	made float64
	// total is the decayed sum of made.
	total float64
	// products are the decayed sums of made times the busy of each kind.
	products []float64
	// rates are the calls a second of a run of each kind.
	rates []float64
}

// NewCallGraph returns a CallGraph that knows nothing.
func NewCallGraph() *CallGraph {
	return &CallGraph{runs: make(map[string]*runKind), calls: make(map[string]*callKind)}
}

// Begin notes the begin of a run.
func (g *CallGraph) Begin(kind string, now time.Time) { g.change(kind, 1, now) }

// End notes the end of a run.
func (g *CallGraph) End(kind string, now time.Time) { g.change(kind, -1, now) }

func (g *CallGraph) change(kind string, by int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	r := g.run(kind)
	if r == nil {
		return
	}
	r.account(g.now)
	r.running = max(r.running+by, 0)
	if by > 0 {
		r.started++
	}
}

// Called notes a call that the upstream makes.
func (g *CallGraph) Called(kind string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if c := g.call(kind); c != nil {
		c.made++
	}
}

// CalledBy notes a call that the upstream makes for a run of a known kind.
func (g *CallGraph) CalledBy(run, call string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	r := g.run(run)
	if r == nil {
		return
	}
	if r.traced == nil {
		r.traced = make(map[string]float64)
	}
	if _, known := r.traced[call]; known || len(r.traced) < maxKinds {
		r.traced[call]++
	}
	g.traced = true
}

// Calls reports how many calls of a kind a run makes on average, 0 if the two
// aren't linked.
func (g *CallGraph) Calls(run, call string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, c := g.runs[run], g.calls[call]
	if r == nil || c == nil {
		return 0
	}
	return g.perRun(r, c)
}

// perRun is how many calls of kind c a run of kind r makes, 0 if they aren't
// linked.
func (g *CallGraph) perRun(r *runKind, c *callKind) float64 {
	if r.index >= len(c.rates) || r.started == 0 || c.total == 0 {
		return 0
	}
	perRun := c.rates[r.index] * r.total / r.started
	explained := c.rates[r.index] * r.total / c.total
	if perRun < leastCalls || explained < leastExplained {
		return 0
	}
	return perRun
}

func (r *runKind) account(now time.Time) {
	if now.After(r.since) {
		r.busy += float64(r.running) * now.Sub(r.since).Seconds()
		r.since = now
	}
}

func (g *CallGraph) run(kind string) *runKind {
	r := g.runs[kind]
	if r == nil && len(g.order) < maxKinds {
		r = &runKind{index: len(g.order), name: kind, since: g.now}
		g.runs[kind] = r
		g.order = append(g.order, r)
	}
	return r
}

func (g *CallGraph) call(kind string) *callKind {
	c := g.calls[kind]
	if c == nil && len(g.calls) < maxKinds {
		c = &callKind{}
		g.calls[kind] = c
	}
	return c
}

// advance closes the window when its time has come.
func (g *CallGraph) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
	if g.until.IsZero() {
		g.until = g.now.Add(graphWindow)
	}
	if g.now.Before(g.until) {
		return
	}
	g.until = g.now.Add(graphWindow)
	for _, r := range g.order {
		r.account(g.now)
	}
	for _, r := range g.order {
		r.products = grown(r.products, len(g.order))
		for i, other := range g.order {
			r.products[i] = r.products[i]*graphDecay + r.busy*other.busy
		}
	}
	for _, c := range g.calls {
		g.learn(c)
	}
	for _, r := range g.order {
		r.total = r.total*graphDecay + r.busy
		r.started *= graphDecay
		for call := range r.traced {
			r.traced[call] *= graphDecay
		}
		r.busy = 0
	}
	for _, r := range g.order {
		r.linked = g.links(r)
	}
}

// links lists the kinds of calls that r makes.
func (g *CallGraph) links(r *runKind) []string {
	var linked []string
	if g.traced {
		for name, made := range r.traced {
			if made >= leastCalls*r.started {
				linked = append(linked, name)
			}
		}
		return linked
	}
	for name, c := range g.calls {
		if g.perRun(r, c) > 0 {
			linked = append(linked, name)
		}
	}
	return linked
}

// learn folds the window into one kind of call and fits its rates.
func (g *CallGraph) learn(c *callKind) {
	c.products = grown(c.products, len(g.order))
	c.rates = grown(c.rates, len(g.order))
	for i, r := range g.order {
		c.products[i] = c.products[i]*graphDecay + c.made*r.busy
	}
	c.total = c.total*graphDecay + c.made
	c.made = 0
	for range graphSweeps {
		for i, r := range g.order {
			if r.products[i] <= 0 {
				c.rates[i] = 0
				continue
			}
			rest := c.products[i]
			for j, rate := range c.rates {
				if j != i {
					rest -= r.products[j] * rate
				}
			}
			c.rates[i] = max(rest/r.products[i], 0)
		}
	}
}

func grown(list []float64, n int) []float64 {
	for len(list) < n {
		list = append(list, 0)
	}
	return list
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
