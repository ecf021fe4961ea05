package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/customer"
	"pollengauge.dev/observe"
	"pollengauge.dev/quota"
)

// quotaState is what a node needs to enforce the rate limits of customers.
type quotaState struct {
	tolerance quota.Tolerance
	leased    *quota.TokenCache
	// ledger counts for the customers that this node owns, deputy for those whose owner
	// doesn't respond to other members.
	ledger, deputy *quota.Ledger
	owners         atomic.Pointer[ownerSet]

	mu    sync.Mutex
	fleet quota.Fleet
	// lastSize is the size that fleet reported at the last check, storedSize the size
	// that the platform holds.
	lastSize, storedSize int
	// pendingRequests holds the token requests in flight, by customer.
	pendingRequests map[string]*tokenRequest
	// refused counts, by customer, the requests refused since the last report. overLimit
	// holds the customers that were logged as over their limit, with the number of
	// consecutive reports without a refusal.
	refused   map[string]int
	overLimit map[string]int
	// silentMembers holds, for each member that did not respond, the time until which it
	// is not asked again.
	silentMembers map[string]time.Time
}

// ownerSet holds the members that own customers, and since when this list is unchanged.
type ownerSet struct {
	*quota.Owners
	ids   []string
	since time.Time
}

// tokenRequest is a token request in flight, which several requests of a customer may
// wait for.
type tokenRequest struct {
	done chan struct{}
	err  error
}

func newQuotaState(t quota.Tolerance) *quotaState {
	q := &quotaState{
		tolerance:       t,
		leased:          quota.NewTokenCache(t.TokenTTL()),
		ledger:          quota.NewLedger(t.Window, t.Start),
		deputy:          quota.NewLedger(t.Window, func(quota.Limit) float64 { return 1 }),
		pendingRequests: make(map[string]*tokenRequest),
		silentMembers:   make(map[string]time.Time),
		refused:         make(map[string]int),
		overLimit:       make(map[string]int),
	}
	q.owners.Store(&ownerSet{Owners: quota.NewOwners(nil)})
	return q
}

// maxTokenRounds is how often a request asks for tokens: other requests may have taken
// the tokens of the first response.
const maxTokenRounds = 2

// takeQuota takes a token of the customer's limit for an incoming request, and returns a
// refusal if there is none.
func (n *Node) takeQuota(ctx context.Context, req *request) *answer {
	of := req.identity.customer
	if !of.Limited() || n.settings.Ablate.NoQuota {
		return nil
	}
	taken, err := n.takeToken(ctx, of, req.identity.version)
	req.quotaEnds, req.quotaUse = taken.ExpiresAt, taken.Use
	switch {
	case err != nil:
		n.metrics.Quotas.With(quotaUnknown).Inc(1)
		n.log.Emit(observe.QuotaUnknown, observe.Str("customer", of.Name), observe.Err(err))
		return n.refuse(outcomeBeforeKeys(req), call.ReasonQuotaUnknown, n.untilOwnerIsAsked(of.Name))
	case !taken.OK:
		n.metrics.Quotas.With(quotaRefused).Inc(1)
		n.quotas.noteRefused(of.Name)
		return n.refuseOverLimit(req, taken.RetryAfter)
	}
	n.metrics.Quotas.With(quotaTaken).Inc(1)
	return nil
}

// outcomeBeforeKeys returns the outcome of a request that is refused before the key
// table is consulted: a request with an idempotency key may have run before.
func outcomeBeforeKeys(req *request) call.Outcome {
	if req.key != "" {
		return call.Unknown
	}
	return call.NotRun
}

// refuseOverLimit refuses a request that exceeds its customer's limit. after is when the
// owner of the customer expects a token for it.
func (n *Node) refuseOverLimit(req *request, after time.Duration) *answer {
	a := n.refuse(outcomeBeforeKeys(req), call.ReasonQuota, after)
	a.status = http.StatusTooManyRequests
	return a
}

// returnQuota returns the token of a request that did not run.
func (n *Node) returnQuota(req *request) {
	if !req.quotaEnds.IsZero() {
		n.quotas.leased.Return(req.identity.customer.Name, req.quotaEnds, n.now())
	}
}

func (n *Node) takeToken(ctx context.Context, of *customer.Customer, version uint64) (quota.Taken, error) {
	ask := quota.LeaseRequest{Customer: of.Name, Limit: quota.Limit{Rate: of.Rate, Burst: of.Burst}, Version: version}
	if n.settings.Ablate.EqualQuotas {
		return n.takeEqualShare(ask), nil
	}
	taken := n.quotas.leased.Take(of.Name, n.now())
	for range maxTokenRounds {
		if taken.Want == 0 {
			return taken, nil
		}
		ask.Want, ask.Need = taken.Want, 1
		if taken.OK {
			ask.Need = 0
		}
		pending := n.requestTokens(ask)
		if taken.OK {
			return taken, nil
		}
		select {
		case <-pending.done:
		case <-ctx.Done():
			return taken, ctx.Err()
		}
		if pending.err != nil {
			return taken, pending.err
		}
		taken = n.quotas.leased.Retake(of.Name, n.now())
	}
	return taken, nil
}

// takeEqualShare gives each member an equal part of the limit, whatever its demand.
func (n *Node) takeEqualShare(ask quota.LeaseRequest) quota.Taken {
	ask.Want, ask.Need = 1, 1
	ask.Share, ask.Draw = 1/float64(max(n.quotas.places(), 1)), rand.Float64()
	g := n.quotas.ledger.Lease(ask, n.now())
	return quota.Taken{OK: g.Tokens > 0, RetryAfter: g.RetryAfter}
}

// Labels of the metric of requests that are subject to a limit.
const (
	quotaTaken   = "taken"
	quotaRefused = "refused"
	quotaUnknown = "unknown"
)
