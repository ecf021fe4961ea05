package retry

import (
	"math"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Defaults for RepeatDetectorConfig.
const (
	DefaultRepeatsWindow  = time.Minute
	DefaultRepeatsEntries = 1 << 16
)

const (
	repeatsShards = 16
	repeatsWays   = 8
	// maxRepeatsEntries limits the table to 256 MiB.
	maxRepeatsEntries = 1 << 24
)

// RepeatDetectorConfig configures RepeatDetector.
type RepeatDetectorConfig struct {
	// Window is how long a request is remembered after it was last seen. It
	// should be longer than the callers' own delays between retries. Default
	// one minute.
	Window time.Duration
	// Entries is the number of requests that are remembered, at 16 bytes each.
	// When more arrive in a window, the oldest are evicted, and their repeats
	// count as first requests; Budget still bounds the retries. Default 65536,
	// which is about a thousand requests a second for a minute.
	Entries int
	// Seed keys the hash, so that a caller can't choose ids that collide in one
	// set. Each node should have a random seed of its own.
	Seed uint64
	// Start is the time at which the node started, as in BudgetConfig.
	Start time.Time
}

// RepeatDetector recognizes requests that callers send again, by idempotency key or
// request id. The retries of one request are bounded over the whole call chain, its
// caller included. Without the detector each retry by a client would start with a new
// credit, and a burst of client retries would multiply downstream. A request that used
// none of its credit should be forgotten, so that its retry is treated like a first one.
//
// It is a set-associative table of fixed size: sets of eight entries, each with
// the id's 64-bit hash, the time when it was last seen and a count. If two ids
// have the same hash, the second one only loses its credit; among 65536 entries
// this happens in about one of 10^10 tables.
type RepeatDetector struct {
	window time.Duration
	start  time.Time
	seed   uint64
	shards [repeatsShards]repeatsShard
}

type repeatsShard struct {
	mu   sync.Mutex
	sets []repeatsSet
	_    [64]byte
}

type repeatsSet [repeatsWays]repeatsEntry

type repeatsEntry struct {
	hash uint64
	// seen is the time when the id was last seen, in milliseconds since the
	// start; 0 marks an empty entry.
	seen  uint32
	count uint32
}

// NewRepeatDetector returns an empty table. Settings that are zero or out of range
// get their default.
func NewRepeatDetector(config RepeatDetectorConfig) *RepeatDetector {
	if config.Window <= 0 {
		config.Window = DefaultRepeatsWindow
	}
	if config.Entries <= 0 {
		config.Entries = DefaultRepeatsEntries
	}
	if config.Start.IsZero() {
		config.Start = time.Unix(0, 0)
	}
	entries := min(config.Entries, maxRepeatsEntries)
	sets := max(entries/repeatsWays/repeatsShards, 1)
	r := &RepeatDetector{window: config.Window, start: config.Start, seed: config.Seed}
	for i := range r.shards {
		r.shards[i].sets = make([]repeatsSet, sets)
	}
	return r
}

// Seen records the id and returns how often it was seen before in the window: 0
// for the first time.
func (r *RepeatDetector) Seen(id string, now time.Time) int {
	hash := xxh3.HashStringSeed(id, r.seed)
	shard := &r.shards[hash%repeatsShards]
	at := r.stamp(now)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	set := &shard.sets[hash/repeatsShards%uint64(len(shard.sets))]
	entry := set.find(hash, at)
	if entry.hash != hash || entry.seen == 0 || r.expired(entry, at) {
		*entry = repeatsEntry{hash: hash, seen: at}
		return 0
	}
	entry.seen = at
	if entry.count < math.MaxInt32 {
		entry.count++
	}
	return int(entry.count)
}

// Forget removes the id, so that it counts as seen for the first time again.
func (r *RepeatDetector) Forget(id string, now time.Time) {
	hash := xxh3.HashStringSeed(id, r.seed)
	shard := &r.shards[hash%repeatsShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	set := &shard.sets[hash/repeatsShards%uint64(len(shard.sets))]
	if entry := set.find(hash, r.stamp(now)); entry.hash == hash {
		*entry = repeatsEntry{}
	}
}

// stamp converts a time to milliseconds that wrap around after 49 days, so an
// entry of that age would look new again. The value 0 is reserved for empty
// entries.
func (r *RepeatDetector) stamp(now time.Time) uint32 {
	return max(uint32(now.Sub(r.start).Milliseconds()), 1)
}

// expired reports whether the entry is older than the window. It compares by
// difference, which stays correct when the milliseconds wrap around.
func (r *RepeatDetector) expired(entry *repeatsEntry, at uint32) bool {
	age := int32(at - entry.seen)
	return int64(age) > r.window.Milliseconds()
}

// find returns the entry of hash, or else the entry to replace: an empty one,
// or the one that was seen least recently.
func (s *repeatsSet) find(hash uint64, at uint32) *repeatsEntry {
	victim := &s[0]
	for i := range s {
		entry := &s[i]
		if entry.hash == hash && entry.seen != 0 {
			return entry
		}
		if victim.seen == 0 {
			continue
		}
		if entry.seen == 0 || at-entry.seen > at-victim.seen {
			victim = entry
		}
	}
	return victim
}
