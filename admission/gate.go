package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

// maxSlots bounds Config.Slots so that the counts fit into their bit fields of
// Gate.word.
const maxSlots = 1 << 20

// Request describes a call to Acquire.
type Request struct {
	Level   call.Level
	Profile string
	// Inherited is set if a root has already admitted the request. The
	// admission level may have been raised since then.
	Inherited bool
	// Progress is the number of calls that have already run for the request.
	// The higher it is, the more work a refusal would waste.
	Progress int
	// RefusedAtRoot is the share of similar requests that the root refused at the
	// time when it admitted this one, from 0 to below 1.
	RefusedAtRoot float64
	// MaxWait is the longest that the call may be queued, within
	// Config.MaxQueueWait. Zero means Config.MaxQueueWait; a negative value
	// means that the call is not queued.
	MaxWait time.Duration
	// Deadline is when the caller stops waiting. Zero means no deadline. A call is
	// queued no longer than its work fits before its deadline.
	Deadline time.Time
	// Upstreams is the number of upstreams that the call may be sent to, this one
	// included. Each of them may queue it, so this gate queues it for an equal part
	// of the time that is left beside its work. Zero means 1.
	Upstreams int
	// IgnoreMaxQueueWait lets the call be queued for all of MaxWait, even beyond
	// Config.MaxQueueWait. It is meant for work whose loss is worse than a
	// longer queue.
	IgnoreMaxQueueWait bool
	// Preference is the preference of the call's profile, at most 1; see
	// Config.Preference. Zero means Config.Preference.
	Preference float64
}

// Gate admits calls to one upstream. Use NewGate to create one.
type Gate struct {
	config Config
	epoch  time.Time
	visits sync.Pool
	nextID atomic.Uint32

	_ [cacheLine]byte
	// word packs the number of active visits, the number of visits in flight,
	// and queuedFlag; see capacity.go.
	word atomic.Uint64
	_    [cacheLine]byte

	// The following fields are read by every call and rarely written.
	limit     atomic.Int32
	slots     atomic.Int32
	level     atomic.Uint32
	inherited atomic.Uint32
	draining  atomic.Bool
	nextTick  atomic.Int64
	load      atomic.Int32
	// loadUntil is the time at which the cached load expires.
	loadUntil atomic.Int64
	// rateLimited is set while rate limits the dispatches; rateLoad is its load in
	// thousandths.
	rateLimited atomic.Bool
	rateLoad    atomic.Int32
	// pressurePerMille is the pressure in thousandths.
	pressurePerMille atomic.Int32
	profiles         profileMap[profileStats]
	_                [cacheLine]byte

	shards [shardCount]statShard

	mu              sync.Mutex
	queue           queue
	waiters         []*waiter
	window          windowState
	pressureState   pressureState
	limiter         *limiter
	levelController *levelController
	rate            rateLimit
	// rateTimer dispatches queued calls when the rate allows it; nil until it is needed.
	rateTimer *time.Timer
}

// NewGate returns a Gate for the configuration, or a *ConfigError if the
// configuration is invalid.
func NewGate(config Config) (*Gate, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &Gate{config: config, epoch: config.Clock(), limiter: newLimiter(config), levelController: newLevelController(config)}
	g.queue.limit = config.QueueLimit
	g.visits.New = func() any { return &visit{gate: g, shard: g.nextID.Add(1) % shardCount} }
	g.slots.Store(int32(config.Slots))
	g.limit.Store(int32(g.limiter.effective(0)))
	g.nextTick.Store(int64(config.Window))
	return g, nil
}

// now returns the time since the gate was created. It uses the monotonic clock
// reading, so that steps of the wall clock don't distort service times.
func (g *Gate) now() time.Duration { return g.config.Clock().Sub(g.epoch) }

// Acquire waits until the call may run and returns its Ticket, or it returns a
// *RefusedError. A refused call has not been dispatched: a queued call leaves
// the queue in one atomic step, either by dispatch or by refusal, never by
// both.
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
		return Ticket{}, g.refuse(shard, reason, r, 0)
	}
	if !g.rateLimited.Load() && g.takeCapacity(shard) {
		shard.admitted.Add(1)
		return v.begin(profile, now, 0), nil
	}
	return g.acquireQueued(ctx, r, v, profile, now)
}

// precheck returns the reason to refuse the call without trying to queue it, or
// ReasonNone.
func (g *Gate) precheck(shard *statShard, p *profileStats, r Request, now time.Duration) call.Reason {
	if g.draining.Load() {
		return call.ReasonDraining
	}
	shard.arrivals[r.Level].Add(1)
	p.demand.Add(demandOf(r.RefusedAtRoot))
	if uint32(r.Level) < g.admitLevel(r) {
		return call.ReasonLevel
	}
	if !r.Deadline.IsZero() && now+time.Duration(p.service.Load()) > r.Deadline.Sub(g.epoch) {
		return call.ReasonDeadline
	}
	return call.ReasonNone
}

// admitLevel returns the admission level that applies to the call.
//
// A call whose request has made progress is never refused by level. Otherwise a
// request that has already made several calls could lose its last call when the
// level rises in between: all its work would be wasted, and the fate of its
// keyed calls would be unknown. Such calls go to the queue instead, which
// serves them before all other calls of their priority.
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

// release records the result of a visit and returns its capacity to the gate.
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
		g.lowerCounts(oneInFlight)
	} else {
		g.returnCapacity(shard)
	}
	g.tickIfDue(now)
}

// refuse counts a refusal and returns its error. expectedWait is the time in which the
// calls ahead in the queue are dispatched.
func (g *Gate) refuse(shard *statShard, reason call.Reason, r Request, expectedWait time.Duration) *RefusedError {
	shard.refused[reasonIndex(reason)].Add(1)
	admit := call.Level(g.level.Load())
	return &RefusedError{Reason: reason, Level: admit, RetryAfter: g.retryAfter(reason, r, admit, expectedWait)}
}

// Parameters of RetryAfter.
const (
	// levelRetryRecovery and levelRetryGoodput are the delays, at Preference 0
	// and 1, of calls just below the admission level. Each further priority
	// below it adds the same delay again.
	levelRetryRecovery = 250 * time.Millisecond
	levelRetryGoodput  = time.Second
	// maxRetrySteps bounds the delay, as a multiple of the above.
	maxRetrySteps = 8
)

// retryAfter returns when a refused call may be admitted. A call that was refused
// because of the queue has room when the calls ahead of it have been dispatched, and
// not before the gate's next measurement.
//
// Otherwise, the further a call's level is below the admission level, the longer
// it waits. The delays are short if the call prefers a short recovery time,
// because a client that was refused at the end of a surge gets no response until
// its retry.
func (g *Gate) retryAfter(reason call.Reason, r Request, admit call.Level, expectedWait time.Duration) time.Duration {
	switch reason {
	case call.ReasonDraining, call.ReasonCancelled:
		return 0
	case call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonUpstreamLimit, call.ReasonDeadline:
		return max(expectedWait, g.config.Window)
	}
	step := levelRetryRecovery + time.Duration(r.Preference*float64(levelRetryGoodput-levelRetryRecovery))
	prioritiesBelow := float64(max(int(admit)-int(r.Level), 0)) / float64(call.MaxTiebreak+1)
	return time.Duration(float64(step) * min(1+prioritiesBelow, maxRetrySteps))
}

// maxUsedSlotShare is the share of the slots in use up to which HasFreeSlots reports
// free capacity. Upstreams slow down when they are nearly full, and some refuse
// calls shortly before that.
const maxUsedSlotShare = 0.75

// HasFreeSlots reports whether the upstream has free slots, counting the visits
// admitted by this gate. The calling visit may be one of them.
func (g *Gate) HasFreeSlots() bool {
	_, inflight := g.counts()
	return float64(inflight) <= maxUsedSlotShare*float64(g.slots.Load())
}

// profile returns the record of a profile and creates it if it doesn't exist.
func (g *Gate) profile(name string) *profileStats {
	if p := g.profiles.find(name); p != nil {
		return p
	}
	return g.profiles.add(name, func(name string) *profileStats { return &profileStats{name: name} })
}
