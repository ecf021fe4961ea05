package quota

import (
	"hash/maphash"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	cacheShards = 16
	// wantShare is the fraction of the demand expected within a token's time to live
	// that is requested at once. Unused tokens are lost to the other nodes.
	wantShare = 0.75
	// maxWant bounds the tokens of one LeaseRequest.
	maxWant = 1000
	// accountTTL is how long the account of a customer that sends no requests is
	// retained.
	accountTTL = 10 * time.Second
	// maxBackoff bounds how long a node refuses requests without contacting the owner
	// again, after the owner had no tokens.
	maxBackoff = 100 * time.Millisecond
)

// TokenCache caches the tokens that were leased to a node. It is safe for concurrent use.
type TokenCache struct {
	ttl    time.Duration
	seed   maphash.Seed
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	mu       sync.Mutex
	accounts map[string]*cacheAccount
	swept    time.Time
	_        [32]byte // avoids false sharing between the locks of neighbouring shards
}

// cacheAccount is the state of one customer at a node.
type cacheAccount struct {
	// leases has the leased tokens by expiry, the earliest first.
	leases []lease
	// demand is the number of requests per second, as a decaying average.
	demand    float64
	updatedAt time.Time
	// backoffUntil is the time until which the owner is not contacted again. Until
	// then, retryAfter is the Retry-After that callers receive.
	backoffUntil time.Time
	retryAfter   time.Duration
	use          float64
}

type lease struct {
	tokens  int
	expires time.Time
}

// NewTokenCache returns an empty TokenCache for tokens with the given time to live.
func NewTokenCache(ttl time.Duration) *TokenCache {
	p := &TokenCache{ttl: ttl, seed: maphash.MakeSeed()}
	for i := range p.shards {
		p.shards[i].accounts = make(map[string]*cacheAccount)
	}
	return p
}

// Taken is the result of Take and Retake.
type Taken struct {
	// OK reports whether the request has a token and may be forwarded. The token
	// expires at ExpiresAt.
	OK        bool
	ExpiresAt time.Time
	// Want is the number of tokens to request from the owner, 0 for none. If OK is set
	// as well, the request need not wait for them.
	Want int
	// RetryAfter is set if the request is refused: OK is false and Want is 0.
	RetryAfter time.Duration
	// Use is the customer's demand as a fraction of its limit, as the owner last
	// reported it; 0 if unknown.
	Use float64
}

// Take takes a token for a request that has just arrived.
func (p *TokenCache) Take(customer string, now time.Time) Taken { return p.take(customer, 1, now) }

// Retake takes a token for the same request after the owner has responded. It does not
// count the request a second time.
func (p *TokenCache) Retake(customer string, now time.Time) Taken { return p.take(customer, 0, now) }

func (p *TokenCache) take(customer string, arrivals float64, now time.Time) Taken {
	s := p.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(customer, now)
	a.advance(now)
	a.demand += arrivals
	left := a.tokens(now)
	taken := Taken{OK: left > 0, Use: a.use}
	want := min(max(int(math.Ceil(a.demand*wantShare*p.ttl.Seconds())), 1), maxWant)
	if taken.OK {
		taken.ExpiresAt = a.leases[0].expires
		a.leases[0].tokens--
		left--
		// Request the next tokens before the last one is used, if another request is
		// expected within their time to live.
		if a.demand*p.ttl.Seconds() >= 1 && left < (want+1)/2 && !now.Before(a.backoffUntil) {
			taken.Want = want
		}
		return taken
	}
	if now.Before(a.backoffUntil) {
		taken.RetryAfter = a.retryAfter
		return taken
	}
	taken.Want = want
	return taken
}

// Return gives back the token of a request that did not run, unless the token has
// expired.
func (p *TokenCache) Return(customer string, expires, now time.Time) {
	if !now.Before(expires) {
		return
	}
	s := p.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(customer, now)
	index := 0
	for index < len(a.leases) && a.leases[index].expires.Before(expires) {
		index++
	}
	if index < len(a.leases) && a.leases[index].expires.Equal(expires) {
		a.leases[index].tokens++
		return
	}
	a.leases = slices.Insert(a.leases, index, lease{tokens: 1, expires: expires})
}

// Put stores the owner's response to a LeaseRequest that was sent at the given time.
func (p *TokenCache) Put(customer string, g Grant, sent, now time.Time) {
	s := p.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(customer, now)
	a.use = g.Use
	if g.NotNeeded {
		return
	}
	if g.Tokens == 0 {
		a.backoffUntil, a.retryAfter = now.Add(min(g.RetryAfter, maxBackoff)), g.RetryAfter
		return
	}
	expires := sent.Add(p.ttl)
	index := len(a.leases)
	for index > 0 && a.leases[index-1].expires.After(expires) {
		index--
	}
	a.leases = slices.Insert(a.leases, index, lease{tokens: g.Tokens, expires: expires})
}

func (p *TokenCache) shard(customer string) *cacheShard {
	return &p.shards[maphash.String(p.seed, customer)%cacheShards]
}

func (s *cacheShard) account(customer string, now time.Time) *cacheAccount {
	if now.Sub(s.swept) >= accountTTL {
		s.swept = now
		for name, a := range s.accounts {
			if now.Sub(a.updatedAt) >= accountTTL {
				delete(s.accounts, name)
			}
		}
	}
	a := s.accounts[customer]
	if a == nil {
		a = &cacheAccount{updatedAt: now}
		s.accounts[customer] = a
	}
	return a
}

func (a *cacheAccount) advance(now time.Time) {
	a.demand *= math.Exp(-float64(max(now.Sub(a.updatedAt), 0)) / float64(demandTimeConstant))
	a.updatedAt = now
}

// tokens removes expired and used tokens, and returns the number left.
func (a *cacheAccount) tokens(now time.Time) int {
	for len(a.leases) > 0 && (a.leases[0].tokens == 0 || !now.Before(a.leases[0].expires)) {
		a.leases = a.leases[1:]
	}
	left := 0
	for _, l := range a.leases {
		left += l.tokens
	}
	return left
}
