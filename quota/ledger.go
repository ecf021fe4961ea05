package quota

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

const (
	ledgerShards = 16
	// usualSpan is the time over which demand is averaged.
	usualSpan = time.Second
	// bucketLife is how long a bucket is kept that nobody asks of. A customer that
	// comes back finds a new one.
	bucketLife = time.Minute
	// maxRetryAfter bounds Grant.RetryAfter.
	maxRetryAfter = 2 * time.Second
	minRetryAfter = 20 * time.Millisecond
)

// Ask is what a node asks the home of a customer for.
type Ask struct {
	Customer string
	// Limit is in force from configuration Version on. The home keeps the limit of
	// the latest version that it was told of.
	Limit   Limit
	Version uint64
	// Want is how many tokens are wanted, at least 1.
	Want int
	// Share is the part of the limit that may be lent, above 0 to 1.
	Share float64
	// Since is since when this member has counted for the customer, and nobody else.
	// A customer that asks for the first time finds what has gathered since.
	Since time.Time
	// Draw is a random number from 0 to 1, exclusive, that spreads those who come back.
	Draw float64
}

// Grant is the answer.
type Grant struct {
	// Tokens is how many were lent.
	Tokens int
	// RetryAfter is when the next one can be expected, where none was.
	RetryAfter time.Duration
	// Use is the customer's demand as a part of its limit, at most 1.
	Use float64
}

// Ledger has the buckets of the customers for which this member counts. All methods may
// be called concurrently.
type Ledger struct {
	start  func(Limit) float64
	seed   maphash.Seed
	shards [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	swept   time.Time
	_       [32]byte // keeps neighbouring locks off one cache line
}

// bucket is the account of one customer.
type bucket struct {
	limit   Limit
	version uint64
	level   float64
	at      time.Time
	// asked and refused are tokens in a decaying average over usualSpan.
	asked, refused float64
}

// NewLedger returns an empty Ledger whose new buckets hold start tokens.
func NewLedger(start func(Limit) float64) *Ledger {
	l := &Ledger{start: start, seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*bucket)
	}
	return l
}

// Ask lends tokens, as many as are there and wanted.
func (l *Ledger) Ask(a Ask, now time.Time) Grant {
	s := &l.shards[maphash.String(l.seed, a.Customer)%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	b := s.buckets[a.Customer]
	if b == nil {
		b = &bucket{limit: a.Limit, version: a.Version, at: now, level: l.start(a.Limit)}
		if a.Since.Before(now) && !a.Since.IsZero() {
			b.at = a.Since
		}
		s.buckets[a.Customer] = b
	}
	if a.Version > b.version {
		b.limit, b.version = a.Limit, a.Version
	}
	b.pass(now, a.Share)
	return b.lend(a)
}

// pass brings the bucket up to date.
func (b *bucket) pass(now time.Time, share float64) {
	elapsed := max(now.Sub(b.at), 0)
	b.at = now
	b.level = min(b.level+b.limit.Rate*share*elapsed.Seconds(), max(b.limit.Burst*share, 1))
	left := math.Exp(-float64(elapsed) / float64(usualSpan))
	b.asked *= left
	b.refused *= left
}

func (b *bucket) lend(a Ask) Grant {
	want := max(a.Want, 1)
	b.asked += float64(want)
	g := Grant{Tokens: min(want, int(b.level+rounding)), Use: min(b.asked/(b.limit.Rate*usualSpan.Seconds()), 1)}
	b.level -= float64(g.Tokens)
	if g.Tokens == 0 {
		b.refused += float64(want)
		g.RetryAfter = b.retryAfter(a)
	}
	return g
}

// rounding makes up for sums of parts that have no exact binary form.
const rounding = 1e-9

// retryAfter spreads those who were refused over the time in which the bucket will have
// tokens for all of them.
func (b *bucket) retryAfter(a Ask) time.Duration {
	rate := b.limit.Rate * a.Share
	wait := (1 - b.level + a.Draw*b.refused) / rate
	return time.Duration(min(max(wait, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
}

// sweep forgets buckets that nobody asks of. The lock is held.
func (s *ledgerShard) sweep(now time.Time) {
	if now.Sub(s.swept) < bucketLife {
		return
	}
	s.swept = now
	for name, b := range s.buckets {
		if now.Sub(b.at) >= bucketLife {
			delete(s.buckets, name)
		}
	}
}

// Keep forgets the buckets of customers for which this member counts no more.
//
// The failure: a cut moves a customer to another home and back. The first one's bucket
// has filled up meanwhile, and the customer has its burst a second time.
func (l *Ledger) Keep(home func(customer string) bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name := range s.buckets {
			if !home(name) {
				delete(s.buckets, name)
			}
		}
		s.mu.Unlock()
	}
}

// Account is what a Ledger holds of one customer.
type Account struct {
	Customer string
	Limit    Limit
	// Tokens are there now; Asked and Refused were of late, a second.
	Tokens, Asked, Refused float64
}

// Accounts returns what is held, in no order.
func (l *Ledger) Accounts() []Account {
	var out []Account
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, b := range s.buckets {
			out = append(out, Account{Customer: name, Limit: b.limit, Tokens: b.level, Asked: b.asked, Refused: b.refused})
		}
		s.mu.Unlock()
	}
	return out
}
