package node

import (
	"net/http"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// maxGaveUpBody bounds the body that goes with a give-up, in bytes.
const maxGaveUpBody = 16 << 10

// gaveUp handles an upstream that says of its own call: shed, or given up
// because a call below was.
//
// The failure: an upstream sheds after it has already called out, and the
// hop above, told not-run, runs the call again elsewhere: the work below is
// done twice. Its word alone is therefore not enough; the visit must show
// that no call below ran. Otherwise the outcome is unknown.
func (l *localCall) gaveUp(resp *http.Response, header http.Header, claim call.Outcome, reason call.Reason, hop string) *answer {
	nothingRan := l.node.visits.closeProved(l.visit) || l.node.settings.Ablate.NoVisitProof
	outcome := call.Unknown
	if claim == call.NotRun && nothingRan {
		outcome = call.NotRun
	}
	if reason == call.ReasonNone {
		reason = call.ReasonUpstreamShed
	}
	body, err := readBounded(resp.Body, maxGaveUpBody)
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

// shedResult tells the limiter what a give-up means.
//
// The failure: a deep service refuses, the upstreams above pass that on, and
// their own limits fall although nothing is wrong with them; their queues then
// refuse what the deep service would have taken. So only an upstream that
// sheds in its own name counts.
func (l *localCall) shedResult(hop string) admission.Result {
	if hop != "" && hop != l.node.settings.Service {
		return admission.Ignore
	}
	return admission.Shed
}
