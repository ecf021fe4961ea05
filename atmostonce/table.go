package atmostonce

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the fates of the keys that this node owns.
type Table struct {
	cfg    Config
	clock  *steadyClock
	seed   maphash.Seed
	shards [shardCount]*shard

	count    atomic.Int64 // entries, including those reserved for staged chunks
	inFlight atomic.Int64
	idle     chan struct{}

	// draining serializes the methods that drain this node, and guards
	// handOver. It is held while messages to the successor are in flight.
	draining sync.Mutex
	handOver handOver

	// control serializes changes of the view and guards incoming. It is never
	// held while a message is in flight.
	control  sync.Mutex
	current  atomic.Pointer[view]
	incoming map[Incarnation]*incoming

	// work holds the store writes that the next calls of Sync will make.
	work syncWork
}

// NewTable creates an empty table. It returns a *ConfigError if a field of cfg
// is out of range.
func NewTable(cfg Config) (*Table, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	t := &Table{
		cfg:      cfg,
		clock:    newSteadyClock(cfg.Clock),
		seed:     maphash.MakeSeed(),
		idle:     make(chan struct{}, 1),
		incoming: make(map[Incarnation]*incoming),
	}
	first := &view{incarnation: cfg.Incarnation, owned: map[Incarnation]ownerClock{cfg.Incarnation: {}}}
	t.current.Store(first)
	for i := range t.shards {
		t.shards[i] = newShard(first, cfg.MaxTotalBytes/shardCount)
	}
	return t, nil
}

// Now returns the time of the table's steady clock. Mint keys for this table
// with this time.
func (t *Table) Now() time.Time { return t.clock.now() }

// Mint creates a key that this node owns.
func (t *Table) Mint() Key {
	return Mint(t.cfg.Service, t.Incarnation(), t.Now(), t.cfg.Random)
}

// Incarnation returns the incarnation under which this node currently mints
// keys.
func (t *Table) Incarnation() Incarnation { return t.current.Load().incarnation }

func (t *Table) shard(key string) *shard {
	return t.shards[maphash.String(t.seed, key)%shardCount]
}

// reserve reserves capacity for n entries. It reports false if the table is
// full, because evicting a fate inside its window would let the key run again.
func (t *Table) reserve(n int64) bool {
	if t.count.Add(n) <= int64(t.cfg.MaxEntries) {
		return true
	}
	t.count.Add(-n)
	return false
}

func (t *Table) unreserve(n int64) { t.count.Add(-n) }

// revoke removes an entry whose call was not sent. Presentations that wait
// for it check the table again, and its run can no longer be dispatched. The
// caller holds the shard's lock.
func (t *Table) revoke(s *shard, e *entry) {
	inFlight := e.state.pending()
	s.remove(e)
	t.unreserve(1)
	if inFlight {
		t.endPresentation()
	}
}

// endPresentation decrements the number of presentations in flight and wakes
// WaitIdle when it reaches zero.
func (t *Table) endPresentation() {
	if t.inFlight.Add(-1) == 0 {
		select {
		case t.idle <- struct{}{}:
		default:
		}
	}
}

// Sweep drops expired entries and returns how many it dropped. Call it every
// few seconds; a table that isn't swept becomes full sooner but stays correct.
func (t *Table) Sweep() int {
	now := t.clock.now()
	total := 0
	for _, s := range t.shards {
		dropped, claims := s.expire(now)
		t.unreserve(int64(dropped))
		t.work.addExpired(claims)
		total += dropped
	}
	t.dropExpiredOwners(now)
	return total
}

// Len returns the number of entries, including those reserved for staged
// chunks.
func (t *Table) Len() int { return int(t.count.Load()) }

// InFlight returns the number of operations in flight: presentations that may
// still be dispatched or whose dispatched call hasn't completed, and releases
// of a claim in the store.
func (t *Table) InFlight() int { return int(t.inFlight.Load()) }

// WaitIdle waits until nothing is in flight. Call Freeze first; otherwise new
// presentations may keep the table busy.
func (t *Table) WaitIdle(ctx context.Context) error {
	for t.inFlight.Load() > 0 {
		select {
		case <-t.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
