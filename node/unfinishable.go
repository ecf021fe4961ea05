package node

import (
	"net/http"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/shutdown"
)

// refusesNew reports whether all new requests are refused because the node shuts down. With a
// dialect it depends on the time as well as on the timer that closes the node, which may be late.
func (n *Node) refusesNew() bool {
	if n.closed.Load() {
		return true
	}
	plan := n.shutdownPlan.Load()
	return plan != nil && n.usesDialect() && !n.now().Before(plan.RefuseAt())
}

// refuseUnfinishable refuses a request that must not begin because the node shuts down and the
// request might not end in time. It returns nil if the request may begin, and may shorten its
// deadline then.
func (n *Node) refuseUnfinishable(kind shutdown.Kind, req *request) *answer {
	plan := n.shutdownPlan.Load()
	if plan == nil {
		return nil
	}
	now := n.now()
	work := shutdown.Work{Kind: kind, Deadline: req.deadline, Expected: n.expectedTime(kind, req.call.Profile, now)}
	verdict := plan.Decide(work, now)
	if verdict.Begin {
		req.deadline, req.beganBy = verdict.Deadline, verdict.Rule
		return nil
	}
	n.log.Emit(observe.LateWorkRefused, observe.Str("request", call.ShortID(req.call.RequestID)),
		observe.Str("kind", kind.String()), observe.Str("rule", string(verdict.Rule)),
		observe.Dur("expected", work.Expected), observe.Dur("left", plan.FinishBy().Sub(now)),
		observe.Dur("deadline_left", req.deadline.Sub(now)))
	return n.refuse(call.NotRun, call.ReasonDraining, shutdownRetry)
}

// expectedTime returns how long a request is expected to take, 0 if that is not known.
func (n *Node) expectedTime(kind shutdown.Kind, profile string, now time.Time) time.Duration {
	meter := &n.callTimes
	if kind == shutdown.UpstreamRun {
		meter = &n.runTimes
	}
	return meter.Quantile(profile, kind.Quantile(), now)
}

// rootKind returns the kind of a request that this node dispatches.
func rootKind(req *request) shutdown.Kind {
	if req.parent != nil {
		return shutdown.UpstreamCall
	}
	return shutdown.CallerRequest
}

// noteCallTime records how long a request took that this node dispatched. A refusal or a failure
// says nothing about the time that such requests need; one that ran into its deadline took at
// least that long.
func (n *Node) noteCallTime(req *request, a *answer, took time.Duration, ended time.Time) {
	answered := a.report.Outcome == call.Complete && a.status < http.StatusInternalServerError
	late := a.report.Outcome == call.Unknown && a.report.Reason == call.ReasonTimeout
	if answered || late {
		n.callTimes.Add(req.call.Profile, took, ended)
	}
}
