package retry

import (
	"sync"
	"time"
)

// Defaults of a BucketConfig.
const (
	DefaultCarry = time.Second
	// carrySlices is how many parts the carry slides by.
	carrySlices = 10
	carrySlots  = carrySlices + 1
)

// BucketConfig sets a Bucket.
type BucketConfig struct {
	// Ratio is the retries that each first attempt earns, as in BudgetConfig.
	Ratio float64
	// Carry is how long what was earned can be spent. Long lets a fault that has
	// just begun have more retries, and a window of any length Carry more than
	// its share. Default 1 s.
	Carry time.Duration
	// Start is as in BudgetConfig.
	Start time.Time
}

// Validate returns a *ConfigError for the first setting out of range.
func (c BucketConfig) Validate() error {
	if c.Ratio < 0 || c.Ratio > 1 {
		return &ConfigError{Field: "Ratio", Want: "0 to 1"}
	}
	if c.Carry != 0 && c.Carry < carrySlices*time.Millisecond {
		return &ConfigError{Field: "Carry", Want: "at least 10ms"}
	}
	return nil
}

func (c BucketConfig) withDefaults() BucketConfig {
	if c.Ratio < 0 || c.Ratio > 1 {
		c.Ratio = DefaultRatio
	}
	if c.Carry < carrySlices*time.Millisecond {
		c.Carry = DefaultCarry
	}
	if c.Start.IsZero() {
		c.Start = time.Unix(0, 0)
	}
	return c
}

// Bucket bounds the retries of one node on one service in every window of time: in
// any span there are at most Ratio times the first attempts of that span and of
// Carry (up to a tenth longer) before it, and one. Bounds of this kind add up: over
// all nodes of a fleet the same holds for the sums, however the load is split, and
// with one retry for each node.
//
// The failure: a bound on the retries of the last ten seconds lets a node spend at
// once what ten seconds have earned. A deep service begins to refuse half of its
// calls, the requests that fail make no further calls, and ten seconds later its
// retries were 0.22 of its first calls, where 0.18 were allowed each node.
//
// One whole retry is kept however long ago it was earned, so that a node with a
// call now and then has one too.
type Bucket struct {
	config BucketConfig
	slice  time.Duration

	mu     sync.Mutex
	tokens float64
	recent [carrySlots]sliceCount
}

// NewBucket returns an empty Bucket. Settings out of range get their default;
// Validate tells of them.
func NewBucket(config BucketConfig) *Bucket {
	config = config.withDefaults()
	return &Bucket{config: config, slice: config.Carry / carrySlices}
}

// OnFirst counts a first attempt.
func (b *Bucket) OnFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	add(b.recent[:], b.epoch(now))
	b.tokens += b.config.Ratio
	b.expire(now)
}

// Allow reports whether a retry may be made now, and pays for it if so.
func (b *Bucket) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many retries may be made now.
func (b *Bucket) Left(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	return int(b.tokens + roundingSlack)
}

// roundingSlack makes up for sums of a ratio that has no exact binary form: ten
// times a tenth is a whole retry.
const roundingSlack = 1e-9

// expire takes away what was earned too long ago. The lock is held.
func (b *Bucket) expire(now time.Time) {
	kept := b.config.Ratio * float64(sum(b.recent[:], b.epoch(now)))
	b.tokens = min(b.tokens, max(kept, 1))
}

func (b *Bucket) epoch(now time.Time) int64 {
	return int64(now.Sub(b.config.Start) / b.slice)
}
