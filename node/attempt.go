package node

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/routing"
)

// upstreamRequest builds the request to the local upstream.
func (n *Node) upstreamRequest(up *upstream, v *visit, req *request) *http.Request {
	out := outgoing(up.Addr, req, upstreamFields)
	if n.usesDialect() {
		out.Host = req.call.Host
		n.settings.Dialect.WriteUpstream(out.Header, n.upstreamDescription(up, req))
		return out
	}
	out.Host = req.service
	if req.call.Customer != "" {
		out.Header.Set(call.HeaderCustomer, req.call.Customer)
	}
	setFields(out.Header,
		field{call.HeaderRequest, req.call.RequestID},
		field{call.HeaderVisit, v.id},
		field{call.HeaderProfile, req.call.Profile},
		field{call.HeaderTimeout, timeoutValue(req.deadline.Sub(n.now()))},
		field{call.HeaderTraceParent, req.span.String()})
	return out
}

// upstreamDescription returns what a dialect reports to the upstream about a request.
func (n *Node) upstreamDescription(up *upstream, req *request) UpstreamRequest {
	return UpstreamRequest{
		ID:       req.call.RequestID,
		Origin:   req.call.Origin,
		Customer: req.call.Customer,
		Instance: up.Instance,
		Timeout:  req.deadline.Sub(n.now()),
	}
}

// peerRequest builds the request to another node. heard is what the upstream beside that
// node has stated.
func (n *Node) peerRequest(addr string, req *request, lent int, heard call.UpstreamNotice) *http.Request {
	out := outgoing(addr, req, peerFields)
	out.Host = req.service
	n.peerContext(req, lent, heard).Inject(out.Header)
	setFields(out.Header, field{call.HeaderTraceParent, req.span.String()})
	return out
}

// peerContext returns the context of a call to another node.
func (n *Node) peerContext(req *request, lent int, heard call.UpstreamNotice) call.Context {
	down := req.call
	down.Credit = lent
	down.Timeout = req.deadline.Sub(n.now())
	down.Upstream = heard
	return down
}

// upstreamFields and peerFields are the usual numbers of headers that the node adds to a
// request to the upstream and to another node.
const (
	upstreamFields = 6
	peerFields     = 10
)

// outgoing builds the parts of a request that all attempts share. Its header map has
// capacity for extraHeaders more headers.
func outgoing(addr string, req *request, extraHeaders int) *http.Request {
	body, length := req.body.open()
	if len(req.trailer) > 0 {
		length = -1 // trailers need a chunked body
	}
	u := &url.URL{
		Scheme:     "http",
		Host:       addr,
		Path:       req.url.Path,
		RawPath:    req.url.RawPath,
		RawQuery:   req.url.RawQuery,
		ForceQuery: req.url.ForceQuery,
	}
	out := &http.Request{
		Method:        req.method,
		URL:           u,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        copyHeader(req.header, extraHeaders),
		Body:          body,
		ContentLength: length,
		Trailer:       req.trailer,
	}
	if length == 0 && usuallyWithoutBody(req.method) {
		out.TransferEncoding = identityEncoding
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// Without this entry net/http sends its own User-Agent.
		out.Header["User-Agent"] = []string{""}
	}
	// This node has read the body already, so no sender waits for 100 Continue.
	out.Header.Del("Expect")
	if req.key != "" {
		out.Header.Set(call.HeaderIdempotencyKey, req.key)
	}
	return out
}

// attemptPeer sends the call to another node once. The outcome is the one that the other
// node reports, or unknown without a report. A call that provably never left this process
// is not-run.
func (n *Node) attemptPeer(ctx context.Context, addr string, req *request, lent int, home string) *answer {
	if !n.peerLimiter.acquire(addr) {
		a := n.refuse(call.NotRun, call.ReasonPeerFull, 0)
		a.report.Hop = req.service
		a.report.CreditLeft = lent
		return a
	}
	callCtx, cancelCall := withDeadline(ctx, req.deadline)
	release := func() {
		cancelCall()
		n.peerLimiter.release(addr)
	}
	heard := n.heardNotices.forCall(addr, n.now())
	if n.links != nil {
		if a := n.attemptLink(callCtx, release, addr, req, lent, home, heard); a != nil {
			if a.reported {
				n.heardNotices.record(addr, heard, a.report, n.now())
			}
			return a
		}
	}
	cancel := sync.OnceFunc(release)
	out := n.peerRequest(addr, req, lent, heard)
	if home != "" {
		out.Header.Set(call.HeaderHome, home)
	}
	resp, unsent, err := n.roundTrip(callCtx, n.peers, out)
	if err != nil {
		defer cancel()
		return n.peerFailed(callCtx, req, unsent || n.settings.Ablate.NoSealing, lent, err)
	}
	a := n.peerAnswered(cancel, req, resp)
	n.heardNotices.record(addr, heard, a.report, n.now())
	return a
}

func (n *Node) peerFailed(ctx context.Context, req *request, unsent bool, lent int, err error) *answer {
	reason := lossReason(ctx, err)
	if !unsent {
		a := n.refuse(call.Unknown, reason, 0)
		a.report.Hop = req.service
		return a
	}
	if reason == call.ReasonLost {
		reason = call.ReasonConnect
	}
	a := n.refuse(call.NotRun, reason, 0)
	a.report.Hop = req.service
	a.report.CreditLeft = lent
	return a
}

func (n *Node) peerAnswered(cancel context.CancelFunc, req *request, resp *http.Response) *answer {
	report, err := call.ExtractReport(resp.Header)
	if err != nil {
		// An answer without a readable outcome proves nothing: it may come from a
		// server that is not a node.
		cancel()
		_ = resp.Body.Close()
		n.metrics.Malformed.With(malformedAnswer).Inc(1)
		n.log.Emit(observe.MalformedAnswer, observe.Str("of", req.service), observe.Err(err))
		a := n.refuse(call.Unknown, call.ReasonLost, 0)
		a.report.Hop = req.service
		return a
	}
	header := resp.Header
	after := parseRetryAfter(header)
	stale := header.Get(call.HeaderStale)
	stripHop(header)
	n.stripReservedHeaders(header)
	a := &answer{report: report, reported: true, status: resp.StatusCode, header: header, resp: resp, stale: stale}
	a.body = &cancelBody{readCloser: resp.Body, cancel: cancel}
	if report.Outcome != call.Complete {
		a.refusal = &refusal{outcome: report.Outcome, reason: report.Reason, after: after}
	}
	return a
}

// cancelBody cancels the attempt's context when its body is closed.
type cancelBody struct {
	readCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.readCloser.Close()
	b.cancel()
	return err
}

// attempt sends the request once to the target that routing picked.
func (n *Node) attempt(ctx context.Context, target routing.Target, req *request, lent int) *answer {
	if target.ID != n.id {
		return n.attemptPeer(ctx, target.Addr, req, lent, "")
	}
	local := *req
	local.span = req.span.child()
	local.call.Credit = lent
	return n.runLocal(ctx, &local)
}

// routingFeedback returns the feedback that routing gets from an answer.
func routingFeedback(a *answer, service string, latency time.Duration) routing.Feedback {
	return routing.Feedback{
		Outcome:    a.report.Outcome,
		Reason:     a.report.Reason,
		Downstream: a.report.Hop != "" && a.report.Hop != service,
		Latency:    latency,
		Load:       a.report.Load,
		Level:      a.report.HighestAdmitLevel,
	}
}
