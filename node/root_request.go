package node

import (
	"net/http"
	"strings"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// headerRequestID is the customary name under which callers send an id.
const headerRequestID = "X-Request-Id"

// rootRequest builds the request that the root sends on. Everything that
// nodes trust is made here; nothing of it comes from the caller.
// A trusted caller, the upstream here, needs no key.
func (n *Node) rootRequest(w http.ResponseWriter, r *http.Request, service string, trusted bool) (*request, error) {
	profile, err := n.profileFor(service, r)
	if err != nil {
		return nil, err
	}
	current := n.config.Current()
	whose, reason := n.identify(takeKey(r.Header, current), profile, current)
	if trusted {
		// The upstream beside this node calls out without a key.
		reason = call.ReasonNone
	}
	if reason != call.ReasonNone {
		return nil, &IdentityError{Reason: reason}
	}
	req, err := n.readRequest(w, r, service, profile)
	if err != nil {
		return nil, err
	}
	req.whose = whose
	if req.key, err = keyOf(r.Header); err != nil {
		return nil, err
	}
	id := r.Header.Get(headerRequestID)
	req.named = call.ValidToken(id, call.KeptIDLength)
	if !req.named {
		id = n.newRequestID()
	}
	timeout := time.Duration(profile.Deadline)
	req.deadline = n.now().Add(timeout)
	req.call = call.Context{
		RequestID: id,
		Profile:   profile.Name,
		Timeout:   timeout,
		Credit:    profile.Credit,
		Customer:  whose.name(),
	}
	req.call.Level = n.rank(r, req)
	req.span = n.startSpan(r.Header)
	return req, nil
}

// rank places the request among those of its priority.
func (n *Node) rank(r *http.Request, req *request) call.Level {
	req.caller = callerOf(r, req.profile)
	if name := req.whose.name(); name != "" {
		req.caller = name
	}
	caller := req.caller
	if n.settings.Ablate.NoFairness {
		caller = req.call.RequestID
	}
	tie := n.ranker.Rank(req.call.Profile, caller, n.now())
	return call.MakeLevel(n.config.Current().PriorityFor(req.whose.customer, req.profile), tie)
}

// callerOf names who is asking, for fairness: the profile's header, else the
// credentials, else the address.
func callerOf(r *http.Request, profile *config.Profile) string {
	if profile.CallerHeader != "" {
		if caller := r.Header.Get(profile.CallerHeader); caller != "" {
			return caller
		}
	}
	if credentials := r.Header.Get("Authorization"); credentials != "" {
		return credentials
	}
	host := r.RemoteAddr
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	return host
}

// callerRetry is the metric label of a retry that a caller made.
const callerRetry = "caller"

// noteRepeat recognises a caller's own retry by its key or its request id and
// takes the chain's credit from it: the first request already had it.
func (n *Node) noteRepeat(req *request) {
	id := req.key
	if id == "" && req.named {
		id = req.call.RequestID
	}
	if id == "" {
		return
	}
	if n.repeats.Seen(id, n.now()) == 0 {
		return
	}
	req.call.Credit = 0
	n.metrics.Profile(req.call.Profile).Retry(callerRetry)
}
