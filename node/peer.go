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

// servePeer takes calls from other nodes: those for the local upstream, and
// those forwarded to this node as the home of their key.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	if r.Method == http.MethodConnect && r.URL.Path == handoverPath {
		n.serveHandover(w, r)
		return
	}
	if n.takesNotes(r) {
		n.serveWitness(w, r)
		return
	}
	if n.takesSuspects(r) {
		n.serveSuspects(w, r)
		return
	}
	if n.takesQuotaAsks(r) {
		n.serveQuotaAsk(w, r)
		return
	}
	if err := checkTarget(r); err != nil {
		n.writeBad(w, r, err)
		return
	}
	c, err := n.extract(r.Header)
	if err != nil {
		n.writeBad(w, r, err)
		return
	}
	homeHops, err := homeHopsOf(r.Header)
	if err != nil {
		n.writeBad(w, r, err)
		return
	}
	service := r.Host
	if service != n.settings.Service && n.spoken() {
		// The address now belongs to another VM than the sender takes it for.
		n.writePeerRefusal(w, c, n.refuse(call.NotRun, call.ReasonOtherInstance, 0))
		return
	}
	if service != n.settings.Service && homeHops == 0 {
		n.writeBad(w, r, &WrongServiceError{Service: service, Want: n.settings.Service})
		return
	}
	profile := n.profileOf(c.Profile, r)
	req, err := n.readBelowRoot(w, r, service, profile)
	if err != nil {
		n.writeBad(w, r, err)
		return
	}
	req.call = c
	req.deadline = n.now().Add(c.Timeout)
	if n.spoken() {
		req.idempotent = !profile.Unrepeatable
	}
	n.strip(req.header)
	req.homeHops = homeHops
	n.answerPeer(w, r, req)
}

// answerPeer runs another node's call and writes its answer.
func (n *Node) answerPeer(w http.ResponseWriter, r *http.Request, req *request) {
	start := n.now()
	a := n.runPeer(r.Context(), req)
	if req.homeHops > 0 {
		n.recordStep(req, a, observe.Root, start)
	}
	gone := r.Context().Err() != nil
	if a.refusal != nil {
		setRetryAfter(a.header, a.refusal.after)
	}
	defer a.close()
	limitWrite(w, req.deadline)
	err := writeAnswer(w, a)
	if gone || err != nil {
		n.noteCallerGone(req)
	}
	if err != nil {
		n.abort(req, err)
	}
}

// extract reads the context of a call. Only in a dialect do ids grow with the depth
// of a call; elsewhere an id is one that a root gave, and its records are kept.
func (n *Node) extract(h http.Header) (call.Context, error) {
	c, err := call.Extract(h)
	if err == nil && !n.spoken() && len(c.RequestID) > call.KeptIDLength {
		want := "at most " + strconv.Itoa(call.KeptIDLength) + " characters"
		return call.Context{}, &call.HeaderError{Header: call.HeaderRequest, Value: c.RequestID, Want: want}
	}
	return c, err
}

// writePeerRefusal tells another node of a refusal that needs no decision.
func (n *Node) writePeerRefusal(w http.ResponseWriter, c call.Context, a *answer) {
	if err := writeAnswer(w, a); err != nil {
		n.noteAbort(&request{call: c}, err)
	}
}

// profileOf finds the root's profile. One that this node's configuration does
// not have (the sender's is newer) is replaced by the match here.
func (n *Node) profileOf(name string, r *http.Request) *config.Profile {
	current := n.config.Current()
	if profile := current.Profile(name); profile != nil {
		return profile
	}
	return current.Match(n.settings.Service, r.Method, r.URL.Path)
}

func (n *Node) runPeer(ctx context.Context, req *request) *answer {
	if n.busy(admission.PeerCall) {
		return n.refuse(call.NotRun, call.ReasonBusy, 0)
	}
	if req.homeHops > 0 {
		return n.runKeyed(ctx, req)
	}
	return n.runLocal(ctx, req)
}

// homeHopsOf reads how often a call was passed on in search of its key's home,
// 0 without the header. Anything unreadable is refused: taken for a number it
// would let a call for another service through.
func homeHopsOf(h http.Header) (int, error) {
	value := h.Get(call.HeaderHome)
	if value == "" {
		return 0, nil
	}
	hops, err := strconv.Atoi(value)
	if err != nil || hops < 1 || hops > maxHomeHops {
		return 0, &call.HeaderError{Header: call.HeaderHome, Value: value, Want: "a number from 1 to " + strconv.Itoa(maxHomeHops)}
	}
	return hops, nil
}
