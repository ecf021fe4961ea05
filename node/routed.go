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

// serveRouted is the root of every request where a dialect is spoken: those of
// callers on this VM and those of its upstream.
func (n *Node) serveRouted(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	n.retireConn(w.Header(), r)
	if run := turnOf(r); run != nil {
		n.serveBegun(w, r, run)
		return
	}
	req, refused := n.routedRequest(w, r)
	if refused != nil {
		n.writeRefused(w, refused, r)
		return
	}
	parent := n.parentOf(req)
	if parent == nil {
		if req.whose.customer == nil && n.config.Current().KeyRequired(req.profile) {
			// The run that made it has ended since it was let in as a call of it.
			n.writeRefused(w, n.refuse(call.NotRun, call.ReasonVisitClosed, 0), r)
			return
		}
		n.serveRoot(w, r, req)
		return
	}
	report := call.Report{Outcome: call.Unknown}
	defer func() { parent.end(report, n.now()) }()
	ctx, cancel := mergeContext(r.Context(), parent.ctx, req.deadline)
	defer cancel()
	report = n.serveRoot(w, r.WithContext(ctx), req)
}

// parentOf finds the run that a call of the upstream is made for, and has the
// call inherit from it: it ranks as the request that needs it, and can't
// outlive it. It returns nil for a request of a caller, and for a call whose
// run isn't known. A request whose id tells no parent is a caller's.
//
// The failure: calls were guessed by their route, a customers' route ranked as
// high as the routes of calls, and its requests were never refused where they
// began; 1305 of 4818 requests of the highest rank were refused in their place.
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
	n.graph.CalledBy(parent.call.Profile, req.call.Profile, n.now())
	req.parent = parent
	req.call.Depth = min(parent.call.Depth+1, call.MaxDepth)
	req.call.Progress = max(parent.progress(), 1)
	req.call.Level = parent.call.Level
	req.call.HeldBack = parent.call.HeldBack
	req.call.Repeat = parent.call.Repeat
	req.remaining = n.graph.Needs(parent.call.Profile, req.call.Profile) - parent.completedOf(req.call.Profile)
	if parent.deadline.Before(req.deadline) {
		req.deadline = parent.deadline
	}
	return parent
}

// writeRefused answers a request that has no route or can't be read. Nothing
// was run.
func (n *Node) writeRefused(w http.ResponseWriter, a *answer, r *http.Request) {
	id := ""
	if told, err := n.settings.Dialect.ReadCaller(r.Header); err == nil {
		id = told.ID
	}
	req := &request{call: call.Context{RequestID: id}}
	n.finishRefusal(a, req)
	if err := writeAnswer(w, a); err != nil {
		n.noteAbort(req, err)
	}
}

// routedRequest reads a request and finds its route, or returns the refusal.
func (n *Node) routedRequest(w http.ResponseWriter, r *http.Request) (*request, *answer) {
	if n.closed.Load() {
		return nil, n.refuse(call.NotRun, call.ReasonDraining, endRetry)
	}
	if !n.config.Status().Heard {
		// A node that knows no configuration can't say that a route isn't there.
		return nil, n.refuse(call.NotRun, call.ReasonNoConfig, noConfigRetry)
	}
	told, err := n.settings.Dialect.ReadCaller(r.Header)
	if err != nil {
		return nil, n.refuse(call.NotRun, n.noteBad(err), 0)
	}
	current := n.config.Current()
	route := current.Route(hostOf(r.Host), rawPath(r))
	if route == nil {
		return nil, n.refuseUnrouted(current.Version())
	}
	service := call.ServiceToken(pickShare(route.Shares, rand.Uint64()))
	if service == "" {
		// The route is there, so its callers may come back; operators have yet
		// to name who serves it.
		return nil, n.refuse(call.NotRun, call.ReasonNoTarget, unservedRetry)
	}
	profile := current.Profile(route.Profile)
	whose, stranger := n.identify(told.Key, profile, current)
	if parent := n.settings.Dialect.ParentOf(told.ID); parent != "" && !told.Key.Sent() && stranger != call.ReasonNone {
		// Calls bring no key: the request that they are made for did.
		if _, made := n.visits.find(parent); !made {
			return nil, n.refuse(call.NotRun, call.ReasonVisitClosed, 0)
		}
		whose, stranger = ownership{}, call.ReasonNone
	}
	if stranger != call.ReasonNone {
		return nil, n.refuseStranger(told.ID, stranger)
	}
	req, err := n.readRequest(w, r, service, profile)
	if err != nil {
		return nil, n.refuse(call.NotRun, n.noteBad(err), 0)
	}
	n.strip(req.header)
	req.idempotent = !profile.Unrepeatable
	timeout := time.Duration(profile.Deadline)
	if told.Timeout > 0 {
		timeout = min(timeout, told.Timeout)
	}
	req.deadline = n.now().Add(timeout)
	req.call = call.Context{
		RequestID: told.ID,
		Profile:   profile.Name,
		Timeout:   timeout,
		Credit:    profile.Credit,
		Host:      r.Host,
		Origin:    n.origin,
	}
	req.whose = whose
	req.call.Customer = whose.name()
	req.call.Level = drawLevel(current.PriorityFor(whose.customer, profile), rand.Uint64())
	req.span = n.startSpan(r.Header)
	return req, nil
}

// refuseUnrouted refuses a request for which a version has no route. While a later
// one is known to exist, that is not the last word: also one that has come into force
// since the route was looked up.
//
// The failure: operators add a route, and a node that has not got the version yet,
// or refuses it, answers that there is no such route. Callers take that for final.
func (n *Node) refuseUnrouted(version uint64) *answer {
	reason, retry := call.ReasonNoRoute, time.Duration(0)
	if n.laterThan(version) {
		reason, retry = call.ReasonConfigBehind, behindRetry
	}
	n.metrics.Unrouted.With(string(reason)).Inc(1)
	return n.refuse(call.NotRun, reason, retry)
}

// behindRetry is the least Retry-After of a node that lacks a version: a peer has
// it within a few messages.
const behindRetry = 250 * time.Millisecond

// drawLevel places a request among those of its priority by chance. A dialect
// does not tell callers apart: those of a VM share its address, and ranked by it
// they would all crowd into a few levels, of which only whole ones can be
// refused.
func drawLevel(priority call.Priority, random uint64) call.Level {
	return call.MakeLevel(priority, call.Tiebreak(random%(uint64(call.MaxTiebreak)+1)))
}

// noConfigRetry is the least Retry-After of a node without a configuration: it
// gets one within a round trip to the platform or a peer.
const noConfigRetry = 250 * time.Millisecond

// unservedRetry is the least Retry-After of a route that names no service: it
// takes an operator's change to be served.
const unservedRetry = time.Second

// endRetry is the least Retry-After of a node that ends: its callers are on another
// one by then.
const endRetry = 50 * time.Millisecond

// hostOf drops the port from a Host header.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// rawPath is the path as it came, without its query. A path whose escapes are the
// usual ones is kept only decoded.
func rawPath(r *http.Request) string { return r.URL.EscapedPath() }

// pickShare draws one of the services of a route, each with the probability of
// its weight. What a service refuses is not moved to another: its share would
// then not be the one that the operator set. It returns "" where no share is
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

// maxHeldAnswer is the longest answer that the node beside the upstream holds
// until it is whole. A longer one is streamed.
const maxHeldAnswer = 128 << 10

// heldBody reads an answer of the upstream to its end before its head is sent
// on. An upstream that breaks off midway then costs the caller another attempt
// at most, never half an answer, and a slow caller does not hold its slot.
func heldBody(resp *http.Response) ([]byte, bool, error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxHeldAnswer {
		return nil, false, nil
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, false, &TruncatedError{Cause: err}
	}
	// The end is read too, or the connection is not used again.
	if _, err := resp.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return nil, false, &TruncatedError{Cause: err}
	}
	return body, true, nil
}
