package node

import (
	"net/http"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// maxRejectionBody is the maximum size, in bytes, of a response body that is passed
// on with a shed or abandoned call.
const maxRejectionBody = 16 << 10

// upstreamRejected handles a response in which the upstream reports that it did not
// complete its own call, because it shed the call or because a downstream call was
// refused.
//
// The upstream's report alone does not prove not-run. An upstream may shed after it
// has already made downstream calls; if the calling hop were told not-run, it would
// run the call again elsewhere and the downstream work would be done twice. The
// outcome is not-run only if the visit shows that no downstream call ran, else
// unknown.
func (l *localCall) upstreamRejected(resp *http.Response, header http.Header, claim call.Outcome, reason call.Reason, hop string) *answer {
	nothingRan := l.node.visits.closeProved(l.visit) || l.node.settings.Ablate.NoVisitProof
	outcome := call.Unknown
	if claim == call.NotRun && nothingRan {
		outcome = call.NotRun
	}
	if reason == call.ReasonNone {
		reason = call.ReasonUpstreamShed
	}
	body, err := readBounded(resp.Body, maxRejectionBody)
	if err != nil {
		body = nil
	}
	if reason == call.ReasonUpstreamShed || reason == call.ReasonUpstreamRefused {
		l.node.log.Emit(observe.UpstreamShed, observe.Int("status", resp.StatusCode))
	}
	l.finish(l.shedResult(hop), outcome, reason, resp.StatusCode)
	a := &answer{status: resp.StatusCode, header: header, body: memoryBody(body), reported: true}
	header.Del("Content-Length")
	a.report = call.Report{Outcome: outcome, Reason: reason, Hop: l.node.settings.Service}
	if hop != "" {
		a.report.Hop = hop
	}
	l.node.fillReport(&a.report, l.visit)
	a.refusal = &refusal{outcome: outcome, reason: reason}
	return a
}

// shedResult returns how the concurrency limiter counts a call that the upstream did
// not complete.
//
// Only a rejection by this upstream itself counts as shed. When a service far
// downstream rejects calls, the upstreams on the way pass the rejection on. If it
// counted against their limits, these would fall although nothing is wrong with them,
// and their queues would refuse calls that the downstream service would have
// accepted.
func (l *localCall) shedResult(hop string) admission.Result {
	if hop != "" && hop != l.node.settings.Service {
		return admission.Ignore
	}
	return admission.Shed
}
