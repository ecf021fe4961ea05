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

// maxUnsettled bounds the list of unsettled fates; the oldest makes room.
const maxUnsettled = 1024

// unsettled lists unrepeatable calls that ended unknown here although another
// node is home of their key.
//
// The failure: a VM is lost with filings in flight, and its key table with it.
// The callers are told unknown or see their connection break, and the list of
// fates that operators work through is empty: the filings die quietly. What the
// remaining nodes saw is enough to name those that they had a part in: calls
// whose home could not be asked, and runs whose caller's node went away.
type unsettled struct {
	mu    sync.Mutex
	fates []FateView
}

// add keeps a fate unless its key is listed already: callers that ask again
// get the same answer, and the first time counts.
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

// list returns those that have neither expired nor a home that can tell more.
func (u *unsettled) list(now time.Time, homeLives func(id string) bool) []FateView {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fates = slices.DeleteFunc(u.fates, func(f FateView) bool { return !now.Before(f.Expires) })
	var open []FateView
	for _, f := range u.fates {
		if !homeLives(f.Home) {
			open = append(open, f)
		}
	}
	return open
}

// noteUnsettled lists a call whose fate the table here does not hold.
func (n *Node) noteUnsettled(req *request, reason call.Reason, home string) {
	if home == "" {
		home = n.probableHome(req)
	}
	if home == n.id {
		return
	}
	now := n.now()
	n.unsettled.add(FateView{
		Key:     observe.RedactKey(req.key),
		State:   atmostonce.StateUnknown.String(),
		Reason:  string(reason),
		Request: call.KeptID(req.call.RequestID),
		Profile: req.call.Profile,
		Home:    home,
		Since:   now,
		Expires: now.Add(n.settings.KeyWindow),
	})
}

// probableHome is the incarnation in a minted key. A brought key was claimed
// by the node at which its caller presented it, whose id begins the request's;
// it is empty if the caller named the request itself.
func (n *Node) probableHome(req *request) string {
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

// noteCallerGone lists an unrepeatable run whose caller's node went away before
// it had the answer. A node keeps up such a call until its deadline, whatever
// its own caller does.
func (n *Node) noteCallerGone(req *request) {
	if req.profile.Unrepeatable && req.key != "" && req.homeHops == 0 && n.now().Before(req.deadline) {
		n.noteUnsettled(req, call.ReasonCancelled, "")
	}
}

// homeLives reports whether a member has the keys of that incarnation.
func (n *Node) homeLives(id string) bool {
	if id == "" {
		return false
	}
	_, ok := n.findHome(id)
	return ok
}

// unsettledFates returns the unsettled fates that a query wants and the table
// has not listed: those that this node had a part in, and those of lost homes
// that it is witness of.
func (n *Node) unsettledFates(request string, listed []FateView) []FateView {
	var fates []FateView
	known := make(map[string]bool, len(listed))
	for _, f := range listed {
		known[f.Key] = true
	}
	for _, f := range slices.Concat(n.unsettled.list(n.now(), n.homeLives), n.lostFates()) {
		if known[f.Key] || (request != "" && request != f.Request) {
			continue
		}
		known[f.Key] = true
		fates = append(fates, f)
	}
	return fates
}
