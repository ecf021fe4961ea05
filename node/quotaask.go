package node

import (
	"context"
	"time"

	"pollengauge.dev/membership"
	"pollengauge.dev/quota"
)

const (
	// quotaWait is the time limit for one token request to a member. quotaSilence is how
	// long a member that did not respond is not asked again: the membership takes about
	// as long to report it.
	quotaWait    = 150 * time.Millisecond
	quotaSilence = time.Second
)

// askForTokens requests tokens from the owner of a customer or its deputy, or joins a
// request that is already in flight.
func (n *Node) askForTokens(ask quota.Ask) *quotaQuestion {
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if question := q.asking[ask.Customer]; question != nil {
		return question
	}
	question := &quotaQuestion{done: make(chan struct{})}
	q.asking[ask.Customer] = question
	go func() {
		// All waiting requests share the response, so no caller's context may cancel it.
		ctx, cancel := context.WithTimeout(context.Background(), 2*quotaWait)
		defer cancel()
		sent := n.now()
		grant, err := n.askWhoCounts(ctx, ask)
		if err == nil {
			q.purse.Put(ask.Customer, grant, sent, n.now())
		}
		q.mu.Lock()
		delete(q.asking, ask.Customer)
		q.mu.Unlock()
		question.err = err
		close(question.done)
	}()
	return question
}

// askWhoCounts requests tokens from the owner of a customer, and from its deputy if the
// owner doesn't respond.
func (n *Node) askWhoCounts(ctx context.Context, ask quota.Ask) (quota.Grant, error) {
	home, deputy := n.quotas.homes.Load().Of(ask.Customer)
	grant, err := n.askMember(ctx, home, ask, false)
	var moved *QuotaMovedError
	if asMoved(err, &moved) {
		// The two nodes have different views of the membership, so they disagree on the
		// owner.
		grant, err = n.askMember(ctx, moved.Home, ask, false)
	}
	if err == nil || deputy == "" {
		return grant, err
	}
	return n.askMember(ctx, deputy, ask, true)
}

// askMember requests tokens from one member, which may be this node.
func (n *Node) askMember(ctx context.Context, id string, ask quota.Ask, asDeputy bool) (quota.Grant, error) {
	if id == n.id {
		return n.lend(ask, asDeputy)
	}
	member, state, known := n.gossip.Lookup(id)
	if !known || state == membership.Dead || state == membership.Left || n.quotas.isSilent(id, n.now()) {
		return quota.Grant{}, &QuotaSilentError{Member: id[:min(idPrefix, len(id))]}
	}
	ctx, cancel := context.WithTimeout(ctx, quotaWait)
	defer cancel()
	grant, err := n.sendAsk(ctx, member.Addr, ask, asDeputy)
	if err != nil && !asMoved(err, new(*QuotaMovedError)) {
		n.quotas.hush(id, n.now().Add(quotaSilence))
	}
	return grant, err
}

func (q *quotaState) isSilent(id string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, hushed := q.silent[id]
	return hushed && now.Before(until)
}

func (q *quotaState) hush(id string, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent[id] = until
}
