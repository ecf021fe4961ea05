package quota

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

const (
	ledgerShards = 16
	// demandTimeConstant is the time constant of the decaying averages of demand.
	demandTimeConstant = time.Second
	// bucketTTL is how long a bucket without requests is retained. A customer that
	// returns later gets a new bucket.
	bucketTTL = time.Minute
	// minRetryAfter is the lowest Grant.RetryAfter: about the time in which the response
	// reaches the caller and its retry comes back. maxRetryAfter only keeps the time of a
	// very low rate within the range of a Duration.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Hour
	// millisPerSecond converts seconds to the milliseconds of Grant.RetryAfter.
	millisPerSecond = 1000
)

// LeaseRequest is a node's request for tokens to the owner of a customer.
type LeaseRequest struct {
	Customer string
	// Limit applies from configuration Version on. The owner uses the limit of the
	// latest version that it has received.
	Limit   Limit
	Version uint64
	// Want is the number of tokens requested, at least 1. Need is how many of them are
	// for requests that are waiting; the others are for requests expected soon.
	Want, Need int
	// Share is the share of the limit that may be leased, greater than 0 and at most 1.
	Share float64
	// Since is when this member became the customer's only owner. The bucket of a
	// customer that sends its first request later holds the tokens accumulated since
	// then.
	Since time.Time
	// Draw is a random number in [0, 1) that spreads the times at which refused callers
	// retry.
	Draw float64
}

// Grant is the owner's response to a LeaseRequest.
type Grant struct {
	// Tokens is the number of tokens leased. If it is 0, NotNeeded reports whether no
	// waiting request needed one.
	Tokens    int
	NotNeeded bool
	// RetryAfter is when the next token can be expected, in whole milliseconds, if none
	// was leased to a waiting request.
	RetryAfter time.Duration
	// Use is the customer's demand as a fraction of its limit, at most 1.
	Use float64
}

// Ledger has the token buckets of the customers that this member owns. It is safe for
// concurrent use.
type Ledger struct {
	window        time.Duration
	initialTokens func(Limit) float64
	seed          maphash.Seed
	shards        [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	swept   time.Time
	_       [32]byte // avoids false sharing between the locks of neighbouring shards
}

// bucket is the account of one customer. It enforces two bounds: the tokens leased in
// any window, which is the limit itself, and a token bucket that is as deep as the
// burst and fills at the limit of a window divided by the window's length. The second
// bound keeps a customer that sends too much from using up a window in its first
// second.
type bucket struct {
	limit   Limit
	version uint64
	// ownedSince is when this member became the owner of the customer.
	ownedSince time.Time
	tokens     float64
	updatedAt  time.Time
	leased     windowCount
	// requested and refused count tokens requested and refused, as decaying averages
	// over demandTimeConstant.
	requested, refused float64
}

// NewLedger returns an empty Ledger for windows of the given length. start returns the
// number of tokens in a new bucket.
func NewLedger(window time.Duration, start func(Limit) float64) *Ledger {
	l := &Ledger{window: max(window, minWindow), initialTokens: start, seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*bucket)
	}
	return l
}

// Lease leases as many of the requested tokens as are available.
func (l *Ledger) Lease(a LeaseRequest, now time.Time) Grant {
	s := &l.shards[maphash.String(l.seed, a.Customer)%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	b := s.buckets[a.Customer]
	if b == nil {
		since := now
		if !a.Since.IsZero() && a.Since.Before(now) {
			since = a.Since
		}
		b = &bucket{limit: a.Limit, version: a.Version, ownedSince: since, updatedAt: since, tokens: l.initialTokens(a.Limit)}
		s.buckets[a.Customer] = b
	}
	if a.Version > b.version {
		b.limit, b.version = a.Limit, a.Version
	}
	b.advance(now, a.Share, l.window)
	return b.lease(a, l.window, now)
}

// advance updates the bucket to the current time.
//
// A customer may send its burst and then move to another owner. The new owner knows
// nothing of the burst and would permit it once more in its first window. Therefore an
// owner fills the bucket at the rate alone in its first window.
func (b *bucket) advance(now time.Time, share float64, window time.Duration) {
	elapsed := max(now.Sub(b.updatedAt), 0)
	early := min(b.firstWindowLeft(b.updatedAt, window), elapsed)
	filled := b.limit.Rate*early.Seconds() + b.limit.windowRate(window)*(elapsed-early).Seconds()
	b.updatedAt = now
	b.tokens = min(b.tokens+filled*share, max(b.limit.Burst*share, 1))
	decay := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	b.requested *= decay
	b.refused *= decay
}

// firstWindowLeft returns how much of the first window of the bucket's owner is left.
func (b *bucket) firstWindowLeft(now time.Time, window time.Duration) time.Duration {
	return max(b.ownedSince.Add(window).Sub(now), 0)
}

// secondsToFill returns the seconds that advance needs to add this many tokens.
func (b *bucket) secondsToFill(tokens, share float64, window time.Duration, now time.Time) float64 {
	early := b.firstWindowLeft(now, window).Seconds()
	if filled := b.limit.Rate * share * early; filled < tokens {
		return early + (tokens-filled)/(b.limit.windowRate(window)*share)
	}
	return tokens / (b.limit.Rate * share)
}

// prefetchShare is the fraction of a window's limit up to which tokens are leased in
// advance, for requests that are not waiting yet. Beyond it, tokens leased in advance
// and used in the next window could make that window exceed its limit.
const prefetchShare = 0.8

func (b *bucket) lease(a LeaseRequest, window time.Duration, now time.Time) Grant {
	want := max(a.Want, 1)
	maxTokens := max(b.limit.perWindow(window)*a.Share, 1)
	leased := b.leased.sum(now, window)
	if leased >= prefetchShare*maxTokens {
		want = min(want, max(a.Need, 0))
	}
	b.requested += float64(want)
	g := Grant{Use: min(b.requested/(b.limit.windowRate(window)*demandTimeConstant.Seconds()), 1)}
	if want == 0 {
		g.NotNeeded = true
		return g
	}
	g.Tokens = min(want, int(b.tokens+roundingTolerance), int(maxTokens-leased+roundingTolerance))
	if g.Tokens > 0 {
		b.tokens -= float64(g.Tokens)
		b.leased.add(g.Tokens, now, window)
		return g
	}
	g.Tokens = 0
	g.NotNeeded = a.Need <= 0
	if !g.NotNeeded {
		g.RetryAfter = b.retryAfter(a, maxTokens, window, now)
		b.refused += float64(want)
	}
	return g
}

// roundingTolerance compensates for the rounding errors of sums of fractions that have
// no exact binary representation.
const roundingTolerance = 1e-9

// retryAfter returns when the next token is expected: when the bucket has filled up to
// one token and the window, which may lease maxTokens, has room for it. The retries of
// callers that were refused shortly after one another are spread over the time in which the
// bucket fills for all of them.
func (b *bucket) retryAfter(a LeaseRequest, maxTokens float64, window time.Duration, now time.Time) time.Duration {
	filled := b.secondsToFill(max(1-b.tokens, 0), a.Share, window, now)
	room := b.leased.untilAtMost(maxTokens-1, now, window).Seconds()
	wait := max(filled, room) + a.Draw*b.refused/(b.limit.windowRate(window)*a.Share)
	wait = min(max(wait, minRetryAfter.Seconds()), maxRetryAfter.Seconds())
	// Rounded up, since callers are told whole milliseconds.
	return time.Duration(math.Ceil(wait*millisPerSecond)) * time.Millisecond
}

// sweep deletes buckets without recent requests. The caller holds the lock.
func (s *ledgerShard) sweep(now time.Time) {
	if now.Sub(s.swept) < bucketTTL {
		return
	}
	s.swept = now
	for name, b := range s.buckets {
		if now.Sub(b.updatedAt) >= bucketTTL {
			delete(s.buckets, name)
		}
	}
}

// RetainOwned deletes the buckets of customers that this member no longer owns.
//
// In a network partition a customer may move to another owner and back. Without the
// deletion, the first owner's bucket would have refilled meanwhile, and the customer
// would have its burst a second time.
func (l *Ledger) RetainOwned(isOwner func(customer string) bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name := range s.buckets {
			if !isOwner(name) {
				delete(s.buckets, name)
			}
		}
		s.mu.Unlock()
	}
}

// Account is the state of one customer in a Ledger.
type Account struct {
	Customer string
	Limit    Limit
	// Tokens is the number available now. Asked and Refused are recent averages, in
	// tokens per second.
	Tokens, Asked, Refused float64
}

// Accounts returns the state of all customers in the ledger, in no particular order.
func (l *Ledger) Accounts() []Account {
	var out []Account
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, b := range s.buckets {
			out = append(out, Account{Customer: name, Limit: b.limit, Tokens: b.tokens, Asked: b.requested, Refused: b.refused})
		}
		s.mu.Unlock()
	}
	return out
}
