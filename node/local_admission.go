package node

import (
	"errors"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// admissionRequest tells the gate what it has to know of the call.
func (n *Node) admissionRequest(req *request) admission.Request {
	r := admission.Request{
		Level:     req.call.Level,
		Profile:   req.call.Profile,
		Inherited: req.call.Depth > 0,
		HeldBack:  float64(req.call.HeldBack) / pressureUnit,
		Progress:  req.call.Progress,
		MaxWait:   time.Duration(req.profile.MaxWait),
		Deadline:  req.deadline,
		// The failure: a payment that has done its work above is refused after
		// a short wait here, while the queue holds it in front of all reads.
		// Its fate is then unknown and nobody may try again.
		Hold: req.profile.Unrepeatable,
		// Profiles count the other way: 1 is recovery.
		Preference: 1 - float64(req.profile.Prefer),
	}
	if n.settings.Ablate.NoProgress {
		r.Progress = 0
	}
	if n.settings.Ablate.NoAdmission {
		r.Level = call.MaxLevel
		r.MaxWait = time.Duration(req.profile.Deadline)
	}
	return r
}

// gateRefusal turns an admission refusal into an answer. The call was never
// dispatched, so it is proved not run.
func (n *Node) gateRefusal(req *request, err error, arrived time.Time) *answer {
	refused := &admission.RefusedError{Reason: call.ReasonQueueFull}
	errors.As(err, &refused)
	hop := n.refusedHop(req, refused, arrived)
	n.metrics.Profile(req.call.Profile).Refused(refused.Reason)
	if refused.Reason == call.ReasonQueueFull {
		n.log.Emit(observe.QueueFull, observe.Str("profile", req.call.Profile), observe.Str("level", req.call.Level.String()))
	}
	n.record(hop)
	a := n.refuse(call.NotRun, refused.Reason, refused.RetryAfter)
	a.report.Worst = max(refused.Level, n.gate.AdmitLevel())
	a.report.CreditLeft = req.call.Credit
	a.report.Load = n.gate.Load()
	if n.spoken() {
		a.report.Pressure = n.pressureOf(req.call.Profile)
	}
	return a
}

// refusedHop describes a refusal and the gate that gave it.
func (n *Node) refusedHop(req *request, refused *admission.RefusedError, arrived time.Time) observe.Hop {
	hop := n.hop(req, observe.Inbound)
	hop.Took = hop.At.Sub(arrived)
	hop.At = arrived
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
