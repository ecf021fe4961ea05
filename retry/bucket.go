package retry

import (
	"sync"
	"time"
)

// Defaults for BucketConfig.
const (
	DefaultCarry = time.Second
	// carrySlices is the number of slices that Carry is divided into. Earned
	// retries expire one slice at a time.
	carrySlices = 10
	carrySlots  = carrySlices + 1
)

// BucketConfig configures a Bucket.
type BucketConfig struct {
	// Ratio is the number of retries that each first attempt earns, as in
	// BudgetConfig.
	Ratio float64
	// Carry is how long an earned retry can be spent. A longer Carry allows
	// more retries at the start of a fault, and lets a time window of any
	// length exceed its share by the retries earned during Carry. Default 1 s.
	Carry time.Duration
	// Start is the time at which the node started, as in BudgetConfig.
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

// Bucket is a token bucket that bounds the retries of one node to one service
// in every time window. A window of any length has at most one retry more than
// Ratio times the first attempts made in that window and during Carry (up to a
// tenth longer) before it. These bounds add up: the same holds for the sums
// over all nodes of a fleet, however the load is split, with one extra retry
// for each node.
//
// A bound on the retries of the last ten seconds is not enough, because a node
// can spend at once the retries earned in ten seconds. When a service far
// downstream began to refuse half of its calls, the requests that failed made
// no further calls to it, and ten seconds later its retries were 0.22 of its
// first calls although each node was limited to 0.18.
//
// One whole retry never expires, so that a node which calls only rarely can
// retry too.
type Bucket struct {
	config      BucketConfig
	sliceLength time.Duration

	mu           sync.Mutex
	tokens       float64
	recentFirsts [carrySlots]sliceCount
}

// NewBucket returns an empty Bucket. Settings out of range get their default;
// Validate reports them.
func NewBucket(config BucketConfig) *Bucket {
	config = config.withDefaults()
	return &Bucket{config: config, sliceLength: config.Carry / carrySlices}
}

// OnFirst counts a first attempt.
func (b *Bucket) OnFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	increment(b.recentFirsts[:], b.epoch(now))
	b.tokens += b.config.Ratio
	b.expire(now)
}

// Allow reports whether a retry may be made now, and if so deducts it from the
// bucket.
func (b *Bucket) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if b.tokens < 1-roundingTolerance {
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
	return int(b.tokens + roundingTolerance)
}

// roundingTolerance compensates for rounding errors in sums of a ratio that has
// no exact binary form: ten times 0.1 must be one whole retry.
const roundingTolerance = 1e-9

// expire removes the retries that were earned more than Carry ago. The caller
// holds b.mu.
func (b *Bucket) expire(now time.Time) {
	unexpired := b.config.Ratio * float64(sumWindow(b.recentFirsts[:], b.epoch(now)))
	b.tokens = min(b.tokens, max(unexpired, 1))
}

func (b *Bucket) epoch(now time.Time) int64 {
	return int64(now.Sub(b.config.Start) / b.sliceLength)
}
