package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

// Router chooses targets for the calls of one node.
type Router struct {
	config   Config
	services atomic.Pointer[map[string]*service]
	// mu serializes calls of SetTargets; nothing else locks it.
	mu sync.Mutex
	// initial is true until the first SetTargets. The members that a node finds
	// when it starts are not new to the other nodes and need no slow start.
	initial bool
	// now is the time passed to the latest Pick or Done, in milliseconds.
	now atomic.Int64
	// ignoredLoads counts the load reports that were not used.
	ignoredLoads loadCounts
}

// NewRouter returns a Router without targets. Settings out of range get their
// default; Config.Validate reports them.
func NewRouter(config Config) *Router {
	r := &Router{config: config.withDefaults(), initial: true}
	r.services.Store(&map[string]*service{})
	return r
}

// millis returns the time since the start in milliseconds, at least 1.
func (r *Router) millis(now time.Time) int64 {
	return max(now.Sub(r.config.Start).Milliseconds(), 1)
}

// recordTime returns millis(now) and stores it for methods that have no time
// argument. It writes at most once a millisecond, because processors contend
// for the word.
func (r *Router) recordTime(now time.Time) int64 {
	at := r.millis(now)
	if r.now.Load() != at {
		r.now.Store(at)
	}
	return at
}

// SetTargets replaces the members of all services. Measurements are retained
// for each target, by ID, that is still a member. Targets without ID or service
// are ignored, as are duplicates of an ID and service after the first.
//
// Calls in flight on a target that is removed finish as usual.
func (r *Router) SetTargets(targets []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	grouped := group(targets)
	old := *r.services.Load()
	next := make(map[string]*service, len(grouped))
	for name, list := range grouped {
		s := old[name]
		if s == nil {
			s = &service{}
			s.view.Store(&view{})
		}
		if !s.view.Load().builtFrom(list) {
			r.update(s, list)
		}
		next[name] = s
	}
	for name, s := range old {
		if next[name] == nil {
			s.view.Store(&view{})
		}
	}
	r.services.Store(&next)
	r.initial = false
}

func group(targets []Target) map[string][]Target {
	grouped := make(map[string][]Target)
	type key struct{ service, id string }
	seen := make(map[key]bool, len(targets))
	for _, t := range targets {
		k := key{t.Service, t.ID}
		if t.ID == "" || t.Service == "" || seen[k] {
			continue
		}
		seen[k] = true
		grouped[t.Service] = append(grouped[t.Service], t)
	}
	return grouped
}

// update replaces the view of s. It holds s.mu, so that no ejection is decided
// on the old view.
func (r *Router) update(s *service, targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]*targetStats)
	for _, candidate := range s.view.Load().members {
		known[candidate.target.ID] = candidate.stats
	}
	at := r.now.Load()
	members := make([]*member, 0, len(targets))
	for _, t := range targets {
		m := known[t.ID]
		if m == nil {
			m = r.newStats(s)
		}
		m.recordAnnouncement(t)
		members = append(members, &member{target: t, stats: m})
	}
	v := buildView(members, &r.config)
	if v.ejected(at, &r.config)*2 > len(v.subset) {
		// The targets that were not ejected are gone. Calling an ejected target
		// is better than calling none.
		v.endEjections()
	}
	s.view.Store(v)
}

func (r *Router) newStats(s *service) *targetStats {
	m := &targetStats{service: s}
	if r.initial {
		m.slowStartAt.Store(math.MinInt64 / 2)
	}
	return m
}

// Snapshot returns the state of each member of a service as of the latest Pick
// or Done, for display.
func (r *Router) Snapshot(service string) []TargetState {
	s := (*r.services.Load())[service]
	if s == nil {
		return nil
	}
	v := s.view.Load()
	at := r.now.Load()
	states := make([]TargetState, 0, len(v.members))
	for _, candidate := range v.members {
		states = append(states, r.state(v, candidate, at))
	}
	return states
}

func (r *Router) state(v *view, candidate *member, at int64) TargetState {
	m := candidate.stats
	reported, belief := m.reported.state(at)
	return TargetState{
		Reported: reported,
		Belief:   belief,
		Target:   candidate.target,
		InSubset: v.contains(m),
		InFlight: int(m.inFlight.Load()),
		Latency:  m.averageLatency(),
		Refused:  int(m.refused.load(at, decayMillis)),
		Failed:   int(m.failed.load(at, decayMillis)),
		Load:     int(m.load.load(at, decayMillis)),
		Level:    call.Level(m.level.Load()),
		Share:    int(m.slowStartShare(at, &r.config)),
		Ejected:  time.Duration(m.ejectedFor(at, &r.config)) * time.Millisecond,
		Drained:  candidate.target.Draining || m.drained(at, &r.config),
	}
}

// Services returns the names of all services that have members.
func (r *Router) Services() []string {
	services := *r.services.Load()
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	return names
}

// Candidates returns the number of targets that Pick could still choose from:
// those that are not in exclude and don't drain.
func (r *Router) Candidates(service string, exclude []string, now time.Time) int {
	s := (*r.services.Load())[service]
	if s == nil {
		return 0
	}
	return s.view.Load().usable(exclude, r.millis(now), &r.config)
}

// RefusedShare returns the share of recent attempts that the targets of a service
// in this region refused for overload, in thousandths. It distinguishes one
// overloaded target from a service that is full.
func (r *Router) RefusedShare(service string, now time.Time) int {
	s := (*r.services.Load())[service]
	if s == nil {
		return 0
	}
	v := s.view.Load()
	if len(v.sameRegion) == 0 {
		return 0
	}
	at := r.millis(now)
	var total int64
	for _, candidate := range v.sameRegion {
		total += candidate.stats.refused.load(at, decayMillis)
	}
	return int(total / int64(len(v.sameRegion)))
}
