package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollengauge.dev/membership"
	"pollengauge.dev/quota"
)

// leaseTokens leases tokens as the owner of a customer, or as its deputy.
//
// It must prevent this failure: two members that don't know of each other both consider
// themselves the owner, and each leases the whole limit. A member therefore leases as
// owner only if it is the owner in its own view of the membership, only after it has
// joined, and only the part of the limit that corresponds to the part of the fleet that
// it sees.
func (n *Node) leaseTokens(ask quota.LeaseRequest, asDeputy bool) (quota.Grant, error) {
	owners := n.quotas.owners.Load()
	owner, _ := owners.Of(ask.Customer)
	n.applyKnownLimit(&ask)
	ask.Draw = rand.Float64()
	switch {
	case !n.joined.Load():
		return quota.Grant{}, &QuotaSilentError{Member: n.id[:idPrefix]}
	case owner == n.id:
		ask.Share, ask.Since = n.quotas.share(n.now()), owners.since
		return n.quotas.ledger.Lease(ask, n.now()), nil
	case asDeputy:
		ask.Share, ask.Limit = 1, n.quotas.tolerance.Deputy(ask.Limit)
		return n.quotas.deputy.Lease(ask, n.now()), nil
	}
	return quota.Grant{}, &QuotaMovedError{Home: owner}
}

// applyKnownLimit replaces the limit in a token request by the one in force on this node,
// unless the request names a later configuration version.
func (n *Node) applyKnownLimit(ask *quota.LeaseRequest) {
	current := n.config.Current()
	if of := current.Customers().ByName(ask.Customer); of.Limited() && current.Version() >= ask.Version {
		ask.Limit, ask.Version = quota.Limit{Rate: of.Rate, Burst: of.Burst}, current.Version()
	}
}

// updateQuotaOwners updates the owners of customers from the live members. It runs on
// every change of the membership.
func (n *Node) updateQuotaOwners(members []membership.Member) {
	live := make([]quota.Member, 0, len(members))
	ids := make([]string, 0, len(members))
	for i := range members {
		// A suspected member may be on the other side of a network partition. This
		// side's part of the limits shrinks at once, but the member's customers move
		// only when it is declared dead.
		if members[i].State == membership.Alive {
			live = append(live, quota.Member{ID: members[i].ID, Place: members[i].GossipAddr})
		}
		if !members[i].Draining {
			ids = append(ids, members[i].ID)
		}
	}
	left := func(id string) bool {
		_, state, known := n.gossip.Lookup(id)
		return known && state == membership.Left
	}
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet.Update(live, left, n.now())
	slices.Sort(ids)
	if slices.Equal(ids, q.owners.Load().ids) {
		return
	}
	owners := &ownerSet{Owners: quota.NewOwners(ids), ids: ids, since: n.now()}
	q.owners.Store(owners)
	clear(q.silentMembers)
	q.ledger.RetainOwned(func(customer string) bool {
		owner, _ := owners.Of(customer)
		return owner == n.id
	})
}

func (q *quotaState) share(now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fleet.Share(now)
}

func (q *quotaState) places() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fleet.Places()
}
