package call

// Outcome is what a caller may conclude from an answer. Every answer that
// leaves a node carries exactly one.
type Outcome uint8

const (
	// Unknown means that the call was dispatched and its fate is not known.
	// It is the zero value on purpose: code that forgets to set an outcome
	// makes the weakest claim.
	Unknown Outcome = iota
	// NotRun means that no upstream, here or further down, ran any part of
	// the call. It is a proof, not a guess, and the only outcome after which
	// a non-idempotent call may be sent elsewhere.
	NotRun
	// Complete means that the upstream ran the call and this is its whole
	// answer, whatever its status code.
	Complete
)

var outcomeNames = [...]string{Unknown: "unknown", NotRun: "not-run", Complete: "complete"}

// String returns the name used in headers, logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[Unknown]
}

// ParseOutcome is the inverse of String. Anything else is a *HeaderError, and
// the outcome returned with it is Unknown.
func ParseOutcome(s string) (Outcome, error) {
	for o, name := range outcomeNames {
		if name == s {
			return Outcome(o), nil
		}
	}
	return Unknown, &HeaderError{Header: HeaderOutcome, Value: s, Want: "complete, not-run or unknown"}
}

// Reason says in one stable word why a call was refused, delayed or left
// without a known fate. Reasons are metric labels and part of the public API.
type Reason string

const (
	// ReasonNone accompanies a complete answer that is no error.
	ReasonNone Reason = ""
	// ReasonQueueFull: the admission queue held only more important work.
	ReasonQueueFull Reason = "queue-full"
	// ReasonQueueWait: the call waited as long as its profile allows.
	ReasonQueueWait Reason = "queue-wait"
	// ReasonDeadline: the call could not end before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLevel: the call's level was below this node's admission level.
	ReasonLevel Reason = "level"
	// ReasonLevelBelow: the root refused what a deeper hop would refuse.
	ReasonLevelBelow Reason = "level-below"
	// ReasonCancelled: the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonDraining: the node takes no new work.
	ReasonDraining Reason = "draining"
	// ReasonNoTarget: no member offers the service.
	ReasonNoTarget Reason = "no-target"
	// ReasonNoUpstream: no upstream has announced itself to this node.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonUpstreamShed: the upstream itself refused before doing anything.
	ReasonUpstreamShed Reason = "upstream-shed"
	// ReasonUpstreamRefused: the upstream itself refused before doing anything,
	// though it had free slots. The refusal says nothing of its load.
	ReasonUpstreamRefused Reason = "upstream-refused"
	// ReasonUpstreamFailed: the upstream answered with an error of its own; no call
	// that it made had failed. It accompanies a complete answer.
	ReasonUpstreamFailed Reason = "upstream-failed"
	// ReasonFailedBelow: the upstream answered with an error after a call that it
	// made had failed, or at its deadline. It accompanies a complete answer.
	ReasonFailedBelow Reason = "failed-below"
	// ReasonRetryBudget: the call belongs to a run that is itself a retry, and the
	// retries of the service called have reached their share.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonConnect: no connection could be made, so nothing was sent.
	ReasonConnect Reason = "connect"
	// ReasonLost: the connection broke after the call was sent.
	ReasonLost Reason = "lost"
	// ReasonUpstreamEnded: the upstream ended while it was running the call. The
	// call may be the cause.
	ReasonUpstreamEnded Reason = "upstream-ended"
	// ReasonHeld: upstreams ended while they ran this request before, so it is held
	// back from the others.
	ReasonHeld Reason = "held"
	// ReasonTimeout: the deadline passed after the call was dispatched, or before
	// its body had come.
	ReasonTimeout Reason = "timeout"
	// ReasonTruncated: the upstream's answer ended early.
	ReasonTruncated Reason = "truncated"
	// ReasonVisitClosed: the upstream called out for a request that had
	// already been answered.
	ReasonVisitClosed Reason = "visit-closed"
	// ReasonKeyTableFull: no room to remember another idempotency key.
	ReasonKeyTableFull Reason = "key-table-full"
	// ReasonKeyExpired: the key is older than the window in which fates are kept.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyRequired: the profile takes only calls with an idempotency key.
	ReasonKeyRequired Reason = "key-required"
	// ReasonKeyHomeGone: the node that alone may run this key is gone.
	ReasonKeyHomeGone Reason = "key-home-gone"
	// ReasonKeyUnclaimed: the platform could not record the claim on a key
	// that the caller brought.
	ReasonKeyUnclaimed Reason = "key-unclaimed"
	// ReasonKeyReused: the key came before with another request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonAnswerNotHeld: the call completed, but its answer was too large or
	// too old to be kept.
	ReasonAnswerNotHeld Reason = "answer-not-held"
	// ReasonPeerFull: the calling node has as many calls at that node, or at all
	// others, as it may.
	ReasonPeerFull Reason = "peer-full"
	// ReasonBusy: the node itself has too little processor for what comes.
	ReasonBusy Reason = "busy"
	// ReasonUnauthorized: the caller sent no key, or one that no customer has.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonQuota: the customer's requests have reached its limit.
	ReasonQuota Reason = "quota"
	// ReasonQuotaUnknown: whether the customer's requests have reached its limit can't
	// be told, since the members that count them don't answer.
	ReasonQuotaUnknown Reason = "quota-unknown"
	// ReasonNoConfig: the node knows no configuration yet.
	ReasonNoConfig Reason = "no-config"
	// ReasonConfigBehind: no route has the request's host and path here, and a
	// later configuration than the node's is known to exist.
	ReasonConfigBehind Reason = "config-behind"
	// ReasonNoRoute: no route has the request's host and path.
	ReasonNoRoute Reason = "no-route"
	// ReasonNotBelieved: an answer came that can't be the upstream's answer to
	// this request.
	ReasonNotBelieved Reason = "not-believed"
	// ReasonOtherInstance: another incarnation of the upstream has its address.
	ReasonOtherInstance Reason = "other-instance"
	// ReasonBadRequest: the request or one of its headers is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonTooLarge: a header or body is over its limit.
	ReasonTooLarge Reason = "too-large"
)
