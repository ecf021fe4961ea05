package node

import (
	"context"
	"slices"
	"strconv"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// maxOwnerHops bounds how often a call is forwarded in search of its key's owner: from
// the node that received it to the owner, and on to successors that have taken over the
// owner's keys.
const maxOwnerHops = 4

const (
	// ownerWait bounds how long a call waits to learn which member owns the keys of a
	// node that has left or has only just started. ownerPollInterval is the time
	// between two checks. The membership update takes a few rounds of gossip.
	ownerWait         = 2 * time.Second
	ownerPollInterval = 50 * time.Millisecond
)

// forwardToOwner forwards the call to the owner of its key. Whatever fails on the way,
// the answer is never not-run unless the owner reports it: an earlier presentation may
// have run the key there.
//
// A node that drains hands its keys over and exits. Until gossip has spread its
// successor, other nodes would still forward calls to it or consider its keys lost, and
// a graceful exit would leave callers with an unknown outcome. A call that provably
// never left this node is therefore forwarded again.
func (n *Node) forwardToOwner(ctx context.Context, req *request, owner string) *answer {
	until := n.now().Add(ownerWait)
	if req.deadline.Before(until) {
		until = req.deadline
	}
	for {
		if slices.Contains(n.keys.OwnedIncarnations(), atmostonce.Incarnation(owner)) {
			// This node has taken over the keys since the key table was asked.
			return n.runKeyed(ctx, req)
		}
		last := n.now().After(until)
		a := n.tryOwner(ctx, req, owner, last)
		if a != nil && (a.reported || a.report.Outcome != call.NotRun) {
			return a
		}
		if last || !req.body.rewind() || !objects.Pause(ctx, ownerPollInterval) {
			return n.answerUnreached(ctx, req, owner, a)
		}
	}
}

// tryOwner forwards the call once. Unless this is the last try, it returns nil while no
// known member has the owner's keys yet, or while this node is likely to take them
// over.
func (n *Node) tryOwner(ctx context.Context, req *request, owner string, last bool) *answer {
	member, ok := n.findOwner(owner)
	switch {
	case !ok && n.ownerMayAppear(owner):
		return nil
	case !last && n.mayBecomeOwner(req):
		return nil
	case !ok, req.ownerHops >= maxOwnerHops:
		return n.recallFate(ctx, req, owner)
	}
	a := n.attemptPeer(ctx, member.Addr, req, req.call.Credit, strconv.Itoa(req.ownerHops+1))
	// The load is that of the owner, and the caller would take it for that of this
	// node.
	a.report.TargetLoad = call.TargetLoad{}
	a.decision = observe.Forwarded
	a.target = member.ID
	return a
}

// answerUnreached answers for an owner that could not be reached in time. a is the
// answer of the last try, nil if there is none.
func (n *Node) answerUnreached(ctx context.Context, req *request, owner string, a *answer) *answer {
	if a == nil {
		a = n.recallFate(ctx, req, owner)
		a.owner = owner
		return a
	}
	a.report.Outcome = call.Unknown
	a.status = refusalStatus(call.Unknown, a.report.Reason)
	return a
}

// ownerMayAppear reports whether a membership update about owner may still be on its
// way: either owner left gracefully and another member has its keys, or it has only
// just started and is not known here yet.
func (n *Node) ownerMayAppear(owner string) bool {
	_, state, ok := n.gossip.Lookup(owner)
	return !ok || state == membership.Left
}

// mayBecomeOwner reports whether this node may become the owner of the call's key at
// any moment: another node forwarded the call here, and this node does not own the key.
//
// A node that hands its keys over forwards calls to its successor even before the
// commit is sent. A call that overtook the commit used to be forwarded back and forth
// until its hops were used up, and its caller got the reason key-home-gone. It is
// enough to wait at the successor: a node only forwards a call to the member that it
// considers the owner or that it is making the owner.
func (n *Node) mayBecomeOwner(req *request) bool { return req.ownerHops > 0 && n.keys.Active() }

// findOwner returns the living member that owns the keys of an incarnation: that
// incarnation itself, or the member that took over its keys.
func (n *Node) findOwner(id string) (membership.Member, bool) {
	member, state, ok := n.gossip.Lookup(id)
	if ok && (state == membership.Alive || state == membership.Suspect) {
		return member, true
	}
	for _, m := range n.gossip.Members() {
		if slices.Contains(m.Inherits, id) && m.ID != n.id {
			return m, true
		}
	}
	return membership.Member{}, false
}

// recallFate answers for a key whose owner is gone, from the claim that the platform
// stores.
func (n *Node) recallFate(ctx context.Context, req *request, owner string) *answer {
	verdict, err := n.keys.ReadStoredFate(ctx, req.key)
	if err == nil {
		return n.replay(verdict.Answer)
	}
	n.log.Emit(observe.KeyHomeGone, observe.Str("key", observe.RedactKey(req.key)), observe.Str("home", owner))
	return n.keyRefusal(req, err)
}
