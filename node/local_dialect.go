package node

import (
	"net/http"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
)

// answeredInDialect determines the outcome of a call from what the dialect reads in
// the head of the response. An upstream's statement that it did not run the request
// is trusted, because the dialect allows it only before the upstream has done any
// work.
func (l *localCall) answeredInDialect(up *upstream, resp *http.Response, on exchange) *answer {
	reported := l.node.settings.Dialect.ReadUpstream(resp, l.node.upstreamDescription(up, l.request))
	if on.conn != nil && !identify(&reported, on) {
		defer on.retire()
	}
	l.node.noteUpstreamLoad(reported)
	l.node.recordNotice(up, reported)
	stripHop(resp.Header)
	l.node.stripReservedHeaders(resp.Header)
	switch reported.Outcome {
	case call.Complete:
		return l.completeBuffered(resp)
	case call.NotRun:
		if reported.Reason == call.ReasonOtherInstance {
			l.node.adoptInstance(up, reported.Instance)
		}
		return l.upstreamRejected(resp, resp.Header, call.NotRun, l.refusedReason(reported.Reason), "")
	}
	// The connection is not reused: the next response on it may belong to any
	// request.
	_ = resp.Body.Close()
	return l.failMismatched(reported.Reason)
}

// identify changes an answer that may belong to an earlier request of the connection into one
// that can't be trusted, and reports whether the connection may be used again. After an answer
// that does not state which request it belongs to, the next one could be a second copy of it.
func identify(reported *UpstreamAnswer, on exchange) (reusable bool) {
	if !reported.Unidentified {
		on.noteIdentified()
		return !on.conn.retired.Load()
	}
	if !on.mayBelong() {
		*reported = UpstreamAnswer{Outcome: call.Unknown, Reason: call.ReasonInvalidAnswer}
		return false
	}
	return reported.Outcome != call.NotRun
}

// refusedReason distinguishes a rejection under load from any other rejection by the
// upstream. The latter may be retried at other upstreams, however many of them reject
// the request.
func (l *localCall) refusedReason(reported call.Reason) call.Reason {
	if reported == call.ReasonUpstreamShed && l.node.gate.HasFreeSlots() {
		return call.ReasonUpstreamRefused
	}
	return reported
}

// completeBuffered passes on the upstream's response after it has been received
// completely.
func (l *localCall) completeBuffered(resp *http.Response) *answer {
	if l.request.method == http.MethodHead {
		// The Content-Length of a response to HEAD announces a body that is not sent.
		return l.complete(resp, resp.Header)
	}
	body, whole, err := bufferBody(resp)
	if err != nil {
		_ = resp.Body.Close()
		return l.failMismatched(call.ReasonTruncated)
	}
	if !whole {
		return l.complete(resp, resp.Header)
	}
	_ = resp.Body.Close()
	reason := l.visit.errorReason(resp.StatusCode)
	l.finish(resultOf(resp.StatusCode), call.Complete, reason, resp.StatusCode)
	a := &answer{status: resp.StatusCode, header: resp.Header, body: memoryBody(body)}
	a.report = call.Report{Outcome: call.Complete, Reason: reason, Hop: l.node.settings.Service}
	l.node.fillReport(&a.report, l.visit)
	return a
}

// failMismatched finishes a call whose response can't be the one to its request.
func (l *localCall) failMismatched(reason call.Reason) *answer {
	if l.visit.ctx.Err() != nil {
		reason = lossReason(l.visit.ctx, l.visit.ctx.Err())
	}
	reason = l.brokenConnReason(reason)
	l.visit.close()
	return l.withoutAnswer(admission.Failed, call.Unknown, reason)
}
