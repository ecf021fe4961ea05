package retry

import (
	"time"

	"pollengauge.dev/call"
)

// Why is the one word that a Verdict gives for its choice. It is a metric
// label and is shown by explain.
type Why string

// The reasons for a verdict.
const (
	// WhyRetry: the attempt may be made again, elsewhere.
	WhyRetry Why = "retry"
	// WhyComplete: there is an answer, nothing to retry. An error of the upstream's
	// own is retried where running the call twice does no harm.
	WhyComplete Why = "complete"
	// WhyMayHaveRun: the call may have run and isn't idempotent.
	WhyMayHaveRun Why = "may-have-run"
	// WhyDeeper: the failure was further down, and the hop next to it had its
	// chance.
	WhyDeeper Why = "deeper"
	// WhyHeld: upstreams end under the request, and the next one is to be spared.
	WhyHeld Why = "held"
	// WhyHopeless: no other target would answer differently.
	WhyHopeless Why = "hopeless"
	// WhyOverload: the service as a whole refuses, not one target.
	WhyOverload Why = "overload"
	// WhyDeadline: too little time is left for another attempt.
	WhyDeadline Why = "deadline"
	// WhyNoTarget: every target was tried.
	WhyNoTarget Why = "no-target"
	// WhyNoCredit: the request has used up its extra attempts, or lent them.
	WhyNoCredit Why = "no-credit"
	// WhyRationed: more retries are wanted than the budget earns, and other
	// requests need fewer of them.
	WhyRationed Why = "rationed"
	// WhyBudget: this node's retries have reached their share.
	WhyBudget Why = "budget"
)

// OverloadThousandths is the refused share of a service, in thousandths, from
// which a refusal for overload isn't retried.
//
// One hot target of three refuses: another has room, and the retry saves the
// request. All three refuse: a retry is one more refusal, and takes the
// node's budget from failures that a retry can mend. A refusal in spite of free
// slots is none for overload: the next target is as likely to take the call as
// any.
const OverloadThousandths = 500

// Decision is all that Decide looks at.
type Decision struct {
	// Outcome and Reason are those of the attempt that ended. A failure seen
	// here (connect, lost, timeout) has the reason that this node gave it.
	Outcome call.Outcome
	Reason  call.Reason
	// Hop is the service whose node gave the reason, empty when it was seen
	// here. Service is the service that was called.
	Hop     string
	Service string
	// Idempotent is true when running the call twice does no harm.
	Idempotent bool
	// Held tells that so many upstreams have ended under the request that no other
	// one may be given it.
	Held bool
	// Free tells that the attempt never got as far as an upstream, and that
	// another one may be made without paying: no upstream has had any work from
	// it. FreeMade is how many free ones there were already.
	Free     bool
	FreeMade int
	// Credit is what the visit has left, Budget whether the node's budget has
	// room. Claim fills both.
	Credit int
	Budget bool
	// Benefit is what the retry is worth.
	Benefit Benefit
	// DeadlineLeft is the time left for the call; AttemptTime is what an
	// attempt is expected to take, 0 when not known.
	DeadlineLeft time.Duration
	AttemptTime  time.Duration
	// TargetsLeft is the number of targets not tried yet.
	TargetsLeft int
	// Refusing is the share of recent attempts on the service that its
	// targets refused for overload, in thousandths.
	Refusing int
}

// Verdict is Decide's answer.
type Verdict struct {
	Retry bool
	// Free tells that the retry is paid neither from credit nor from budget.
	Free bool
	Why  Why
}

// Decide says whether an attempt may be made again. It is pure. The order of
// the checks is that of their meaning to an operator: safety first, then
// sense, then the bounds.
func Decide(in Decision) Verdict {
	switch {
	case in.Outcome == call.Complete && (in.Reason != call.ReasonUpstreamFailed || !in.Idempotent):
		return Verdict{Why: WhyComplete}
	case in.Outcome != call.NotRun && !in.Idempotent:
		return Verdict{Why: WhyMayHaveRun}
	case in.Hop != "" && in.Hop != in.Service:
		// Without this each hop above would retry the same failure, and the
		// attempts would multiply on the way up.
		return Verdict{Why: WhyDeeper}
	case in.Held:
		return Verdict{Why: WhyHeld}
	case hopeless(in.Reason):
		return Verdict{Why: WhyHopeless}
	case overload(in.Reason) && in.Refusing >= OverloadThousandths:
		return Verdict{Why: WhyOverload}
	case in.DeadlineLeft <= in.AttemptTime || in.DeadlineLeft <= 0:
		return Verdict{Why: WhyDeadline}
	case in.TargetsLeft <= 0:
		return Verdict{Why: WhyNoTarget}
	case in.free():
		return Verdict{Retry: true, Why: WhyRetry, Free: true}
	case in.Credit <= 0:
		return Verdict{Why: WhyNoCredit}
	case !in.Budget:
		return Verdict{Why: WhyBudget}
	case overload(in.Reason) && in.Free && in.FreeMade >= MaxFree:
		return Verdict{Why: WhyOverload}
	}
	return Verdict{Retry: true, Why: WhyRetry}
}

// Bound is a Budget or a Bucket.
type Bound interface {
	// OnFirst counts a first attempt, which earns a part of a retry.
	OnFirst(now time.Time)
	// Allow reports whether a retry may be made now, and pays for it if so.
	Allow(now time.Time) bool
	// Left returns how many retries may be made now.
	Left(now time.Time) int
}

// Account is what retries are paid from: their bound, and the ration that chooses
// among them, nil for none. Draw is a random number from 0 to 1, exclusive, for the
// ration.
type Account struct {
	Bound  Bound
	Ration *Ration
	Draw   float64
}

// Claim decides and, when the answer is a retry, takes one from the credit
// and one from the budget: both or neither. It fills in.Credit and in.Budget.
func Claim(in Decision, credit *Credit, account Account, now time.Time) Verdict {
	in.Credit = credit.Available()
	in.Budget = true
	verdict := Decide(in)
	if !verdict.Retry || verdict.Free {
		return verdict
	}
	if account.Ration != nil && !account.Ration.Admit(in.Benefit, account.Draw, now) {
		return Verdict{Why: WhyRationed}
	}
	if credit.Take(1) == 0 {
		return Verdict{Why: WhyNoCredit}
	}
	if !account.Bound.Allow(now) {
		credit.putBack(1)
		return Verdict{Why: WhyBudget}
	}
	return verdict
}

// MaxFree bounds the free attempts of one call. One full target of three is
// common, two are still likely to have a third with room; what is refused three
// times is refused everywhere.
const MaxFree = 2

func (in Decision) free() bool {
	return in.Free && in.Outcome == call.NotRun && in.FreeMade < MaxFree && BeforeUpstream(in.Reason)
}

// BeforeUpstream reports whether an attempt that ended not-run for this reason
// ended before an upstream saw it.
func BeforeUpstream(r call.Reason) bool {
	switch r {
	case call.ReasonConnect, call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonLevel,
		call.ReasonDraining, call.ReasonNoUpstream, call.ReasonBusy, call.ReasonPeerFull, call.ReasonNoConfig:
		return true
	}
	return false
}

// hopeless reports whether the reason lies in the call itself, so that every
// target would say the same.
func hopeless(r call.Reason) bool {
	switch r {
	case call.ReasonDeadline, call.ReasonCancelled, call.ReasonLevelBelow,
		call.ReasonVisitClosed, call.ReasonKeyExpired, call.ReasonKeyRequired,
		call.ReasonKeyHomeGone, call.ReasonKeyUnclaimed, call.ReasonKeyReused,
		call.ReasonAnswerNotHeld, call.ReasonBadRequest,
		call.ReasonTooLarge, call.ReasonNoTarget, call.ReasonHeld, call.ReasonNoConfig, call.ReasonConfigBehind, call.ReasonNoRoute:
		return true
	}
	return false
}

// overload reports whether the reason is a refusal by policy.
func overload(r call.Reason) bool {
	switch r {
	case call.ReasonLevel, call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonUpstreamShed, call.ReasonBusy, call.ReasonPeerFull:
		return true
	}
	return false
}
