package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

// maxSlots bounds Config.Slots, so that counts fit their part of Gate.word.
const maxSlots = 1 << 20

// Request is what Acquire has to know of a call.
type Request struct {
	Level   call.Level
	Profile string
	// Inherited tells that a root let the request in, by a level that may have
	// been raised since.
	Inherited bool
	// Progress counts the calls that have already run for the request. The more
	// there are, the more work a refusal would waste.
	Progress int
	// HeldBack is the share of the requests like the call's that were refused where
	// they began when this one was let in, 0 to below 1.
	HeldBack float64
	// MaxWait is how long the call may be queued. Zero means as long as
	// Config.MaxQueueWait, negative not at all.
	MaxWait time.Duration
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Hold lets the call be queued for all of MaxWait, whatever Config says:
	// for work whose loss is worse than a longer queue.
	Hold bool
	// Preference is that of the call's profile, up to 1; see
	// Config.Preference. Zero means Config.Preference.
	Preference float64
}

// Gate admits calls to one upstream. Create one with NewGate.
type Gate struct {
	config Config
	epoch  time.Time
	visits sync.Pool
	nextID atomic.Uint32

	_ [cacheLine]byte
	// word holds the counts of active visits and of visits in flight, and
	// queuedFlag; see room.go.
	word atomic.Uint64
	_    [cacheLine]byte

	// Read by every call, written seldom.
	limit     atomic.Int32
	slots     atomic.Int32
	level     atomic.Uint32
	inherited atomic.Uint32
	draining  atomic.Bool
	nextTick  atomic.Int64
	load      atomic.Int32
	// loadUntil is when load is to be computed anew.
	loadUntil atomic.Int64
	// pressed is the pressure in thousandths.
	pressed  atomic.Int32
	profiles profileMap[profileStats]
	_        [cacheLine]byte

	shards [shardCount]statShard

	mu       sync.Mutex
	queue    queue
	waiters  []*waiter
	window   windowState
	pressing pressingState
	limiter  *limiter
	leveler  *leveler
}

// NewGate returns a gate, or a *ConfigError.
func NewGate(config Config) (*Gate, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &Gate{config: config, epoch: config.Clock(), limiter: newLimiter(config), leveler: newLeveler(config)}
	g.queue.limit = config.QueueLimit
	g.visits.New = func() any { return &visit{gate: g, shard: g.nextID.Add(1) % shardCount} }
	g.slots.Store(int32(config.Slots))
	g.limit.Store(int32(g.limiter.effective(0)))
	g.nextTick.Store(int64(config.Window))
	return g, nil
}

// now is the time since the gate was made. It has a monotonic part, so steps
// of the wall clock do not show as service time.
func (g *Gate) now() time.Duration { return g.config.Clock().Sub(g.epoch) }

// Acquire waits until the call may run, or returns a *RefusedError. A refused
// call was not dispatched: leaving the queue is one step, to dispatch or to
// refusal, never both.
func (g *Gate) Acquire(ctx context.Context, r Request) (Ticket, error) {
	now := g.now()
	g.tickIfDue(now)
	r.Level = min(r.Level, call.MaxLevel)
	if r.Preference == 0 {
		r.Preference = g.config.Preference
	}
	v := g.visits.Get().(*visit)
	shard := &g.shards[v.shard]
	profile := g.profile(r.Profile)
	if reason := g.precheck(shard, profile, r, now); reason != call.ReasonNone {
		g.visits.Put(v)
		return Ticket{}, g.refuse(shard, reason, r)
	}
	if g.enter(shard) {
		shard.admitted.Add(1)
		return v.begin(profile, now, 0), nil
	}
	return g.acquireQueued(ctx, r, v, profile, now)
}

// precheck refuses what needs no queue to be refused.
func (g *Gate) precheck(shard *statShard, p *profileStats, r Request, now time.Duration) call.Reason {
	if g.draining.Load() {
		return call.ReasonDraining
	}
	shard.arrivals[r.Level].Add(1)
	p.demand.Add(demandOf(r.HeldBack))
	if uint32(r.Level) < g.admitLevel(r) {
		return call.ReasonLevel
	}
	if !r.Deadline.IsZero() && now+time.Duration(p.service.Load()) > r.Deadline.Sub(g.epoch) {
		return call.ReasonDeadline
	}
	return call.ReasonNone
}

// admitLevel is the level that a call is judged by.
//
// The failure: a filing has looked up its addressee and done its own work, the
// level rises, and its last call is refused. All that was done is wasted, and
// the filing's fate is unknown. Calls whose request has work done are therefore
// left to the queue, which has room for them before all new ones of their
// priority.
func (g *Gate) admitLevel(r Request) uint32 {
	switch {
	case r.Progress > 0:
		return 0
	case r.Inherited:
		return g.inherited.Load()
	default:
		return g.level.Load()
	}
}

// release gives back the room of a visit.
func (g *Gate) release(v *visit, result Result, service, blocked time.Duration, isBlocked bool, now time.Duration) {
	shard := &g.shards[v.shard]
	self := service
	if g.config.DepthAware {
		self -= blocked
	}
	switch result {
	case OK:
		shard.ok.Add(1)
		v.profile.shards[v.shard].record(self, service)
	case Shed:
		shard.shed.Add(1)
	case Ignore:
		shard.ignored.Add(1)
	default:
		shard.failed.Add(1)
	}
	g.visits.Put(v)
	if isBlocked && g.config.DepthAware {
		g.giveBack(oneInFlight)
	} else {
		g.leave(shard)
	}
	g.tickIfDue(now)
}

// refuse counts a refusal and makes its error.
func (g *Gate) refuse(shard *statShard, reason call.Reason, r Request) *RefusedError {
	shard.refused[reasonIndex(reason)].Add(1)
	admit := call.Level(g.level.Load())
	return &RefusedError{Reason: reason, Level: admit, RetryAfter: retryAfter(reason, r, admit)}
}

// Tuning of RetryAfter.
const (
	// shortRetryAfter is for refusals that say nothing about the level.
	shortRetryAfter = 100 * time.Millisecond
	// levelRetryAfter is for calls just under the admission level, at
	// Preference 0 and 1. Each priority further down adds as much again.
	levelRetryRecovery = 250 * time.Millisecond
	levelRetryGoodput  = time.Second
	// maxRetrySteps bounds the sum.
	maxRetrySteps = 8
)

// retryAfter spreads those who come back: a refused level waits longer the
// further it is below the admission level. The times are short where recovery
// time goes first, since a client that was refused as the surge ended stays
// without an answer for as long.
func retryAfter(reason call.Reason, r Request, admit call.Level) time.Duration {
	switch reason {
	case call.ReasonDraining, call.ReasonCancelled:
		return 0
	case call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonDeadline:
		return shortRetryAfter
	}
	step := levelRetryRecovery + time.Duration(r.Preference*float64(levelRetryGoodput-levelRetryRecovery))
	below := float64(max(int(admit)-int(r.Level), 0)) / float64(call.MaxTiebreak+1)
	return time.Duration(float64(step) * min(1+below, maxRetrySteps))
}

// roomShare of the slots in use leaves room: upstreams become slower when nearly
// full, and some refuse a little before.
const roomShare = 0.75

// HasRoom tells whether the upstream has free slots, by the calls that this gate
// let through. The call that asks may be among them.
func (g *Gate) HasRoom() bool {
	_, inflight := g.counts()
	return float64(inflight) <= roomShare*float64(g.slots.Load())
}

// profile finds the record of a profile, and makes it when new.
func (g *Gate) profile(name string) *profileStats {
	if p := g.profiles.find(name); p != nil {
		return p
	}
	return g.profiles.add(name, func(name string) *profileStats { return &profileStats{name: name} })
}
