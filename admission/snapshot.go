package admission

import (
	"time"

	"pollengauge.dev/call"
)

// Snapshot is the state of a gate at one moment, for display to operators.
type Snapshot struct {
	Slots    int
	Limit    int
	InFlight int
	Blocked  int
	Queued   int
	// OldestWait is how long the longest-waiting call has been queued.
	OldestWait time.Duration
	AdmitLevel call.Level
	Draining   bool
	// Load is in thousandths of the limit; see Gate.Load.
	Load int
	// Totals since the gate was created.
	Admitted uint64
	OK       uint64
	Failed   uint64
	Shed     uint64
	Ignored  uint64
	Refused  map[call.Reason]uint64
	// Baselines holds the baseline self time of each profile, learned without
	// overload.
	Baselines map[string]time.Duration
}

// Snapshot returns the state of the gate. It holds the gate's lock for a short
// time.
func (g *Gate) Snapshot() Snapshot {
	now := g.now()
	g.tickIfDue(now)
	s := Snapshot{
		Load:      g.currentLoad(),
		Draining:  g.draining.Load(),
		Refused:   make(map[call.Reason]uint64, len(reasons)),
		Baselines: make(map[string]time.Duration),
	}
	for i := range g.shards {
		s.add(&g.shards[i])
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	active, inflight := g.counts()
	s.Slots = int(g.slots.Load())
	s.Limit = int(g.limit.Load())
	s.InFlight = inflight
	s.Blocked = max(inflight-active, 0)
	s.Queued = g.queue.size
	s.AdmitLevel = g.levelController.level
	if since, ok := g.queue.oldest(); ok {
		s.OldestWait = now - since
	}
	for name, p := range g.profiles.all() {
		s.Baselines[name] = time.Duration(p.baseline)
	}
	return s
}

func (s *Snapshot) add(shard *statShard) {
	s.Admitted += shard.admitted.Load()
	s.OK += shard.ok.Load()
	s.Failed += shard.failed.Load()
	s.Shed += shard.shed.Load()
	s.Ignored += shard.ignored.Load()
	for i, reason := range reasons {
		s.Refused[reason] += shard.refused[i].Load()
	}
}
