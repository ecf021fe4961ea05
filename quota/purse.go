package quota

import (
	"hash/maphash"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	purseShards = 16
	// wantShare is the fraction of the demand expected within a token's time to live
	// that is requested at once. Unused tokens are lost to the other nodes.
	wantShare = 0.75
	// maxWant bounds the tokens of one Ask.
	maxWant = 1000
	// purseLife is how long the account of a customer that sends no requests is
	// retained.
	purseLife = 10 * time.Second
	// dryMost bounds how long a node refuses requests without contacting the owner
	// again, after the owner had no tokens.
	dryMost = 100 * time.Millisecond
)

// Purse caches the tokens that were leased to a node. It is safe for concurrent use.
type Purse struct {
	life   time.Duration
	seed   maphash.Seed
	shards [purseShards]purseShard
}

type purseShard struct {
	mu       sync.Mutex
	accounts map[string]*purseAccount
	swept    time.Time
	_        [32]byte // avoids false sharing between the locks of neighbouring shards
}

// purseAccount is the state of one customer at a node.
type purseAccount struct {
	// lent has the leased tokens by expiry, the earliest first.
	lent []lent
	// demand is the number of requests per second, as a decaying average.
	demand float64
	at     time.Time
	// dry is the time until which the owner is not contacted again. Until then, after
	// is the Retry-After that callers receive.
	dry   time.Time
	after time.Duration
	use   float64
}

type lent struct {
	tokens int
	ends   time.Time
}

// NewPurse returns an empty Purse for tokens with the given time to live.
func NewPurse(life time.Duration) *Purse {
	p := &Purse{life: life, seed: maphash.MakeSeed()}
	for i := range p.shards {
		p.shards[i].accounts = make(map[string]*purseAccount)
	}
	return p
}

// Taken is the result of Take and Retake.
type Taken struct {
	// OK reports whether the request has a token and may be forwarded. The token
	// expires at Ends.
	OK   bool
	Ends time.Time
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
func (p *Purse) Take(customer string, now time.Time) Taken { return p.take(customer, 1, now) }

// Retake takes a token for the same request after the owner has responded. It does not
// count the request a second time.
func (p *Purse) Retake(customer string, now time.Time) Taken { return p.take(customer, 0, now) }

func (p *Purse) take(customer string, came float64, now time.Time) Taken {
	s := p.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(customer, now)
	a.pass(now)
	a.demand += came
	left := a.tokens(now)
	taken := Taken{OK: left > 0, Use: a.use}
	want := min(max(int(math.Ceil(a.demand*wantShare*p.life.Seconds())), 1), maxWant)
	if taken.OK {
		taken.Ends = a.lent[0].ends
		a.lent[0].tokens--
		left--
		// Requests the next tokens before the last one is used, if another request is
		// expected within their time to live.
		if a.demand*p.life.Seconds() >= 1 && left < (want+1)/2 && !now.Before(a.dry) {
			taken.Want = want
		}
		return taken
	}
	if now.Before(a.dry) {
		taken.RetryAfter = a.after
		return taken
	}
	taken.Want = want
	return taken
}

// Return gives back the token of a request that did not run, unless the token has
// expired.
func (p *Purse) Return(customer string, ends, now time.Time) {
	if !now.Before(ends) {
		return
	}
	s := p.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(customer, now)
	place := 0
	for place < len(a.lent) && a.lent[place].ends.Before(ends) {
		place++
	}
	if place < len(a.lent) && a.lent[place].ends.Equal(ends) {
		a.lent[place].tokens++
		return
	}
	a.lent = slices.Insert(a.lent, place, lent{tokens: 1, ends: ends})
}

// Put stores the owner's response to an Ask that was sent at the given time.
func (p *Purse) Put(customer string, g Grant, sent, now time.Time) {
	s := p.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(customer, now)
	a.use = g.Use
	if g.Spare {
		return
	}
	if g.Tokens == 0 {
		a.dry, a.after = now.Add(min(g.RetryAfter, dryMost)), g.RetryAfter
		return
	}
	ends := sent.Add(p.life)
	place := len(a.lent)
	for place > 0 && a.lent[place-1].ends.After(ends) {
		place--
	}
	a.lent = slices.Insert(a.lent, place, lent{tokens: g.Tokens, ends: ends})
}

func (p *Purse) shard(customer string) *purseShard {
	return &p.shards[maphash.String(p.seed, customer)%purseShards]
}

func (s *purseShard) account(customer string, now time.Time) *purseAccount {
	if now.Sub(s.swept) >= purseLife {
		s.swept = now
		for name, a := range s.accounts {
			if now.Sub(a.at) >= purseLife {
				delete(s.accounts, name)
			}
		}
	}
	a := s.accounts[customer]
	if a == nil {
		a = &purseAccount{at: now}
		s.accounts[customer] = a
	}
	return a
}

func (a *purseAccount) pass(now time.Time) {
	a.demand *= math.Exp(-float64(max(now.Sub(a.at), 0)) / float64(usualSpan))
	a.at = now
}

// tokens removes expired and used tokens, and returns the number left.
func (a *purseAccount) tokens(now time.Time) int {
	for len(a.lent) > 0 && (a.lent[0].tokens == 0 || !now.Before(a.lent[0].ends)) {
		a.lent = a.lent[1:]
	}
	left := 0
	for _, l := range a.lent {
		left += l.tokens
	}
	return left
}
