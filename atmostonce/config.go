package atmostonce

import (
	"crypto/rand"
	"io"
	"time"
)

// Defaults of Config.
const (
	DefaultMaxEntries     = 100_000
	DefaultMaxAnswerBytes = 64 << 10
	DefaultMaxTotalBytes  = 64 << 20
	DefaultWindow         = 24 * time.Hour
	DefaultMaxSkew        = time.Hour
	DefaultChunkBytes     = 512 << 10
	DefaultStagedTimeout  = 10 * time.Minute
)

const shardCount = 16

// Config sets up a Table. Zero fields take the defaults above.
type Config struct {
	// Service is the service of the upstream behind this node. Keys minted for
	// another service are rejected.
	Service string

	// Incarnation identifies this node process. It must be random and new at
	// each start: a process that reused an incarnation would start with an
	// empty table and run that incarnation's keys again.
	Incarnation Incarnation

	// MaxEntries is the maximum number of keys in the table. Each key takes
	// about 520 bytes of memory without its answer. It should exceed keys per
	// second times Window. A full table rejects new keys as not-run, because a
	// fate is never evicted inside the window.
	MaxEntries int

	// MaxAnswerBytes is the size of the largest answer that is stored for later
	// presentations. If a key's answer was larger, later presentations get the
	// outcome unknown with reason answer-not-held.
	MaxAnswerBytes int64

	// MaxTotalBytes limits the total size of the stored answers. At the limit
	// the oldest answers are dropped; their fates stay.
	MaxTotalBytes int64

	// Window is how long a key can be presented after it was minted or, if the
	// caller supplied it, after it was claimed. A longer window accepts later
	// retries and needs more entries.
	Window time.Duration

	// MaxSkew is how far in the future the mint time of a key may be, because
	// another node, with another clock, may have minted it. Keys beyond that
	// are rejected as not-run. MaxSkew only limits the lifetime of an entry;
	// safety doesn't depend on it.
	MaxSkew time.Duration

	// ChunkBytes is the approximate size of one chunk of a hand-over. Smaller
	// chunks need more round trips; larger chunks block the connection longer.
	ChunkBytes int64

	// StagedTimeout is how long a successor stores the chunks of a hand-over
	// that hasn't been committed. If it is too short, a slow hand-over must
	// start again.
	StagedTimeout time.Duration

	// Clock returns the current time. Its readings should carry Go's monotonic
	// clock. A reading before an earlier one is replaced by the earlier one.
	Clock func() time.Time

	// Store holds claims on caller-supplied keys, and durable fates. Without a
	// store, caller-supplied keys are rejected.
	Store ClaimStore

	// Random generates the IDs of claims. Its output must not repeat across
	// nodes.
	Random io.Reader
}

func (c Config) withDefaults() Config {
	c.MaxEntries = orDefault(c.MaxEntries, DefaultMaxEntries)
	c.MaxAnswerBytes = orDefault(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	c.MaxTotalBytes = orDefault(c.MaxTotalBytes, DefaultMaxTotalBytes)
	c.Window = orDefault(c.Window, DefaultWindow)
	c.MaxSkew = orDefault(c.MaxSkew, DefaultMaxSkew)
	c.ChunkBytes = orDefault(c.ChunkBytes, DefaultChunkBytes)
	c.StagedTimeout = orDefault(c.StagedTimeout, DefaultStagedTimeout)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Reader
	}
	return c
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

func (c Config) validate() error {
	switch {
	case !ValidService(c.Service):
		return &ConfigError{Field: "Service", Want: "1 to 63 lower-case letters, digits and hyphens"}
	case !c.Incarnation.Valid():
		return &ConfigError{Field: "Incarnation", Want: "32 lower-case hexadecimal digits"}
	case c.MaxEntries < 0:
		return &ConfigError{Field: "MaxEntries", Want: "more than 0"}
	case c.MaxAnswerBytes < 0:
		return &ConfigError{Field: "MaxAnswerBytes", Want: "more than 0"}
	case c.MaxTotalBytes < c.MaxAnswerBytes*shardCount:
		return &ConfigError{Field: "MaxTotalBytes", Want: "at least 16 times MaxAnswerBytes"}
	case c.Window < time.Second:
		return &ConfigError{Field: "Window", Want: "at least 1 s"}
	case c.MaxSkew < 0, c.ChunkBytes < 0, c.StagedTimeout < 0:
		return &ConfigError{Field: "MaxSkew, ChunkBytes, StagedTimeout", Want: "no negative value"}
	}
	return nil
}
