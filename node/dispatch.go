package node

import (
	"context"
	"math/rand/v2"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
	"pollengauge.dev/retry"
	"pollengauge.dev/routing"
)

// dispatchState is the state of one dispatch across all its attempts.
type dispatchState struct {
	node   *Node
	req    *request
	credit *retry.Credit
	tried  []string
	// free counts the retries that cost neither credit nor retry budget.
	free  int
	worst call.Level
	// ends is how many upstreams in a row have crashed while running the request.
	ends int
	// reached is set once an attempt may have reached an upstream.
	reached bool
	// failed is the first error response of an upstream that was followed by a retry,
	// nil if there is none. It becomes the answer if no later attempt returns one.
	failed *answer
	// mayHaveRun is set once an attempt may have run the call. If a later attempt is
	// refused, the outcome of the dispatch is still unknown, never not-run.
	mayHaveRun bool
}

// dispatch sends req to members of its service until an attempt returns an answer or
// no further attempt is allowed. Retries are charged to credit: the root's own, or the
// visit's for a call that an upstream makes.
func (n *Node) dispatch(ctx context.Context, req *request, credit *retry.Credit) *answer {
	refused, trial := n.checkQuarantine(req)
	if refused != nil {
		return refused
	}
	d := &dispatchState{node: n, req: req, credit: credit}
	if unpaid := n.payFirstAttempt(req); unpaid != nil {
		return unpaid
	}
	if trial {
		return n.runTrial(ctx, req)
	}
	for attempt := 1; ; attempt++ {
		if refused := n.checkKeyRevoked(req); refused != nil {
			return d.finalAnswer(refused)
		}
		a := d.attempt(ctx, attempt)
		if a.target == "" || !d.payForRetry(ctx, a) {
			return d.finalAnswer(a)
		}
		d.keepOrClose(a)
	}
}

// attempt makes one attempt. The returned answer has no target if there was no member
// to try.
func (d *dispatchState) attempt(ctx context.Context, attempt int) *answer {
	n := d.node
	start := n.now()
	picked, err := n.router.PickFor(routing.Call{
		Service:  d.req.service,
		Exclude:  d.tried,
		NoProbe:  !d.req.idempotent,
		Profile:  routing.ProfileKey(d.req.call.Profile),
		TimeLeft: d.req.deadline.Sub(start),
	}, n.random(), start)
	if err != nil {
		n.log.Emit(observe.NoTarget, observe.Str("of", d.req.service), observe.Err(err))
		a := n.refuse(call.NotRun, call.ReasonNoTarget, 0)
		a.report.Hop = d.req.service
		return a
	}
	target := picked.Target
	lent := d.lend()
	req := *d.req
	req.call.Repeat = d.req.call.Repeat || d.reached
	req.call.Ends = max(req.call.Ends, d.ends)
	req.span = d.req.span.child()
	a := n.attempt(ctx, target, &req, lent)
	ended := n.now()
	took := ended.Sub(start)
	feedback := routingFeedback(a, d.req.service, took)
	feedback.Reported = a.report.TargetLoad
	picked.Done(feedback, ended)
	if a.reported || a.report.Outcome != call.Unknown {
		d.returnCredit(lent, a.report.CreditLeft)
	}
	d.worst = max(d.worst, a.report.HighestAdmitLevel)
	d.ends = max(d.ends, a.report.Ends)
	n.mergeReportedCrashes(d.req, &a.report)
	d.tried = append(d.tried, target.ID)
	d.mayHaveRun = d.mayHaveRun || a.report.Outcome != call.NotRun
	d.reached = d.reached || a.report.Outcome != call.NotRun || !retry.BeforeUpstream(a.report.Reason)
	a.target = target.ID
	n.recordAttempt(&req, a, attempt, lent, start, took)
	n.countAttempt(req.call.Profile, lent, a)
	return a
}

// lend takes from the credit the part that is sent downstream with one attempt.
func (d *dispatchState) lend() int {
	if d.node.settings.Ablate.CopiedCredit {
		return d.credit.Available()
	}
	if d.node.usesDialect() {
		// Calls don't share their request's credit, so none is sent downstream.
		return 0
	}
	return d.credit.Lend()
}

// returnCredit returns to the credit the part of the lent credit that the answer reports
// as unspent.
func (d *dispatchState) returnCredit(lent, left int) {
	if d.node.settings.Ablate.CopiedCredit {
		return
	}
	d.credit.Return(lent, left)
}

// payForRetry reports whether another attempt follows a, and charges that attempt to the
// retry budget.
func (d *dispatchState) payForRetry(ctx context.Context, a *answer) bool {
	if a.report.Outcome == call.Complete && a.report.Reason != call.ReasonUpstreamFailed {
		return false
	}
	n := d.node
	now := n.now()
	decision := retry.Decision{
		Outcome:      a.report.Outcome,
		Reason:       a.report.Reason,
		Hop:          a.report.Hop,
		Service:      d.req.service,
		Idempotent:   d.req.idempotent,
		DeadlineLeft: d.req.deadline.Sub(now),
		TargetsLeft:  n.router.Candidates(d.req.service, d.tried, now),
		RefusedShare: n.router.RefusedShare(d.req.service, now),
		Benefit:      retry.Benefit{Priority: d.req.call.Level.Priority(), Remaining: d.req.remaining},
	}
	if !d.req.body.rewind() || ctx.Err() != nil {
		return false
	}
	decision.Held = d.ends >= quarantine.QuarantineThreshold && !n.settings.Ablate.NoQuarantine
	decision.FreeAllowed = n.usesDialect()
	decision.FreeAttempts = d.free
	retries := n.retriesOf(d.req.service)
	account := retry.Limits{Limiter: retries.bound, Ration: retries.ration, Draw: rand.Float64()}
	verdict := retry.Claim(decision, d.credit, account, now)
	profile := n.metrics.Profile(d.req.call.Profile)
	profile.Retry(string(verdict.Reason))
	a.retryStop = verdict.Reason
	switch {
	case verdict.Free:
		d.free++
	case verdict.Retry:
		profile.Spent.Inc(1)
	case verdict.Reason == retry.WhyBudget, verdict.Reason == retry.WhyRationed:
		n.log.Emit(observe.RetryBudgetSpent, observe.Str("of", d.req.service))
	}
	return verdict.Retry
}

// keepOrClose stores the first error response that is followed by another attempt, and
// closes all other answers.
func (d *dispatchState) keepOrClose(a *answer) {
	if a.report.Outcome == call.Complete && d.failed == nil {
		d.failed = a
		return
	}
	a.close()
}

// finalAnswer gives the final answer the outcome of the whole dispatch. An upstream's error
// response takes precedence over the refusal of a later attempt: the call has run, and
// its caller gets the only response that there is.
func (d *dispatchState) finalAnswer(a *answer) *answer {
	if d.failed != nil {
		if a.report.Outcome != call.Complete {
			a.close()
			d.failed.report.HighestAdmitLevel = max(d.failed.report.HighestAdmitLevel, d.worst)
			d.failed.retryStop = a.retryStop
			return d.failed
		}
		d.failed.close()
	}
	a.report.HighestAdmitLevel = max(a.report.HighestAdmitLevel, d.worst)
	if d.mayHaveRun && a.report.Outcome == call.NotRun {
		a.report.Outcome = call.Unknown
		a.status = refusalStatus(call.Unknown, a.report.Reason)
	}
	return a
}

// targetName returns a member's name for display: its service and the start of its id.
func targetName(service, id string) string {
	return service + "/" + id[:min(idPrefix, len(id))]
}

func (n *Node) recordAttempt(req *request, a *answer, attempt, lent int, start time.Time, took time.Duration) {
	hop := n.hop(req, observe.Attempt, start)
	hop.Decision = observe.Admitted
	if a.report.Outcome == call.NotRun {
		hop.Decision = observe.Refused
	}
	hop.Outcome = a.report.Outcome
	hop.Reason = a.report.Reason
	hop.LevelBelow = a.report.HighestAdmitLevel
	hop.Pressure = a.report.Pressure
	hop.Took = took
	hop.Target = targetName(req.service, a.target)
	hop.Attempt = attempt
	hop.CreditIn = lent
	hop.CreditLeft = a.report.CreditLeft
	hop.Status = a.status
	n.record(&hop)
}
