package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxInFlight bounds the concurrent exchanges that one member starts.
const maxInFlight = 64

// Gossip runs the membership protocol for one process. New creates it.
type Gossip struct {
	cfg       Config
	transport Transport

	mu     sync.Mutex
	table  *table
	rumors *rumors
	// doubts holds the claims that contradict the table, by member. These members are
	// probed out of turn.
	doubts map[memberID]Entry
	// wanted holds, by member, the time until which a requested description is awaited.
	wanted map[memberID]time.Time
	// peers are the neighbours; probeTurn counts the probes sent to them.
	peers     []memberID
	probeTurn int
	// zoneSize is the number of members in this process's availability zone, itself
	// included.
	zoneSize int
	// rumorTurn selects the next neighbour to send rumors to.
	rumorTurn int
	// sending counts, by peer, the running exchanges that send it rumors.
	sending map[memberID]int
	// pauses counts the detected pauses of this process. A probe during which a pause
	// occurred proves nothing about its target.
	pauses int
	pull   pullState
	packer packer
	// largerPeer is a member that knows far more members than this process; the next
	// sync goes to it.
	largerPeer memberID
	// learned counts the members that became known since the last call of restartSyncs.
	learned int
	// largestPeer is the largest number of members that a peer reported to know.
	largestPeer int
	due         schedule
	subs        []func()

	view     atomic.Pointer[view]
	version  atomic.Uint64
	stats    stats
	inFlight atomic.Int32
	// relayedProbes counts the running probes on behalf of other members.
	relayedProbes atomic.Int32

	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	started atomic.Bool
	// joining is set while this process fetches the complete table.
	joining atomic.Bool
	closing atomic.Bool
}

// New validates the configuration and returns a Gossip, which is idle until Start.
func New(cfg Config) (*Gossip, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &Gossip{cfg: cfg, rumors: newRumors(), doubts: map[memberID]Entry{}, wanted: map[memberID]time.Time{}, sending: map[memberID]int{}, wake: make(chan struct{}, 1)}
	g.table = newTable(&g.cfg)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.transport = cfg.Transport
	if g.transport == nil {
		g.transport = newRPCTransport(&g.cfg, &g.stats)
	}
	g.publish()
	return g, nil
}

// Start starts serving and gossiping, and returns immediately. Both stop when ctx ends or
// Close is called. A second Start returns a *ClosedError.
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

// Close stops all goroutines and waits for them. It does not announce the departure to
// peers; see Leave.
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

// Members returns the members that are Alive or Suspect, including this process, ordered
// by ID. The slice and the data it refers to must not be changed.
func (g *Gossip) Members() []Member { return g.view.Load().members() }

// Lookup returns the known entry and state of an incarnation, including one that is gone.
func (g *Gossip) Lookup(id string) (Member, State, bool) {
	all := g.view.Load().all
	i, ok := slices.BinarySearchFunc(all, id, func(m *Member, id string) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, Alive, false
	}
	return *all[i], all[i].State, true
}

// Self returns this process's own entry.
func (g *Gossip) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.self.m.clone()
}

// ViewVersion returns a counter that rises whenever the results of Members or Lookup
// change.
func (g *Gossip) ViewVersion() uint64 { return g.version.Load() }

// Subscribe registers fn to be called after each change, without locks held. fn must not
// block, and may be called concurrently.
func (g *Gossip) Subscribe(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subs = append(slices.Clone(g.subs), fn)
}

// Update changes this process's own entry and announces it immediately. Only Slots,
// Draining, WorkTimes, Held and Inherits can be changed; an invalid change returns a
// *ConfigError and has no effect.
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

// Broadcast announces a new configuration version to peers. Each peer that lacks it pulls
// the payload and announces it in turn.
func (g *Gossip) Broadcast() {
	g.mu.Lock()
	g.rumors.addVersion()
	g.mu.Unlock()
	g.wakeLoop()
}

// Leave announces to peers that this process leaves, and waits for the peers' replies. It
// returns a *LeaveUnconfirmedError if none of them confirmed. Call Close afterwards.
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
	confirmations := make(chan bool, len(targets))
	for _, target := range targets {
		go func() {
			_, err := g.exchange(ctx, target, &Message{Entries: []Entry{entry}})
			confirmations <- err == nil
		}()
	}
	confirmed := false
	for range targets {
		confirmed = <-confirmations || confirmed
	}
	if !confirmed {
		return &LeaveUnconfirmedError{Peers: len(targets)}
	}
	return nil
}

// target is a peer to exchange messages with.
type target struct {
	id    memberID
	addr  string
	seq   uint64
	state State
}

// addrs returns the targets of the given members. The lock is held.
func (g *Gossip) addrs(ids []memberID) []target {
	var out []target
	for _, id := range ids {
		if row := g.table.rows[id]; row != nil {
			out = append(out, target{id: id, addr: row.m.GossipAddr, seq: row.m.Seq, state: row.m.State})
		}
	}
	return out
}

// wakeLoop makes the loop check for due work immediately.
func (g *Gossip) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
