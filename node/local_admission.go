package node

import (
	"errors"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// admissionRequest returns the properties of the call that the gate decides on.
func (n *Node) admissionRequest(req *request) admission.Request {
	r := admission.Request{
		Level:         req.call.Level,
		Profile:       req.call.Profile,
		Inherited:     req.call.Depth > 0,
		RefusedAtRoot: float64(req.call.RefusedShare) / pressureUnit,
		Progress:      req.call.Progress,
		MaxWait:       time.Duration(req.profile.MaxWait),
		Deadline:      req.deadline,
		Upstreams:     n.upstreamsOf(req),
		// An unrepeatable call may wait for all of its profile's MaxWait, whatever
		// the gate's own limit. Otherwise a payment for which earlier hops have
		// already done work would be refused here after a short wait, although the
		// queue places it before all reads. Its fate would then be unknown, and
		// nobody could retry it.
		IgnoreMaxQueueWait: req.profile.Unrepeatable,
		// Profiles count in the opposite direction: there 1 means recovery.
		Preference: 1 - float64(req.profile.Prefer),
	}
	if n.settings.Ablate.NoProgress {
		r.Progress = 0
	}
	if n.settings.Ablate.NoAdmission {
		r.Level = call.MaxLevel
		r.MaxWait = time.Duration(req.profile.Deadline)
		r.Upstreams = 1
	}
	return r
}

// upstreamsOf returns the number of upstreams that a call may be sent to. Without a dialect
// the credit of a request is split over the whole call chain, and operators bound its waits by
// the profile's MaxWait.
func (n *Node) upstreamsOf(req *request) int {
	if !n.usesDialect() {
		return 1
	}
	return req.profile.Credit + 1
}

// gateRefusal turns a rejection by the gate into an answer. The call was never
// dispatched, so it is proved not run.
func (n *Node) gateRefusal(req *request, err error, arrived time.Time) *answer {
	refused := &admission.RefusedError{Reason: call.ReasonQueueFull}
	errors.As(err, &refused)
	hop := n.refusedHop(req, refused, arrived)
	n.metrics.Profile(req.call.Profile).Refused(refused.Reason)
	if refused.Reason == call.ReasonQueueFull {
		n.log.Emit(observe.QueueFull, observe.Str("profile", req.call.Profile), observe.Str("level", req.call.Level.String()))
	}
	n.record(&hop)
	a := n.refuse(call.NotRun, refused.Reason, refused.RetryAfter)
	a.report.HighestAdmitLevel = max(refused.Level, n.gate.AdmitLevel())
	a.report.CreditLeft = req.call.Credit
	a.report.Load = n.gate.Load()
	a.report.TargetLoad = n.targetLoad()
	if n.usesDialect() {
		a.report.Pressure = n.pressureOf(req.call.Profile)
	}
	return a
}

// refusedHop returns the hop record of a refused call with the state of the gate that
// refused it.
func (n *Node) refusedHop(req *request, refused *admission.RefusedError, arrived time.Time) observe.Hop {
	hop := n.hop(req, observe.Inbound, arrived)
	hop.Took = n.now().Sub(arrived)
	if refused.Reason != call.ReasonLevel && refused.Reason != call.ReasonDraining {
		hop.Waited = hop.Took
	}
	hop.Decision = observe.Refused
	hop.Reason = refused.Reason
	hop.Outcome = call.NotRun
	hop.AdmitLevel = refused.Level
	state := n.gate.Snapshot()
	hop.Limit = state.Limit
	hop.Queue = state.Queued
	hop.Blocked = state.Blocked
	hop.Pressure = n.gate.Pressure()
	return hop
}
