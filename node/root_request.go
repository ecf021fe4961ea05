package node

import (
	"net/http"
	"strings"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// headerRequestID is the customary header in which callers send a request id.
const headerRequestID = "X-Request-Id"

// rootRequest builds the request that the root sends on. The context that nodes trust
// is created here; apart from a valid request id it takes nothing from the caller. A
// trusted caller, which is the upstream on this VM, needs no customer key.
func (n *Node) rootRequest(w http.ResponseWriter, r *http.Request, service string, trusted bool) (*request, error) {
	profile, err := n.profileFor(service, r)
	if err != nil {
		return nil, err
	}
	current := n.config.Current()
	identity, reason := n.identify(removeAPIKey(r.Header, current), profile, current)
	if trusted {
		// The upstream on this VM makes its calls without a customer key.
		reason = call.ReasonNone
	}
	if reason != call.ReasonNone {
		return nil, &IdentityError{Reason: reason}
	}
	id := r.Header.Get(headerRequestID)
	callerSetID := call.ValidToken(id, call.MaxShortIDLength)
	if !callerSetID {
		id = n.newRequestID()
	}
	trackedOf(r).SetID(id)
	req, err := n.readRequest(w, r, service, profile)
	if err != nil {
		return nil, err
	}
	req.identity = identity
	req.callerSetID = callerSetID
	if req.key, err = keyOf(r.Header); err != nil {
		return nil, err
	}
	timeout := time.Duration(profile.Deadline)
	req.deadline = n.now().Add(timeout)
	req.call = call.Context{
		RequestID: id,
		Profile:   profile.Name,
		Timeout:   timeout,
		Credit:    profile.Credit,
		Customer:  identity.name(),
	}
	req.call.Level = n.rank(r, req)
	req.span = n.startSpan(r.Header)
	return req, nil
}

// rank returns the request's level: its priority, and its rank among the requests of
// that priority. It also sets the request's caller.
func (n *Node) rank(r *http.Request, req *request) call.Level {
	req.caller = callerOf(r, req.profile)
	if name := req.identity.name(); name != "" {
		req.caller = name
	}
	caller := req.caller
	if n.settings.Ablate.NoFairness {
		caller = req.call.RequestID
	}
	tie := n.ranker.Rank(req.call.Profile, caller, n.now())
	return call.MakeLevel(n.config.Current().PriorityFor(req.identity.customer, req.profile), tie)
}

// callerOf returns what identifies the caller for fairness: the value of the profile's
// caller header, else the credentials, else the address.
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

// noteCallerRetry recognizes a caller's own retry by its idempotency key or its request id,
// and gives it no retry credit if the first request used its own. The retries of one request
// are bounded over the whole call chain, to which its caller belongs. It returns the id if this
// is the first request, and "" otherwise.
func (n *Node) noteCallerRetry(req *request) (firstID string) {
	id := req.key
	if id == "" && req.callerSetID {
		id = req.call.RequestID
	}
	if id == "" {
		return ""
	}
	if n.repeats.Seen(id, n.now()) == 0 {
		return id
	}
	req.call.Credit = 0
	n.metrics.Profile(req.call.Profile).Retry(callerRetry)
	return ""
}

// keepCredit lets the retry of a request that used none of its credit begin with all of it.
func (n *Node) keepCredit(req *request, firstID string) {
	if firstID != "" && req.creditUnused {
		n.repeats.Forget(firstID, n.now())
	}
}
