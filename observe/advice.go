package observe

import "pollengauge.dev/call"

// Advice explains a reason to operators: its cause, and the action to take.
type Advice struct {
	Reason call.Reason
	Cause  string
	Action string
}

var adviceTable = []Advice{
	{call.ReasonQueueFull, "the queue held only work of a higher level", "Add capacity to this service, or raise the profile's priority if it must survive before others."},
	{call.ReasonQueueWait, "no place came free in the time that it may wait in the queue, or none was to be expected", "Add capacity to this service. Repeatable calls are given a tenth of a second at most, whatever their maxWait; a higher priority goes ahead in the queue."},
	{call.ReasonUpstreamLimit, "the upstream takes only so many calls a second from all nodes together, and the call's turn would have come too late", "Find out why the upstream names a limit (event 4031); the gauge pollengauge_upstream_reported tells which. Other upstreams of the service take the rest as far as they can."},
	{call.ReasonDeadline, "what was left of its deadline was shorter than the service takes", "Give the profile a longer deadline, or find the hop above that used it up."},
	{call.ReasonLevel, "its level was below the admission level in force", "Add capacity to this service, or raise the profile's priority if it must survive before others."},
	{call.ReasonLevelBelow, "a deeper hop would have refused it, so it was refused before any work was done", "Add capacity to the service that sheds, or raise the profile's priority if it must survive before others; top shows the levels in force now."},
	{call.ReasonCancelled, "the caller went away before the answer", "Compare the caller's timeout with the profile's deadline; the shorter one decides."},
	{call.ReasonDraining, "the node was draining and took no new work", "None while it is replaced; other nodes of the service should have taken the call. If none did, start more."},
	{call.ReasonPeerFull, "the calling node has as many calls at that node, or at all others, as it may", "Find the slow service at which the calls pile up; raise peer-conns if its slots allow more."},
	{call.ReasonBusy, "the node had too little processor time for its requests", "See whether the VM is slow, or its processor share too small for its traffic."},
	{call.ReasonUnauthorized, "its caller sent no key, or one that no customer of the configuration in force has", "Compare config_version with the change that added or removed the key; pollengauge customers lists who has how many keys. The caller must send a key that is in force."},
	{call.ReasonQuota, "its customer's requests had reached the limit that operators set", "See in pollengauge customers what the customer uses; raise its rate or burst, or tell the customer."},
	{call.ReasonQuotaUnknown, "the members that count its customer's requests did not answer", "Look for members that are lost or cut off; it lasts until the others know of it."},
	{call.ReasonNoConfig, "the node knows no configuration yet", "See whether the node reaches the platform or a peer."},
	{call.ReasonConfigBehind, "the node has no route for it, and knows of a later configuration than its own", "Look for config-behind and config-refused; the caller was told to come back."},
	{call.ReasonNoRoute, "no route of the configuration in force has the request's host and path", "Compare the request with the routes; config_version tells which set was in force."},
	{call.ReasonInvalidAnswer, "an answer came that can't be the upstream's answer to this request", "Look at the upstream: it sends answers twice, late, or without its signature."},
	{call.ReasonOtherInstance, "another incarnation of the upstream, or another VM, has the address", "None; it lasts until the next announcement."},
	{call.ReasonNoTarget, "no member of the service takes work: none is known, or each of them drains or can't be reached", "See in status whether nodes of that service run, and whether they drain; else start one, or correct the service's name in the caller."},
	{call.ReasonNoUpstream, "no upstream has announced itself to this node", "See whether the upstream beside this node runs and announces itself."},
	{call.ReasonUpstreamShed, "the upstream itself refused before doing anything", "The upstream's own limit is below the node's; raise it, or lower the slots that it announces."},
	{call.ReasonUpstreamRefused, "the upstream itself refused before doing anything, though it had free slots", "Look at the upstream: it refuses for another cause than load. Calls are repeated at others as far as the retry budget goes."},
	{call.ReasonUpstreamFailed, "the upstream answered with an error of its own", "Look at the upstream's log. Repeatable calls are tried at others as far as the retry budget goes."},
	{call.ReasonFailedBelow, "the upstream answered with an error after a call that it made had failed, or at its deadline", "Find the call: the lines of the same request with a deeper id."},
	{call.ReasonRetryBudget, "the call was made by a visit that was itself a retry, and the retries of the service had reached their share", "Find the service that fails; more retries would only add load."},
	{call.ReasonConnect, "no connection could be made, so nothing was sent", "See whether the target runs, the upstream beside its node too, and whether its connections are used up."},
	{call.ReasonLost, "the connection broke after the call was sent", "Look for a crash or restart of the target. Ask the upstream about the key before sending again."},
	{call.ReasonUpstreamCrashed, "the upstream crashed while it was running the call", "Read the upstream's last log lines. Records with the same fingerprint and this reason are the same request: if it recurs, it is the likely cause."},
	{call.ReasonHeld, "upstreams crashed earlier while they ran the same request, so it is quarantined", "Find the fingerprint with pollengauge quarantine list and fix the upstream; pollengauge quarantine clear lets the request run at once."},
	{call.ReasonTimeout, "the deadline passed after the call was dispatched", "Find the slow hop. Ask the upstream about the key before sending again."},
	{call.ReasonTruncated, "the upstream's answer ended early", "Look for a crash or restart of the upstream during the call."},
	{call.ReasonVisitClosed, "the upstream called out for a request that had already been answered", "Make the upstream stop work when its request is cancelled."},
	{call.ReasonKeyTableFull, "there was no room to remember another idempotency key", "Raise the key table's size, or shorten the window in which fates are kept."},
	{call.ReasonKeyExpired, "the key is older than the window in which fates are kept", "Ask the upstream about the key; lengthen the window if callers retry that late."},
	{call.ReasonKeyRequired, "the profile takes only calls with an idempotency key", "Make the caller send Idempotency-Key, or assign another profile."},
	{call.ReasonKeyHomeGone, "the only node that may run this key is gone", "Ask the upstream what became of the key; only then send again with a new one."},
	{call.ReasonKeyUnclaimed, "the platform could not record the claim on a key that the caller brought", "Check the platform; minted keys need no claim and go on during its outage."},
	{call.ReasonKeyReused, "the key was used before with another request, whose answer is not this caller's", "Make the caller use a new key for each request."},
	{call.ReasonAnswerNotHeld, "the call completed, but its answer was too large or too old to be kept", "It ran: ask the upstream for the result. Raise max-answer-bytes if it happens often."},
	{call.ReasonBadRequest, "the request or one of its headers is malformed", "Correct the caller."},
	{call.ReasonTooLarge, "a header or body is over its limit", "Correct the caller, or raise the limit."},
}

// AdviceTable returns the advice for all reasons, in the order of the docs.
func AdviceTable() []Advice { return append([]Advice(nil), adviceTable...) }

// AdviceFor returns the advice for a reason. For a reason that this version
// doesn't know, the advice says that the cause is unknown.
func AdviceFor(reason call.Reason) Advice {
	for _, a := range adviceTable {
		if a.Reason == reason {
			return a
		}
	}
	return Advice{
		Reason: reason,
		Cause:  "this version knows no cause for the reason " + string(reason),
		Action: "Read the log of the node that gave it.",
	}
}
