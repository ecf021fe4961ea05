package node

import (
	"context"
	"time"

	"pollengauge.dev/membership"
	"pollengauge.dev/quota"
)

const (
	// tokenRequestTimeout is the time limit for one token request to a member.
	// silentMemberPause is how long a member that did not respond is not asked again:
	// the membership takes about as long to report it.
	tokenRequestTimeout = 150 * time.Millisecond
	silentMemberPause   = time.Second
)

// requestTokens requests tokens from the owner of a customer or its deputy, or joins a
// request that is already in flight.
func (n *Node) requestTokens(ask quota.LeaseRequest) *tokenRequest {
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if pending := q.pendingRequests[ask.Customer]; pending != nil {
		return pending
	}
	pending := &tokenRequest{done: make(chan struct{})}
	q.pendingRequests[ask.Customer] = pending
	go func() {
		// All waiting requests share the response, so no caller's context may cancel it.
		ctx, cancel := context.WithTimeout(context.Background(), 2*tokenRequestTimeout)
		defer cancel()
		sent := n.now()
		grant, err := n.requestFromOwner(ctx, ask)
		if err == nil {
			q.leased.Put(ask.Customer, grant, sent, n.now())
		}
		q.mu.Lock()
		delete(q.pendingRequests, ask.Customer)
		q.mu.Unlock()
		pending.err = err
		close(pending.done)
	}()
	return pending
}

// requestFromOwner requests tokens from the owner of a customer, and from its deputy if
// the owner doesn't respond.
func (n *Node) requestFromOwner(ctx context.Context, ask quota.LeaseRequest) (quota.Grant, error) {
	owner, deputy := n.quotas.owners.Load().Of(ask.Customer)
	grant, err := n.requestFromMember(ctx, owner, ask, false)
	var moved *QuotaMovedError
	if asQuotaMoved(err, &moved) {
		// The two nodes have different views of the membership, so they disagree on the
		// owner.
		grant, err = n.requestFromMember(ctx, moved.Home, ask, false)
	}
	if err == nil || deputy == "" {
		return grant, err
	}
	return n.requestFromMember(ctx, deputy, ask, true)
}

// requestFromMember requests tokens from one member, which may be this node.
func (n *Node) requestFromMember(ctx context.Context, id string, ask quota.LeaseRequest, asDeputy bool) (quota.Grant, error) {
	if id == n.id {
		return n.leaseTokens(ask, asDeputy)
	}
	member, state, known := n.gossip.Lookup(id)
	if !known || state == membership.Dead || state == membership.Left || n.quotas.isSilent(id, n.now()) {
		return quota.Grant{}, &QuotaSilentError{Member: id[:min(idPrefix, len(id))]}
	}
	ctx, cancel := context.WithTimeout(ctx, tokenRequestTimeout)
	defer cancel()
	grant, err := n.sendTokenRequest(ctx, member.Addr, ask, asDeputy)
	if err != nil && !asQuotaMoved(err, new(*QuotaMovedError)) {
		n.quotas.markSilent(id, n.now().Add(silentMemberPause))
	}
	return grant, err
}

func (q *quotaState) isSilent(id string, now time.Time) bool {
	return q.silentFor(id, now) > 0
}

// untilOwnerIsAsked returns how long neither the owner of a customer nor its deputy is asked
// for tokens because they did not respond, at least the time that they have for a response.
func (n *Node) untilOwnerIsAsked(customer string) time.Duration {
	owner, deputy := n.quotas.owners.Load().Of(customer)
	now := n.now()
	return max(min(n.quotas.silentFor(owner, now), n.quotas.silentFor(deputy, now)), tokenRequestTimeout)
}

// silentFor returns how much longer a member is not asked, 0 if it may be asked.
func (q *quotaState) silentFor(id string, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.silentMembers[id].Sub(now), 0)
}

func (q *quotaState) markSilent(id string, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silentMembers[id] = until
}
