package node

import (
	"context"
	"net/http"
	"strconv"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/observe"
)

// servePeer handles requests of other nodes: calls for the local upstream, calls
// forwarded to this node as the owner of their key, and messages between nodes
// (hand-over, witness notes, quarantine and quota).
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	if r.Method == http.MethodConnect && r.URL.Path == handoverPath {
		n.serveHandover(w, r)
		return
	}
	if n.isNotesRequest(r) {
		n.serveWitness(w, r)
		return
	}
	if n.isSuspectsMessage(r) {
		n.serveSuspects(w, r)
		return
	}
	if n.isTokenRequest(r) {
		n.serveTokenRequest(w, r)
		return
	}
	if err := checkTarget(r); err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	c, err := n.extract(r.Header)
	if err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	ownerHops, err := readOwnerHops(r.Header)
	if err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	trackedOf(r).SetID(c.RequestID)
	service := r.Host
	if service != n.settings.Service && n.usesDialect() {
		// The address now belongs to another VM than the sender assumes.
		n.writePeerRefusal(w, c, n.refuse(call.NotRun, call.ReasonOtherInstance, 0))
		return
	}
	if service != n.settings.Service && ownerHops == 0 {
		n.answerBadRequest(w, r, &WrongServiceError{Service: service, Want: n.settings.Service})
		return
	}
	profile := n.profileOf(c.Profile, r)
	req, err := n.readDownstream(w, r, service, profile)
	if err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	req.call = c
	req.deadline = n.now().Add(c.Timeout)
	if n.usesDialect() {
		req.idempotent = !profile.Unrepeatable
	}
	n.stripReservedHeaders(req.header)
	req.ownerHops = ownerHops
	n.answerPeer(w, r, req)
}

// answerPeer runs another node's call and writes the answer.
func (n *Node) answerPeer(w http.ResponseWriter, r *http.Request, req *request) {
	start := n.now()
	a := n.runPeer(r.Context(), req)
	if req.ownerHops > 0 {
		n.recordStep(req, a, observe.Root, start)
	}
	gone := r.Context().Err() != nil
	if a.refusal != nil {
		setRetryAfter(a.header, a.refusal.after)
	}
	defer a.close()
	setWriteDeadline(w, req.deadline)
	if n.closed.Load() {
		// The peer opens no new request on a connection that is about to be closed: it
		// could not tell whether the request was read.
		w.Header().Set("Connection", "close")
	}
	err := writeAnswer(w, a)
	if gone || err != nil {
		n.noteCallerDisconnected(req)
	}
	if err != nil {
		n.abort(trackedOf(r), req, err)
	}
}

// extract reads the call context from the headers. Only with a dialect do request ids
// grow with the depth of a call. Without a dialect a request id is the one that a root
// assigned, and an id longer than call.MaxShortIDLength is rejected.
func (n *Node) extract(h http.Header) (call.Context, error) {
	c, err := call.Extract(h)
	if err != nil {
		return c, err
	}
	if err := n.checkID(c.RequestID); err != nil {
		return call.Context{}, err
	}
	return c, nil
}

// checkID checks the id of another node's call.
func (n *Node) checkID(id string) error {
	if n.usesDialect() || len(id) <= call.MaxShortIDLength {
		return nil
	}
	want := "at most " + strconv.Itoa(call.MaxShortIDLength) + " characters"
	return &call.HeaderError{Header: call.HeaderRequest, Value: id, Want: want}
}

// writePeerRefusal refuses another node's call before its request is read.
func (n *Node) writePeerRefusal(w http.ResponseWriter, c call.Context, a *answer) {
	if err := writeAnswer(w, a); err != nil {
		n.noteAbort(&request{call: c}, err)
	}
}

// profileOf returns the profile that the root chose. If this node's configuration does
// not have it, because the sender's is newer, it returns the profile that matches the
// request here.
func (n *Node) profileOf(name string, r *http.Request) *config.Profile {
	current := n.config.Current()
	if profile := current.Profile(name); profile != nil {
		return profile
	}
	return current.Match(n.settings.Service, r.Method, r.URL.Path)
}

func (n *Node) runPeer(ctx context.Context, req *request) *answer {
	if n.refusesNew() {
		return n.refuse(call.NotRun, call.ReasonDraining, 0)
	}
	if n.busy(admission.PeerCall) {
		return n.refuse(call.NotRun, call.ReasonBusy, 0)
	}
	if req.ownerHops > 0 {
		return n.runKeyed(ctx, req)
	}
	return n.runLocal(ctx, req)
}

// readOwnerHops returns how often a call was forwarded in search of its key's owner, 0 if
// the header is missing. An invalid value is rejected: if it were read as a number, it
// would let a call for another service through.
func readOwnerHops(h http.Header) (int, error) {
	value := h.Get(call.HeaderHome)
	if value == "" {
		return 0, nil
	}
	hops, err := strconv.Atoi(value)
	if err != nil || hops < 1 || hops > maxOwnerHops {
		return 0, &call.HeaderError{Header: call.HeaderHome, Value: value, Want: "a number from 1 to " + strconv.Itoa(maxOwnerHops)}
	}
	return hops, nil
}
