package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults for BudgetConfig.
const (
	DefaultRatio  = 0.1
	DefaultWindow = 10 * time.Second
	DefaultBurst  = 3
)

const (
	budgetShards = 8
	// budgetSlices is the number of slices that a window is divided into. One
	// more slot holds the slice that is being filled.
	budgetSlices = 10
	budgetSlots  = budgetSlices + 1
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries allowed for each first attempt. A higher
	// ratio completes more requests when a few targets fail, and adds that much
	// load when all targets fail: 0.1 means at most 10 % more. Default 0.1.
	Ratio float64
	// Window is the time over which attempts are counted. A short window
	// follows changes in the traffic; a long one lets a quiet node save up
	// retries. Default 10 s.
	Window time.Duration
	// Burst is the number of retries allowed in a window independently of the
	// traffic, so that a node with one call a minute may retry at all. Over a
	// fleet of n nodes it adds up to n*Burst. Default 3; a negative value means
	// none.
	Burst int
	// Start is the time at which the node started. Times are measured from it,
	// by the monotonic clock where the values have one, so that a step of the
	// wall clock has no effect. Zero means the Unix epoch.
	Start time.Time
}

// Validate returns a *ConfigError for the first setting out of range.
func (c BudgetConfig) Validate() error {
	if c.Ratio < 0 || c.Ratio > 1 {
		return &ConfigError{Field: "Ratio", Want: "0 to 1"}
	}
	if c.Window != 0 && c.Window < budgetSlices*time.Millisecond {
		return &ConfigError{Field: "Window", Want: "at least 10ms"}
	}
	return nil
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Ratio <= 0 || c.Ratio > 1 {
		c.Ratio = DefaultRatio
	}
	if c.Window < budgetSlices*time.Millisecond {
		c.Window = DefaultWindow
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
	c.Burst = max(c.Burst, 0)
	if c.Start.IsZero() {
		c.Start = time.Unix(0, 0)
	}
	return c
}

// Budget bounds the retries of one node. It allows a retry only if the retries
// of the window that ends now, including this one, are at most Ratio times the
// first attempts in that window, plus Burst. The window slides by a tenth of
// Window at a time and is up to a tenth longer than Window.
//
// Credit bounds the retries of one request. That alone is not enough: when
// every request of a surge fails, each with a credit of 2, the load would
// triple at the moment when it can't be served. Budget keeps the total load
// near the number of first attempts.
//
// First attempts, which are many, are counted in shards drawn at random.
// Retries, which are few, take one lock, so the bound is exact.
type Budget struct {
	config      BudgetConfig
	sliceLength time.Duration
	shards      [budgetShards]budgetShard

	mu      sync.Mutex
	retries [budgetSlots]sliceCount
}

type sliceCount struct {
	epoch int64
	count int64
}

// budgetShard is padded to two cache lines, so that shards used by different
// cores don't share one.
type budgetShard struct {
	mu     sync.Mutex
	firsts [budgetSlots]sliceCount
	_      [64]byte
}

// NewBudget returns a Budget. Settings out of range get their default; Validate
// reports them.
func NewBudget(config BudgetConfig) *Budget {
	config = config.withDefaults()
	return &Budget{config: config, sliceLength: config.Window / budgetSlices}
}

func (b *Budget) epoch(now time.Time) int64 {
	return int64(now.Sub(b.config.Start) / b.sliceLength)
}

// OnFirst counts a first attempt.
func (b *Budget) OnFirst(now time.Time) {
	epoch := b.epoch(now)
	shard := &b.shards[rand.Uint32()%budgetShards]
	shard.mu.Lock()
	increment(shard.firsts[:], epoch)
	shard.mu.Unlock()
}

// Allow reports whether a retry may be made now, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	epoch := b.epoch(now)
	firsts := b.sumFirsts(epoch)
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(sumWindow(b.retries[:], epoch)+1) > b.maxRetries(firsts) {
		return false
	}
	increment(b.retries[:], epoch)
	return true
}

// Left returns how many retries may be made now.
func (b *Budget) Left(now time.Time) int {
	state := b.State(now)
	return max(int(b.maxRetries(state.Firsts))-int(state.Retries), 0)
}

// maxRetries returns the maximum number of retries in a window with the given
// number of first attempts.
func (b *Budget) maxRetries(firsts int64) float64 {
	return b.config.Ratio*float64(firsts) + float64(b.config.Burst)
}

// BudgetState holds the counts of a Budget's current window.
type BudgetState struct {
	// Firsts is the number of first attempts, Retries the number of allowed
	// retries.
	Firsts  int64
	Retries int64
}

// State returns the counts of the current window.
func (b *Budget) State(now time.Time) BudgetState {
	epoch := b.epoch(now)
	firsts := b.sumFirsts(epoch)
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetState{Firsts: firsts, Retries: sumWindow(b.retries[:], epoch)}
}

func (b *Budget) sumFirsts(epoch int64) int64 {
	var firsts int64
	for i := range b.shards {
		shard := &b.shards[i]
		shard.mu.Lock()
		firsts += sumWindow(shard.firsts[:], epoch)
		shard.mu.Unlock()
	}
	return firsts
}

// increment increments the slot of epoch. If the slot already holds a later
// epoch, because two callers read the clock in one order and took the lock in
// the other, the event is counted in that later epoch.
func increment(slots []sliceCount, epoch int64) {
	slot := &slots[slotIndex(epoch, len(slots))]
	if slot.epoch < epoch {
		*slot = sliceCount{epoch: epoch}
	}
	slot.count++
}

// sumWindow returns the total of the slots that lie in the window ending with
// epoch.
func sumWindow(slots []sliceCount, epoch int64) int64 {
	var total int64
	for i := range slots {
		if slots[i].epoch > epoch-int64(len(slots)) {
			total += slots[i].count
		}
	}
	return total
}

func slotIndex(epoch int64, slots int) int64 {
	n := int64(slots)
	return (epoch%n + n) % n
}
