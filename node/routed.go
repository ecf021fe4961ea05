package node

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// serveRouted handles every request of a node with a dialect: those of callers on this
// VM and those of its upstream. This node is their root.
func (n *Node) serveRouted(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	if run := takeEarlyRun(r); run != nil {
		n.serveEarlyRun(w, r, run)
		return
	}
	req, refused := n.routedRequest(w, r)
	if refused != nil {
		n.writeRefused(w, refused, r)
		return
	}
	parent := n.parentOf(req)
	if parent == nil {
		if n.madeForAbandonedVisit(req) || req.identity.customer == nil && n.config.Current().KeyRequired(req.profile) {
			// The visit that made this call has ended or lost its caller since the call
			// was accepted as a part of it.
			n.writeRefused(w, n.refuse(call.NotRun, call.ReasonVisitClosed, 0), r)
			return
		}
		n.serveRoot(r.Context(), w, r, req)
		return
	}
	report := call.Report{Outcome: call.Unknown}
	defer func() { parent.end(report, n.now()) }()
	ctx, cancel := n.callContext(r.Context(), parent, req.deadline)
	defer cancel()
	req.cancel = cancel
	report = n.serveRoot(ctx, w, r, req)
}

// parentOf finds the visit that an upstream's call is made for. The call inherits from
// that visit: it gets the level of the request that needs it, and can't outlive it.
// parentOf returns nil for a call whose visit isn't known and for a caller's request,
// which is any request whose id names no parent.
//
// When calls were recognized by their route instead, a customers' route that had the
// same rank as the routes of calls was never refused at the root; 1305 of 4818
// requests of the highest rank were refused in its place.
func (n *Node) parentOf(req *request) *visit {
	id := n.settings.Dialect.ParentOf(req.call.RequestID)
	if id == "" {
		return nil
	}
	req.call.Depth = 1
	req.call.Progress = 1
	parent, ok := n.visits.find(id)
	if !ok || !parent.begin(n.now()) {
		return nil
	}
	n.graph.RecordCall(parent.call.Profile, req.call.Profile, n.now())
	req.parent = parent
	req.call.Depth = min(parent.call.Depth+1, call.MaxDepth)
	req.call.Progress = max(parent.progress(), 1)
	req.call.Level = parent.call.Level
	req.call.RefusedShare = parent.call.RefusedShare
	req.call.Repeat = parent.call.Repeat
	req.remaining = n.graph.CallsNeeded(parent.call.Profile, req.call.Profile) - parent.completedOf(req.call.Profile)
	if parent.deadline.Before(req.deadline) {
		req.deadline = parent.deadline
	}
	return parent
}

// madeForAbandonedVisit reports whether a request is a call for a visit whose caller no longer
// waits.
func (n *Node) madeForAbandonedVisit(req *request) bool {
	id := n.settings.Dialect.ParentOf(req.call.RequestID)
	if id == "" {
		return false
	}
	parent, ok := n.visits.find(id)
	return ok && parent.isAbandoned()
}

// writeRefused writes the refusal of a request that has no route or can't be read. The
// request has not run.
func (n *Node) writeRefused(w http.ResponseWriter, a *answer, r *http.Request) {
	id := ""
	if stated, err := n.settings.Dialect.ReadCaller(r.Header); err == nil {
		id = stated.ID
	}
	req := &request{call: call.Context{RequestID: id}}
	n.finishRefusal(a, req)
	n.retireConn(w.Header(), r)
	if err := writeAnswer(w, a); err != nil {
		n.cutAnswer(trackedOf(r), req, err)
	}
}

// routedRequest reads a request and finds its route, or returns the refusal.
func (n *Node) routedRequest(w http.ResponseWriter, r *http.Request) (*request, *answer) {
	if n.refusesNew() && !n.madeForOpenVisit(r) {
		return nil, n.refuse(call.NotRun, call.ReasonDraining, shutdownRetry)
	}
	if !n.config.Status().HasStoredSet {
		// Without a configuration a node can't know whether a route exists.
		return nil, n.refuse(call.NotRun, call.ReasonNoConfig, noConfigRetry)
	}
	stated, err := n.settings.Dialect.ReadCaller(r.Header)
	if err != nil {
		return nil, n.refuse(call.NotRun, n.logBadRequest(err), 0)
	}
	trackedOf(r).SetID(stated.ID)
	current := n.config.Current()
	route := current.Route(hostOf(r.Host), rawPath(r))
	if route == nil {
		return nil, n.refuseUnrouted(current.Version())
	}
	service := call.ServiceToken(pickShare(route.Shares, rand.Uint64()))
	if service == "" {
		// The route exists, so its callers may retry; operators have not yet named a
		// service for it.
		return nil, n.refuse(call.NotRun, call.ReasonNoTarget, noServiceRetry)
	}
	profile := current.Profile(route.Profile)
	identity, unidentified := n.identify(stated.Key, profile, current)
	if parent := n.settings.Dialect.ParentOf(stated.ID); parent != "" && !stated.Key.Sent() && unidentified != call.ReasonNone {
		// Calls carry no customer key: the request that they are made for did.
		if _, made := n.visits.find(parent); !made {
			return nil, n.refuse(call.NotRun, call.ReasonVisitClosed, 0)
		}
		identity, unidentified = ownership{}, call.ReasonNone
	}
	if unidentified != call.ReasonNone {
		return nil, n.refuseUnidentified(stated.ID, unidentified)
	}
	req, err := n.readRequest(w, r, service, profile)
	if err != nil {
		return nil, n.refuse(call.NotRun, n.logBadRequest(err), 0)
	}
	n.stripReservedHeaders(req.header)
	req.idempotent = !profile.Unrepeatable
	timeout := time.Duration(profile.Deadline)
	if stated.Timeout > 0 {
		timeout = min(timeout, stated.Timeout)
	}
	req.deadline = n.now().Add(timeout)
	req.call = call.Context{
		RequestID: stated.ID,
		Profile:   profile.Name,
		Timeout:   timeout,
		Credit:    profile.Credit,
		Host:      r.Host,
		Origin:    n.configuredService,
	}
	req.identity = identity
	req.call.Customer = identity.name()
	req.call.Level = randomLevel(current.PriorityFor(identity.customer, profile), rand.Uint64())
	req.span = n.startSpan(r.Header)
	return req, nil
}

// madeForOpenVisit reports whether a request is a call that the upstream on this VM makes
// for a visit that is open. Such calls are accepted for longer than new requests, since requests
// that were accepted before would fail without them.
func (n *Node) madeForOpenVisit(r *http.Request) bool {
	parent := n.settings.Dialect.ParentOf(n.requestIDOf(r))
	if parent == "" {
		return false
	}
	_, open := n.visits.find(parent)
	return open
}

// refuseUnrouted refuses a request for which a configuration version has no route. If
// a later version is known to exist, the refusal asks the caller to retry. That
// includes a version that came into force after the route was looked up.
//
// Otherwise, after operators add a route, a node that has not yet received the
// version, or refuses it, would answer that the route doesn't exist, and callers would
// take that as final.
func (n *Node) refuseUnrouted(version uint64) *answer {
	reason, retry := call.ReasonNoRoute, time.Duration(0)
	if n.laterThan(version) {
		reason, retry = call.ReasonConfigBehind, configBehindRetry
	}
	n.metrics.Unrouted.With(string(reason)).Inc(1)
	return n.refuse(call.NotRun, reason, retry)
}

// configBehindRetry is the least Retry-After of a node that lacks a configuration version:
// nodes receive it from each other within a few messages.
const configBehindRetry = 250 * time.Millisecond

// randomLevel gives a request a random rank among those of its priority. With a dialect,
// callers can't be told apart: those on one VM share its address. Ranked by address
// they would all fall into a few levels, and levels can only be refused as a whole.
func randomLevel(priority call.Priority, random uint64) call.Level {
	return call.MakeLevel(priority, call.Tiebreak(random%(uint64(call.MaxTiebreak)+1)))
}

// noConfigRetry is the least Retry-After of a node without a configuration: it
// receives one within a round trip to the platform or a peer.
const noConfigRetry = 250 * time.Millisecond

// noServiceRetry is the least Retry-After of a route that names no service: an operator
// has to change the configuration first.
const noServiceRetry = time.Second

// shutdownRetry is the least Retry-After of a node that shuts down: by then its callers use
// another node.
const shutdownRetry = 50 * time.Millisecond

// hostOf returns the host of a Host header in lower case, without the port.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// rawPath returns the path as received, without its query. If all escapes are the
// standard ones, net/url stores only the decoded path, and EscapedPath encodes it
// again.
func rawPath(r *http.Request) string { return r.URL.EscapedPath() }

// pickShare draws one of the services of a route with the probability of its weight. A
// request that one service refuses is not moved to another, since the shares would
// then differ from those that the operator set. pickShare returns "" if no weight is
// above 0.
func pickShare(shares []config.Share, random uint64) string {
	total := uint64(0)
	for _, s := range shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	left := random % total
	for _, s := range shares {
		if left < uint64(s.Weight) {
			return s.Service
		}
		left -= uint64(s.Weight)
	}
	return ""
}

// maxBufferedAnswer is the longest answer, in bytes, that the node beside the upstream
// buffers completely before it sends the head on. A longer one is streamed.
const maxBufferedAnswer = 128 << 10

// bufferBody reads an answer of the upstream to its end before its head is sent on. If
// the upstream fails midway, the caller at most waits for another attempt and never gets
// half an answer, and a slow caller doesn't occupy the upstream's slot. bufferBody
// reports false for an answer that is too long or has no length.
func bufferBody(resp *http.Response) ([]byte, bool, error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedAnswer {
		return nil, false, nil
	}
	// One byte more than the body, for the read that finds its end.
	buf := make([]byte, resp.ContentLength+1)
	body, rest := buf[:resp.ContentLength], buf[resp.ContentLength:]
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, false, &TruncatedError{Cause: err}
	}
	// Read up to EOF, since otherwise the transport doesn't reuse the connection.
	if _, err := resp.Body.Read(rest); !errors.Is(err, io.EOF) {
		return nil, false, &TruncatedError{Cause: err}
	}
	return body, true, nil
}
