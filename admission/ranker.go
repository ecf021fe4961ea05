package admission

import (
	"math"
	"math/bits"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
	"pollengauge.dev/call"
)

// Default values for zero fields of RankerConfig.
const (
	DefaultRankerWindow   = time.Second
	DefaultRankerCounters = 8192
	maxRankerCounters     = 1 << 22
)

// RankerConfig configures a Ranker.
type RankerConfig struct {
	// Window is the time over which a caller's requests are counted; the counts
	// of the previous window lose their weight linearly during the current one.
	// A short window forgets a burst soon; a long window holds back a
	// persistent retrier for longer. Zero means 1 s.
	Window time.Duration
	// Counters is the number of counters in each of the two rows, rounded up to
	// a power of two; a counter takes 8 bytes. With fewer counters than active
	// callers, callers share counters and rank lower than they should. Zero
	// means 8192.
	Counters int
	// Seed prevents callers from choosing names that share counters with
	// others.
	Seed uint64
}

// Ranker sets the tie-break of requests at the root so that the callers of a
// profile share its capacity max-min fairly: the more requests a caller has
// sent recently, the lower its further requests rank. A threshold on the
// tie-break then admits about the same number of requests from every caller,
// and a caller that retries persistently causes only its own retries to be
// shed. The memory is fixed.
type Ranker struct {
	window time.Duration
	seed   uint64
	mask   uint64
	epoch  time.Time
	// rows are the counters of a count-min sketch; see counter.
	rows [2][]atomic.Uint64
}

// NewRanker returns a Ranker for the configuration, or a *ConfigError if the
// configuration is invalid.
func NewRanker(config RankerConfig) (*Ranker, error) {
	if config.Window < 0 {
		return nil, &ConfigError{Field: "Window", Value: config.Window.String(), Want: "at least 0"}
	}
	if config.Counters < 0 || config.Counters > maxRankerCounters {
		return nil, &ConfigError{Field: "Counters", Value: strconv.Itoa(config.Counters), Want: "0 to " + strconv.Itoa(maxRankerCounters)}
	}
	if config.Window == 0 {
		config.Window = DefaultRankerWindow
	}
	if config.Counters == 0 {
		config.Counters = DefaultRankerCounters
	}
	size := uint64(1) << bits.Len(uint(config.Counters-1))
	k := &Ranker{window: config.Window, seed: config.Seed, mask: size - 1, epoch: time.Unix(0, 0)}
	for i := range k.rows {
		k.rows[i] = make([]atomic.Uint64, size)
	}
	return k, nil
}

// Rank counts one request of a caller and returns its tie-break. The rank is
// drawn uniformly from 1 to the number of requests that the caller sent within
// the last window.
//
// If the count itself were the rank, the ranks of all callers would rise
// through each window and fall back at its end. A level that admits the right
// number of requests at the start of a window would then starve the downstream
// hops at its end. A uniform draw admits the same number of each caller's
// requests at all times. It is derived from the count and the seed, so that a
// caller can't influence it by the request's id.
func (k *Ranker) Rank(profile, caller string, now time.Time) call.Tiebreak {
	h := xxh3.HashStringSeed(caller, k.seed^xxh3.HashString(profile))
	at := now.Sub(k.epoch)
	window := uint64(at / k.window)
	previousShare := 1 - float64(at%k.window)/float64(k.window)
	one := count(&k.rows[0][h&k.mask], window)
	two := count(&k.rows[1][h>>32&k.mask], window)
	if two.total(previousShare) < one.total(previousShare) {
		one = two
	}
	draw := h + window*windowStep + one.current*countStep
	return tiebreak(1 + one.total(previousShare)*float64(draw>>32)/(1<<32))
}

// Multiples of countStep (the golden ratio) modulo 2^64 are spread evenly.
// windowStep gives each window a different start.
const (
	countStep  = 0x9e3779b97f4a7c15
	windowStep = 0xd1b54a32d192ed03
)

// counter holds how many requests a caller sent in a window and in the window
// before it. It is packed into one word: the number of the window in the high
// 16 bits, then the two counts. The number repeats after 65,536 windows; a
// caller that returns in exactly that window gets its old count for one window.
type counter struct{ window, previous, current uint64 }

const (
	countBits  = 24
	maxCount   = 1<<countBits - 1
	windowMask = 1<<16 - 1
)

func unpackCounter(word uint64) counter {
	return counter{window: word >> (2 * countBits), previous: word >> countBits & maxCount, current: word & maxCount}
}

func (c counter) pack() uint64 {
	return c.window<<(2*countBits) | c.previous<<countBits | c.current
}

// total returns the count over one window length up to now, where previousShare
// is the share of that time which lies in the previous window.
func (c counter) total(previousShare float64) float64 {
	return float64(c.current-1) + float64(c.previous)*previousShare
}

// count increments a counter and returns its new value.
func count(word *atomic.Uint64, window uint64) counter {
	window &= windowMask
	for {
		old := word.Load()
		c := unpackCounter(old)
		switch (window - c.window) & windowMask {
		case 0:
		case 1:
			c = counter{window: window, previous: c.current}
		default:
			c = counter{window: window}
		}
		c.current = min(c.current+1, maxCount)
		if word.CompareAndSwap(old, c.pack()) {
			return c
		}
	}
}

// bands are the lowest tie-breaks of the octaves of rank. The upper bands are
// wide, because in a surge of many callers most requests are the first of their
// caller, and the level must be able to divide them. The lowest band holds all
// ranks from 256 on.
var bands = [...]float64{96, 72, 56, 48, 40, 32, 24, 16, 0}

// tiebreak maps a rank, starting at 1, to a tie-break in the band of its
// octave. Higher ranks get lower tie-breaks.
func tiebreak(rank float64) call.Tiebreak {
	fraction, exponent := math.Frexp(rank)
	octave := exponent - 1
	if last := len(bands) - 1; octave >= last {
		return call.Tiebreak(bands[last-1] * math.Exp2(float64(last-octave)) / (2 * fraction))
	}
	above := float64(call.MaxTiebreak) + 1
	if octave > 0 {
		above = bands[octave-1]
	}
	width := above - bands[octave]
	return call.Tiebreak(math.Ceil(above-width*(2*fraction-1)) - 1)
}
