package retry

import (
	"time"

	"pollengauge.dev/call"
)

// VerdictReason is the reason for a Verdict, as one word. It is a metric label and is
// shown by the explain command.
type VerdictReason string

// Values of VerdictReason.
const (
	// WhyRetry: the attempt may be made again, on another target.
	WhyRetry VerdictReason = "retry"
	// WhyComplete: the call has a complete answer, so there is nothing to
	// retry. An error response of the upstream itself is retried if the call is
	// idempotent.
	WhyComplete VerdictReason = "complete"
	// WhyMayHaveRun: the call may have run and isn't idempotent.
	WhyMayHaveRun VerdictReason = "may-have-run"
	// WhyDownstream: the failure happened further downstream, and the hop next
	// to it could retry already.
	WhyDownstream VerdictReason = "deeper"
	// WhyQuarantined: the request is held in quarantine. Upstreams crashed while
	// running it, and no other upstream may be exposed to it.
	WhyQuarantined VerdictReason = "held"
	// WhyRefusedByAll: every other target would refuse the call for the same
	// reason.
	WhyRefusedByAll VerdictReason = "hopeless"
	// WhyOverload: the service as a whole refuses calls, not just one target.
	WhyOverload VerdictReason = "overload"
	// WhyDeadline: too little time is left for another attempt.
	WhyDeadline VerdictReason = "deadline"
	// WhyNoTarget: every target was tried already.
	WhyNoTarget VerdictReason = "no-target"
	// WhyNoCredit: the visit has no credit left; the request has used up its
	// extra attempts, or lent them to downstream calls.
	WhyNoCredit VerdictReason = "no-credit"
	// WhyRationed: more retries are requested than the budget earns, and they
	// go to requests that need fewer further calls.
	WhyRationed VerdictReason = "rationed"
	// WhyBudget: this node's retry budget is used up.
	WhyBudget VerdictReason = "budget"
)

// OverloadThousandths is the refused share of a service, in thousandths, from
// which a refusal for overload isn't retried.
//
// If one overloaded target of three refuses, another has capacity, and the
// retry completes the request. If all three refuse, a retry is refused too, and
// uses budget that is then missing for failures that a retry can overcome. A
// refusal by a target with free slots is not a sign of overload: the next
// target is as likely to accept the call as any other.
const OverloadThousandths = 500

// Decision holds the inputs of Decide.
type Decision struct {
	// Outcome and Reason describe the attempt that ended. For a failure that
	// this node itself detected (connect, lost, timeout), Reason was set by
	// this node.
	Outcome call.Outcome
	Reason  call.Reason
	// Hop is the service whose node set the reason; it is empty when this node
	// did. Service is the service that was called.
	Hop     string
	Service string
	// Idempotent is true when running the call twice does no harm.
	Idempotent bool
	// Held is true when the request is in quarantine: so many upstreams have
	// crashed while running it that no other upstream may receive it.
	Held bool
	// FreeAllowed allows a retry without credit or budget if the attempt ended before
	// an upstream received it, because no upstream has had any work from it.
	// FreeAttempts is the number of such free attempts already made for the call.
	FreeAllowed  bool
	FreeAttempts int
	// Credit is the visit's remaining credit. Budget is true when the node's
	// retry budget allows a retry. Claim sets both.
	Credit int
	Budget bool
	// Benefit is the value of the retry, by which Ration chooses.
	Benefit Benefit
	// DeadlineLeft is the time left for the call. AttemptTime is the expected
	// duration of an attempt, 0 when not known.
	DeadlineLeft time.Duration
	AttemptTime  time.Duration
	// TargetsLeft is the number of targets not tried yet.
	TargetsLeft int
	// RefusedShare is the share of recent attempts on the service that its targets
	// refused for overload, in thousandths.
	RefusedShare int
}

// Verdict is the result of Decide.
type Verdict struct {
	Retry bool
	// Free is true when the retry is charged neither to the credit nor to the
	// budget.
	Free   bool
	Reason VerdictReason
}

// Decide reports whether an attempt may be made again, and why. It is a pure
// function. The checks run in the order that matters to an operator: first
// whether a retry is safe, then whether it can help, then whether the credit
// and budget allow it.
func Decide(in Decision) Verdict {
	switch {
	case in.Outcome == call.Complete && (in.Reason != call.ReasonUpstreamFailed || !in.Idempotent):
		return Verdict{Reason: WhyComplete}
	case in.Outcome != call.NotRun && !in.Idempotent:
		return Verdict{Reason: WhyMayHaveRun}
	case in.Hop != "" && in.Hop != in.Service:
		// Without this check each hop on the way up to the root would retry the
		// same failure, and the attempts would multiply.
		return Verdict{Reason: WhyDownstream}
	case in.Held:
		return Verdict{Reason: WhyQuarantined}
	case refusedByAllTargets(in.Reason):
		return Verdict{Reason: WhyRefusedByAll}
	case isOverloadRefusal(in.Reason) && in.RefusedShare >= OverloadThousandths:
		return Verdict{Reason: WhyOverload}
	case in.DeadlineLeft <= in.AttemptTime || in.DeadlineLeft <= 0:
		return Verdict{Reason: WhyDeadline}
	case in.TargetsLeft <= 0:
		return Verdict{Reason: WhyNoTarget}
	case in.isFree():
		return Verdict{Retry: true, Reason: WhyRetry, Free: true}
	case in.Credit <= 0:
		return Verdict{Reason: WhyNoCredit}
	case !in.Budget:
		return Verdict{Reason: WhyBudget}
	case isOverloadRefusal(in.Reason) && in.FreeAllowed && in.FreeAttempts >= MaxFreeAttempts:
		return Verdict{Reason: WhyOverload}
	}
	return Verdict{Retry: true, Reason: WhyRetry}
}

// Limiter limits the retries of a node; Budget and Bucket implement it.
type Limiter interface {
	// OnFirst counts a first attempt, which earns a fraction of a retry.
	OnFirst(now time.Time)
	// Allow reports whether a retry may be made now, and if so deducts it.
	Allow(now time.Time) bool
	// Left returns how many retries may be made now.
	Left(now time.Time) int
}

// Limits holds the limits that a retry is charged to: Limiter limits the number
// of retries, and Ration, which may be nil, chooses among the requests for
// them. Draw is a random number in [0, 1) for the Ration.
type Limits struct {
	Limiter Limiter
	Ration  *Ration
	Draw    float64
}

// Claim calls Decide and, when the verdict is a retry that is not free, takes
// one from the credit and one from the budget: both or neither. It sets
// in.Credit and in.Budget.
func Claim(in Decision, credit *Credit, account Limits, now time.Time) Verdict {
	in.Credit = credit.Available()
	in.Budget = true
	verdict := Decide(in)
	if !verdict.Retry || verdict.Free {
		return verdict
	}
	if account.Ration != nil && !account.Ration.Admit(in.Benefit, account.Draw, now) {
		return Verdict{Reason: WhyRationed}
	}
	if credit.Take(1) == 0 {
		return Verdict{Reason: WhyNoCredit}
	}
	if !account.Limiter.Allow(now) {
		credit.putBack(1)
		return Verdict{Reason: WhyBudget}
	}
	return verdict
}

// MaxFreeAttempts is the maximum number of free attempts of one call. It is
// common that one target of three is full; when two are, the third is still
// likely to have capacity. A call that was refused three times is refused
// everywhere.
const MaxFreeAttempts = 2

func (in Decision) isFree() bool {
	return in.FreeAllowed && in.Outcome == call.NotRun && in.FreeAttempts < MaxFreeAttempts && BeforeUpstream(in.Reason)
}

// BeforeUpstream reports whether an attempt that ended as not-run for this
// reason ended before an upstream received it.
func BeforeUpstream(r call.Reason) bool {
	switch r {
	case call.ReasonConnect, call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonUpstreamLimit, call.ReasonLevel,
		call.ReasonDraining, call.ReasonNoUpstream, call.ReasonBusy, call.ReasonPeerFull, call.ReasonNoConfig:
		return true
	}
	return false
}

// refusedByAllTargets reports whether the reason lies in the call itself, so
// that every target would refuse it for the same reason.
func refusedByAllTargets(r call.Reason) bool {
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

// isOverloadRefusal reports whether the reason is a refusal by overload
// control.
func isOverloadRefusal(r call.Reason) bool {
	switch r {
	case call.ReasonLevel, call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonUpstreamLimit, call.ReasonUpstreamShed, call.ReasonBusy, call.ReasonPeerFull:
		return true
	}
	return false
}
