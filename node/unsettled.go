package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// maxUnsettled is the maximum length of the list of unsettled fates. The oldest entry
// is evicted for a new one.
const maxUnsettled = 1024

// unsettled lists unrepeatable calls that ended unknown here although another node
// owns their key.
//
// It covers the loss of a VM, together with its key table, while filings are in
// flight. The callers get unknown or a broken connection, and without this list the
// fates that operators work through would be empty: the filings would be lost without
// a trace. The remaining nodes can name the calls that they took part in: calls whose
// owner could not be reached, and runs whose calling node went away.
type unsettled struct {
	mu    sync.Mutex
	fates []FateView
}

// add stores a fate unless its key is already listed. Callers that retry get the same
// answer, and the time of the first one is retained.
func (u *unsettled) add(f FateView) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.ContainsFunc(u.fates, func(known FateView) bool { return known.Key == f.Key }) {
		return
	}
	if len(u.fates) == maxUnsettled {
		u.fates = slices.Delete(u.fates, 0, 1)
	}
	u.fates = append(u.fates, f)
}

// list returns the fates that have not expired and whose owner is not among the
// current members. A living owner can report the fate itself.
func (u *unsettled) list(now time.Time, ownerAlive func(id string) bool) []FateView {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fates = slices.DeleteFunc(u.fates, func(f FateView) bool { return !now.Before(f.Expires) })
	var open []FateView
	for _, f := range u.fates {
		if !ownerAlive(f.Home) {
			open = append(open, f)
		}
	}
	return open
}

// noteUnsettled lists a call whose fate is not in the key table of this node.
func (n *Node) noteUnsettled(req *request, reason call.Reason, owner string) {
	if owner == "" {
		owner = n.probableOwner(req)
	}
	if owner == n.id {
		return
	}
	now := n.now()
	n.unsettled.add(FateView{
		Key:     observe.RedactKey(req.key),
		State:   atmostonce.StateUnknown.String(),
		Reason:  string(reason),
		Request: call.ShortID(req.call.RequestID),
		Profile: req.call.Profile,
		Home:    owner,
		Since:   now,
		Expires: now.Add(n.settings.KeyWindow),
	})
}

// probableOwner returns the id of the node that probably owns the request's key. A
// minted key contains its owner. A key chosen by the caller was claimed by the node
// at which the caller presented it, and the request id begins with the id of that
// node. The result is empty if the caller chose the request id itself.
func (n *Node) probableOwner(req *request) string {
	key, minted, err := atmostonce.ParseKey(req.key)
	if err == nil && minted {
		return string(key.Home)
	}
	root, _, found := strings.Cut(req.call.RequestID, ".")
	if !found || len(root) != idPrefix {
		return ""
	}
	if strings.HasPrefix(n.id, root) {
		return n.id
	}
	for _, m := range n.gossip.Members() {
		if strings.HasPrefix(m.ID, root) {
			return m.ID
		}
	}
	return root
}

// noteCallerDisconnected lists an unrepeatable run whose calling node went away before it
// received the answer. A node keeps such a call open until its deadline even if its
// own caller disconnects.
func (n *Node) noteCallerDisconnected(req *request) {
	if req.profile.Unrepeatable && req.key != "" && req.ownerHops == 0 && n.now().Before(req.deadline) {
		n.noteUnsettled(req, call.ReasonCancelled, "")
	}
}

// ownerIsMember reports whether a current member has the keys of that incarnation.
func (n *Node) ownerIsMember(id string) bool {
	if id == "" {
		return false
	}
	_, ok := n.findOwner(id)
	return ok
}

// unsettledFates returns the unsettled fates that match a query and are not yet in
// listed, the fates from the key table: those of calls that this node took part in,
// and those of lost owners for which it is a witness.
func (n *Node) unsettledFates(request string, listed []FateView) []FateView {
	var fates []FateView
	known := make(map[string]bool, len(listed))
	for _, f := range listed {
		known[f.Key] = true
	}
	for _, f := range slices.Concat(n.unsettled.list(n.now(), n.ownerIsMember), n.lostFates()) {
		if known[f.Key] || (request != "" && request != f.Request) {
			continue
		}
		known[f.Key] = true
		fates = append(fates, f)
	}
	return fates
}
