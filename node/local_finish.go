package node

import (
	"net/http"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// finish ends the visit, frees its slot and records the call. Only the first call has
// an effect.
func (l *localCall) finish(result admission.Result, outcome call.Outcome, reason call.Reason, status int) {
	if l.finished {
		return
	}
	l.finished = true
	now := l.node.now()
	l.recordTimes(outcome, reason, status, now)
	l.visit.close()
	l.node.visits.remove(l.visit)
	if outcome == call.Complete && status < http.StatusInternalServerError {
		l.node.completeRun(l.request, l.visit.incarnation)
	} else {
		l.noteUnanswered(reason)
		l.node.abandonRun(l.request, !l.unsent)
	}
	if outcome == call.Complete && status < http.StatusBadRequest {
		l.node.graph.RecordSuccess(l.request.call.Profile, l.visit.completedCalls(), now)
	}
	l.cancel()
	waited := l.visit.ticket.Waited()
	profile := l.node.metrics.Profile(l.request.call.Profile)
	profile.Inbound.Inc(1)
	profile.QueueWait.Observe(waited)
	l.visit.ticket.Release(result)
	l.record(outcome, reason, status, now)
}

// record writes the hop record of a finished call.
func (l *localCall) record(outcome call.Outcome, reason call.Reason, status int, ended time.Time) {
	waited := l.visit.ticket.Waited()
	decision := observe.Admitted
	if waited > 0 {
		decision = observe.Delayed
	}
	hop := l.node.hop(l.request, observe.Inbound, l.arrived)
	hop.Decision = decision
	hop.Outcome = outcome
	hop.Reason = reason
	hop.Waited = waited
	hop.Took = ended.Sub(l.started)
	hop.Status = status
	hop.CreditLeft = l.visit.creditLeft()
	if reason == call.ReasonUpstreamCrashed {
		hop.Fingerprint = contentFingerprint(l.request).String()
	}
	l.node.record(&hop)
}

// recordTimes records how long the upstream worked on the call, and how long the call took
// here in all. A fast failure says nothing about its speed, so it is ignored. A call that ran
// into its deadline took at least that long.
func (l *localCall) recordTimes(outcome call.Outcome, reason call.Reason, status int, ended time.Time) {
	answered := outcome == call.Complete && status < http.StatusInternalServerError
	late := outcome == call.Unknown && reason == call.ReasonTimeout
	if answered || late {
		l.node.work.Add(l.request.call.Profile, l.visit.worked(ended))
		l.node.runTimes.Add(l.request.call.Profile, ended.Sub(l.arrived), ended)
	}
}

// visitBody ends the visit when the body of the upstream's response has ended.
type visitBody struct {
	readCloser
	call   *localCall
	status int
}

type readCloser interface {
	Read([]byte) (int, error)
	Close() error
}

// Read implements io.Reader.
func (b *visitBody) Read(p []byte) (int, error) {
	count, err := b.readCloser.Read(p)
	if err == nil {
		return count, nil
	}
	if isEOF(err) {
		b.call.finish(resultOf(b.status), call.Complete, call.ReasonNone, b.status)
	} else {
		b.call.finish(admission.Failed, call.Unknown, b.call.brokenConnReason(call.ReasonTruncated), b.status)
	}
	return count, err
}

// resultOf returns the admission result for a status code. It keeps failures out of the
// latency baseline: an upstream that fails fast would otherwise look like one that became
// faster.
func resultOf(status int) admission.Result {
	if status >= http.StatusInternalServerError {
		return admission.Failed
	}
	return admission.OK
}

// Close implements io.Closer. A body that is closed before its end belongs to a
// receiver that has disconnected.
func (b *visitBody) Close() error {
	b.call.finish(admission.Ignore, call.Unknown, call.ReasonCancelled, b.status)
	return b.readCloser.Close()
}
