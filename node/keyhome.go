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

// maxHomeHops bounds how often a call is passed on in search of its key's
// home: from the node that got it to the home, and along successors that took
// the home's keys over.
const maxHomeHops = 4

const (
	// homeWait bounds how long a call waits to learn who has the keys of a node
	// that has left or only just started, and homePause is the time between two
	// looks. The news takes a few rounds of gossip.
	homeWait  = 2 * time.Second
	homePause = 50 * time.Millisecond
)

// forwardHome passes the call on to the home of its key. Whatever happens on
// the way, the answer is never not-run unless the home says so: an earlier
// presentation may have run the key there.
//
// The failure: a node drains, hands its keys over and closes. Until the news
// of its successor has spread, others would still pass calls on to it or take
// its keys for lost, and callers would be left without a fate by a graceful
// exit. A call that provably never left this node is therefore passed on again.
func (n *Node) forwardHome(ctx context.Context, req *request, home string) *answer {
	until := n.now().Add(homeWait)
	if req.deadline.Before(until) {
		until = req.deadline
	}
	for {
		if slices.Contains(n.keys.Homes(), atmostonce.Incarnation(home)) {
			// This node has taken the keys over since the table was asked.
			return n.runKeyed(ctx, req)
		}
		last := n.now().After(until)
		a := n.tryHome(ctx, req, home, last)
		if a != nil && (a.reported || a.report.Outcome != call.NotRun) {
			return a
		}
		if last || !req.body.rewind() || !objects.Pause(ctx, homePause) {
			return n.homeUnreached(ctx, req, home, a)
		}
	}
}

// tryHome passes the call on once. It returns nil if no member is known to
// have the home's keys yet, unless this is the last try.
func (n *Node) tryHome(ctx context.Context, req *request, home string, last bool) *answer {
	member, ok := n.findHome(home)
	switch {
	case !ok && n.maySoonBeKnown(home):
		return nil
	case !last && n.mayInherit(req):
		return nil
	case !ok, req.homeHops >= maxHomeHops:
		return n.recall(ctx, req, home)
	}
	a := n.attemptPeer(ctx, member.Addr, req, req.call.Credit, strconv.Itoa(req.homeHops+1))
	a.decision = observe.Forwarded
	a.target = member.ID
	return a
}

// homeUnreached answers for a home that could not be asked in time.
func (n *Node) homeUnreached(ctx context.Context, req *request, home string, a *answer) *answer {
	if a == nil {
		a = n.recall(ctx, req, home)
		a.home = home
		return a
	}
	a.report.Outcome = call.Unknown
	a.status = refusalStatus(call.Unknown, a.report.Reason)
	return a
}

// maySoonBeKnown reports whether news of a home may still be on its way: it
// went gracefully, so that another member has its keys, or it has started just
// now and has not been heard of.
func (n *Node) maySoonBeKnown(home string) bool {
	_, state, ok := n.gossip.Lookup(home)
	return !ok || state == membership.Left
}

// mayInherit reports whether this node is likely to become the home of the
// call's key at any moment: the call was passed on to it, and it isn't the home.
//
// The failure: a node that hands its keys over passes calls on to its
// successor from before the commit is sent. One that overtook the commit was
// passed back, and forth, until its hops were used up, and its caller was told
// that the key's home is gone. Waiting at the successor is enough: whoever
// passes a call on to a node takes it for the home or is making it one.
func (n *Node) mayInherit(req *request) bool { return req.homeHops > 0 && n.keys.Active() }

// findHome returns the living member that is home for an incarnation: itself,
// or whoever took its keys over.
func (n *Node) findHome(id string) (membership.Member, bool) {
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

// recall asks the platform's record for the fate of a key whose home is gone.
func (n *Node) recall(ctx context.Context, req *request, home string) *answer {
	verdict, err := n.keys.Recall(ctx, req.key)
	if err == nil {
		return n.replay(verdict.Answer)
	}
	n.log.Emit(observe.KeyHomeGone, observe.Str("key", observe.RedactKey(req.key)), observe.Str("home", home))
	return n.keyRefusal(req, err)
}
