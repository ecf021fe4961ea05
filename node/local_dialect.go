package node

import (
	"net/http"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
)

// answeredInDialect judges an answer by what the dialect reads in its head. The
// upstream's word that it did not run the request is taken: the dialect has it
// say so only before it has done anything.
func (l *localCall) answeredInDialect(up *upstream, resp *http.Response) *answer {
	told := l.node.settings.Dialect.ReadUpstream(resp, l.node.upstreamTold(up, l.request))
	stripHop(resp.Header)
	l.node.strip(resp.Header)
	switch told.Outcome {
	case call.Complete:
		return l.completeHeld(resp)
	case call.NotRun:
		if told.Reason == call.ReasonOtherInstance {
			l.node.noteInstance(up, told.Instance)
		}
		return l.gaveUp(resp, resp.Header, call.NotRun, l.refusedReason(told.Reason), "")
	}
	// The connection is not used again: what comes on it next may belong to
	// any request.
	_ = resp.Body.Close()
	return l.notBelieved(told.Reason)
}

// refusedReason tells a refusal that goes with the upstream's load from one that
// does not: the second may be repeated at others, however many of them refuse.
func (l *localCall) refusedReason(told call.Reason) call.Reason {
	if told == call.ReasonUpstreamShed && l.node.gate.HasRoom() {
		return call.ReasonUpstreamRefused
	}
	return told
}

// completeHeld passes on the upstream's answer once it is whole.
func (l *localCall) completeHeld(resp *http.Response) *answer {
	if l.request.method == http.MethodHead {
		// The head names the length of a body that doesn't come.
		return l.complete(resp, resp.Header)
	}
	body, whole, err := heldBody(resp)
	if err != nil {
		_ = resp.Body.Close()
		return l.notBelieved(call.ReasonTruncated)
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

// notBelieved ends a run whose answer can't be the one to its request.
func (l *localCall) notBelieved(reason call.Reason) *answer {
	if l.visit.ctx.Err() != nil {
		reason = lossReason(l.visit.ctx, l.visit.ctx.Err())
	}
	reason = l.brokenReason(reason)
	l.visit.close()
	return l.withoutAnswer(admission.Failed, call.Unknown, reason)
}
