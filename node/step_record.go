package node

import (
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// recordRoot records a root request that has its outcome.
func (n *Node) recordRoot(req *request, a *answer, start time.Time) {
	took := n.recordStep(req, a, observe.Root, start)
	ended := start.Add(took)
	// A quarantined request is not refused because of the load, so it doesn't count
	// for retry hints.
	overloaded := a.report.Outcome == call.NotRun && a.report.Reason != call.ReasonHeld
	n.offered.note(req.call.Level.Priority(), overloaded, ended)
	profile := n.metrics.Profile(req.call.Profile)
	profile.Call(a.report.Outcome, a.report.Reason)
	profile.Total.Observe(took)
	if a.report.Outcome == call.Complete && took <= req.profile.ObjectiveTime() {
		profile.InTarget.Inc(1)
	}
	n.noteCallTime(req, a, took, ended)
	if a.report.Outcome == call.Unknown && req.profile.Unrepeatable {
		n.noteUnknown(req, a)
	}
}

// recordStep writes the hop record of a step with all its attempts, and returns how
// long the step took.
func (n *Node) recordStep(req *request, a *answer, kind observe.Kind, start time.Time) time.Duration {
	hop := n.hop(req, kind, start)
	hop.Decision = decisionOf(a)
	hop.Outcome = a.report.Outcome
	hop.Reason = a.report.Reason
	hop.LevelBelow = a.report.HighestAdmitLevel
	hop.Pressure = a.report.Pressure
	hop.Took = n.now().Sub(start)
	hop.Target = req.service
	hop.CreditLeft = a.report.CreditLeft
	hop.Ended = string(a.retryStop)
	hop.Status = a.status
	n.record(&hop)
	return hop.Took
}

func decisionOf(a *answer) observe.Decision {
	switch {
	case a.decision != "":
		return a.decision
	case a.report.Outcome == call.NotRun:
		return observe.Refused
	default:
		return observe.Admitted
	}
}
