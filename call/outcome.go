package call

// Outcome states what a caller may conclude from a response. Every response that leaves
// a node carries exactly one.
type Outcome uint8

const (
	// Unknown means that the call was dispatched and its fate is not known. It is the
	// zero value on purpose: code that forgets to set an outcome then makes the weakest
	// claim.
	Unknown Outcome = iota
	// NotRun means that no upstream, here or further downstream, ran any part of the
	// call. It is certain, and it is the only outcome after which a non-idempotent call
	// may be sent to another upstream.
	NotRun
	// Complete means that the upstream ran the call and this is its complete response,
	// whatever its status code.
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

// ParseOutcome is the inverse of String. For any other text it returns Unknown and a
// *HeaderError.
func ParseOutcome(s string) (Outcome, error) {
	for o, name := range outcomeNames {
		if name == s {
			return Outcome(o), nil
		}
	}
	return Unknown, &HeaderError{Header: HeaderOutcome, Value: s, Want: "complete, not-run or unknown"}
}

// Reason states in one stable word why a call was refused, delayed or left without a
// known fate. Reasons are metric labels and part of the public API.
type Reason string

const (
	// ReasonNone accompanies a complete response that is not an error.
	ReasonNone Reason = ""
	// ReasonQueueFull: the admission queue was full of calls at least as important.
	ReasonQueueFull Reason = "queue-full"
	// ReasonQueueWait: the call waited in the queue for as long as its profile allows.
	ReasonQueueWait Reason = "queue-wait"
	// ReasonUpstreamLimit: the upstream takes a limited number of calls a second, and the
	// call would have waited too long for its turn.
	ReasonUpstreamLimit Reason = "upstream-limit"
	// ReasonDeadline: the call could not complete before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLevel: the call's level was below this node's admission level.
	ReasonLevel Reason = "level"
	// ReasonLevelBelow: the root refused a request that a hop further downstream would
	// refuse.
	ReasonLevelBelow Reason = "level-below"
	// ReasonCancelled: the caller cancelled the call or disconnected.
	ReasonCancelled Reason = "cancelled"
	// ReasonDraining: the node is draining and accepts no new calls.
	ReasonDraining Reason = "draining"
	// ReasonNoTarget: no member that offers the service can be chosen, because none is
	// known, all drain or all were tried, or the route names no service.
	ReasonNoTarget Reason = "no-target"
	// ReasonNoUpstream: no upstream has announced itself to this node.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonUpstreamShed: the upstream itself refused the call before doing any work.
	ReasonUpstreamShed Reason = "upstream-shed"
	// ReasonUpstreamRefused: the upstream itself refused the call before doing any
	// work, although it had free slots. The refusal says nothing about its load.
	ReasonUpstreamRefused Reason = "upstream-refused"
	// ReasonUpstreamFailed: the upstream returned an error of its own; none of its
	// calls had failed. It accompanies a complete response.
	ReasonUpstreamFailed Reason = "upstream-failed"
	// ReasonFailedBelow: the upstream returned an error after one of its own calls had
	// failed, or at its deadline. It accompanies a complete response.
	ReasonFailedBelow Reason = "failed-below"
	// ReasonRetryBudget: the call belongs to a run that is itself a retry, and retries
	// have reached their permitted share of the calls to the service.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonConnect: no connection could be made, so nothing was sent.
	ReasonConnect Reason = "connect"
	// ReasonLost: the connection broke after the call was sent.
	ReasonLost Reason = "lost"
	// ReasonUpstreamCrashed: the upstream crashed while it was running the call. The call
	// may be the cause.
	ReasonUpstreamCrashed Reason = "upstream-ended"
	// ReasonHeld: upstreams crashed while they ran this request before, so it is held
	// in quarantine to protect the others.
	ReasonHeld Reason = "held"
	// ReasonTimeout: the deadline passed after the call was dispatched, or before its
	// body had arrived.
	ReasonTimeout Reason = "timeout"
	// ReasonTruncated: the upstream's response broke off before its end.
	ReasonTruncated Reason = "truncated"
	// ReasonVisitClosed: the upstream made a call on behalf of a request that had
	// already been answered.
	ReasonVisitClosed Reason = "visit-closed"
	// ReasonKeyTableFull: the table of idempotency keys has no free space.
	ReasonKeyTableFull Reason = "key-table-full"
	// ReasonKeyExpired: the idempotency key is older than the window in which fates are
	// stored.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyRequired: the profile accepts only calls with an idempotency key.
	ReasonKeyRequired Reason = "key-required"
	// ReasonKeyHomeGone: the key's owner, the only node that may run this key, is gone.
	ReasonKeyHomeGone Reason = "key-home-gone"
	// ReasonKeyUnclaimed: the platform could not record the claim on a key that the
	// caller sent.
	ReasonKeyUnclaimed Reason = "key-unclaimed"
	// ReasonKeyReused: the key was used before with a different request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonAnswerNotHeld: the call completed, but its response was too large or too
	// old to be stored.
	ReasonAnswerNotHeld Reason = "answer-not-held"
	// ReasonPeerFull: the calling node has reached its limit of concurrent calls to the
	// peer, or to all peers.
	ReasonPeerFull Reason = "peer-full"
	// ReasonBusy: the node itself is short of CPU time for its incoming calls.
	ReasonBusy Reason = "busy"
	// ReasonUnauthorized: the caller sent no API key, or one that belongs to no
	// customer.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonQuota: the customer's requests have reached its limit.
	ReasonQuota Reason = "quota"
	// ReasonQuotaUnknown: the node can't determine whether the customer's requests have
	// reached its limit, because the members that count them don't respond.
	ReasonQuotaUnknown Reason = "quota-unknown"
	// ReasonNoConfig: the node has no configuration yet.
	ReasonNoConfig Reason = "no-config"
	// ReasonConfigBehind: no route matches the request's host and path, or no customer
	// has its API key, and the node's configuration is known to be out of date or
	// incomplete.
	ReasonConfigBehind Reason = "config-behind"
	// ReasonNoRoute: no route matches the request's host and path.
	ReasonNoRoute Reason = "no-route"
	// ReasonInvalidAnswer: a response arrived that can't be the upstream's response to
	// this request.
	ReasonInvalidAnswer Reason = "not-believed"
	// ReasonOtherInstance: the address now belongs to another incarnation of the
	// upstream.
	ReasonOtherInstance Reason = "other-instance"
	// ReasonBadRequest: the request or one of its headers is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonTooLarge: a header or body exceeds its size limit.
	ReasonTooLarge Reason = "too-large"
)
