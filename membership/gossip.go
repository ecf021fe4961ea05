package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxInFlight bounds the exchanges that one member has under way.
const maxInFlight = 64

// Gossip is one process's part in the membership. Make it with New.
type Gossip struct {
	cfg       Config
	transport Transport

	mu     sync.Mutex
	table  *table
	rumors *rumors
	// doubts are members to be probed out of turn, because someone
	// contradicts what is believed here of them, with the claim.
	doubts map[memberID]Entry
	// wanted are the descriptions asked for, and until when the answer is
	// awaited.
	wanted map[memberID]time.Time
	// peers are the neighbours; turn counts the probes of them.
	peers []memberID
	turn  int
	// tellTurn is the next neighbour to tell rumors to.
	tellTurn int
	// telling counts the exchanges with a peer that tell it rumors.
	telling map[memberID]int
	// pauses counts the pauses of this process that were noticed. A probe
	// that spans one proves nothing.
	pauses int
	pull   pullState
	packer packer
	// ahead is a member that was seen to know far more, and is asked next.
	ahead memberID
	due   schedule
	subs  []func()

	view     atomic.Pointer[view]
	version  atomic.Uint64
	stats    stats
	inFlight atomic.Int32
	// relaying counts the probes on behalf of others.
	relaying atomic.Int32

	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	started atomic.Bool
	// joining is set while this process learns the whole table.
	joining atomic.Bool
	closing atomic.Bool
}

// New checks the configuration. The Gossip does nothing until Start.
func New(cfg Config) (*Gossip, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &Gossip{cfg: cfg, rumors: newRumors(), doubts: map[memberID]Entry{}, wanted: map[memberID]time.Time{}, telling: map[memberID]int{}, wake: make(chan struct{}, 1)}
	g.table = newTable(&g.cfg)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.transport = cfg.Transport
	if g.transport == nil {
		g.transport = newRPCTransport(&g.cfg, &g.stats)
	}
	g.publish()
	return g, nil
}

// Start begins to serve and to gossip. It returns at once; ctx ends both, as
// Close does. A second Start is a *ClosedError.
func (g *Gossip) Start(ctx context.Context) error {
	if g.closing.Load() || g.started.Swap(true) {
		return &ClosedError{}
	}
	context.AfterFunc(ctx, g.cancel)
	if g.cfg.Listener != nil {
		s := newServer(g)
		context.AfterFunc(g.ctx, s.close)
		g.running.Go(s.serve)
	}
	g.running.Go(g.loop)
	return nil
}

// Close stops everything and waits for it. It tells nobody; see Leave.
func (g *Gossip) Close() error {
	g.mu.Lock()
	again := g.closing.Swap(true)
	g.mu.Unlock()
	if again {
		return nil
	}
	g.cancel()
	err := g.transport.Close()
	g.running.Wait()
	return err
}

// Members returns the members that are Alive or Suspect, this process
// included, ordered by ID. The slice and what it refers to must not be changed.
func (g *Gossip) Members() []Member { return g.view.Load().members() }

// Lookup returns what is known of an incarnation, also of one that is gone.
func (g *Gossip) Lookup(id string) (Member, State, bool) {
	all := g.view.Load().all
	i, ok := slices.BinarySearchFunc(all, id, func(m *Member, id string) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, Alive, false
	}
	return *all[i], all[i].State, true
}

// Self returns the own entry.
func (g *Gossip) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.self.m.clone()
}

// Version rises whenever Members or Lookup would answer differently.
func (g *Gossip) Version() uint64 { return g.version.Load() }

// Subscribe calls fn after each change, without locks held. fn must not
// block, and may be called concurrently.
func (g *Gossip) Subscribe(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subs = append(slices.Clone(g.subs), fn)
}

// Update changes the own entry and tells it at once. Only Slots, Draining,
// WorkTimes, Held and Inherits can be changed; an invalid change is a *ConfigError and has no effect.
func (g *Gossip) Update(change func(*Member)) error {
	g.mu.Lock()
	next := g.table.self.m.clone()
	change(&next)
	if err := checkMutable(&next); err != nil {
		g.mu.Unlock()
		return err
	}
	g.table.announce(func(m *Member) {
		m.Slots, m.Draining = next.Slots, next.Draining
		m.Inherits, m.WorkTimes = slices.Clone(next.Inherits), slices.Clone(next.WorkTimes)
		m.Held = slices.Clone(next.Held)
	})
	g.rumors.add(g.table.self.id, false)
	g.unlockAndPublish()
	g.wakeLoop()
	return nil
}

// Broadcast tells peers of a new configuration version. Each that lacks it
// pulls the payload and does the same.
func (g *Gossip) Broadcast() {
	g.mu.Lock()
	g.rumors.addVersion()
	g.mu.Unlock()
	g.wakeLoop()
}

// Leave tells peers that this process goes, and waits until at least one has
// heard it. Call Close afterwards.
func (g *Gossip) Leave(ctx context.Context) error {
	g.mu.Lock()
	g.table.leave(g.cfg.Clock())
	entry := fullEntry(g.table.self.id, &g.table.self.m)
	peers := g.table.living()
	targets := g.addrs(sample(g.cfg.Rand, peers, 2*g.cfg.Fanout))
	g.unlockAndPublish()
	if len(targets) == 0 {
		return nil
	}
	heard := make(chan bool, len(targets))
	for _, target := range targets {
		go func() {
			_, err := g.exchange(ctx, target, &Message{Entries: []Entry{entry}})
			heard <- err == nil
		}()
	}
	told := false
	for range targets {
		told = <-heard || told
	}
	if !told {
		return &UnheardError{Asked: len(targets)}
	}
	return nil
}

// target is a peer to exchange with.
type target struct {
	id    memberID
	addr  string
	seq   uint64
	state State
}

// addrs looks up where members are. The lock is held.
func (g *Gossip) addrs(ids []memberID) []target {
	var out []target
	for _, id := range ids {
		if row := g.table.rows[id]; row != nil {
			out = append(out, target{id: id, addr: row.m.GossipAddr, seq: row.m.Seq, state: row.m.State})
		}
	}
	return out
}

// wakeLoop makes the loop look for work at once.
func (g *Gossip) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
