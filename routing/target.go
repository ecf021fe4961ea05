package routing

import (
	"time"

	"pollengauge.dev/call"
)

// Target is one member that offers a service.
type Target struct {
	// ID identifies one incarnation: a restarted VM has another ID.
	ID string
	// Service is the service that the target offers.
	Service string
	// Addr is the address of the target's node.
	Addr string
	// Zone and Region are where the target runs.
	Zone   string
	Region string
	// Slots is the number of concurrent calls that the upstream announced it
	// can serve; 0 counts as 1.
	Slots int
	// Draining is true while the member drains. Such a target gets new calls only
	// as a last resort, and only if Config.PickDraining is set.
	Draining bool
	// Revision increases with each announcement of the member. An announcement
	// without a drain and with a higher revision cancels an earlier refusal
	// because of a drain. 0 is never higher.
	Revision uint64
	// WorkTimes is how long the target's upstream works on calls, by profile.
	WorkTimes WorkTimes
	// Local is true for this node's own upstream. The router only passes it on.
	Local bool
}

// Feedback is the result of one attempt.
type Feedback struct {
	Outcome call.Outcome
	Reason  call.Reason
	// Downstream is true when the reason came from a hop downstream of the target.
	// The target itself answered, so the result doesn't count against it.
	Downstream bool
	// Latency is the time from sending the call to the end of its answer.
	Latency time.Duration
	// Load is the load reported by the target, in thousandths of its limit. 0
	// means that it reported none.
	Load int
	// Level is the admission level in force that the target reported.
	Level call.Level
	// Reported is the last load report of the target's upstream. The zero value
	// means that it reported nothing.
	Reported call.TargetLoad
}

// verdict is the conclusion about the target itself from a Feedback.
type verdict uint8

const (
	// verdictNeutral: no conclusion, since the caller went away or the fault is
	// downstream.
	verdictNeutral verdict = iota
	verdictGood
	// verdictRefused: the target works, but has no capacity.
	verdictRefused
	// verdictFailed: the target can't be reached or doesn't answer.
	verdictFailed
	verdictDraining
)

func (f Feedback) verdict() verdict {
	switch f.Reason {
	case call.ReasonConnect, call.ReasonLost, call.ReasonUpstreamCrashed, call.ReasonTimeout,
		call.ReasonTruncated, call.ReasonInvalidAnswer, call.ReasonNoUpstream, call.ReasonOtherInstance,
		call.ReasonUpstreamFailed:
		if f.Downstream {
			return verdictNeutral
		}
		return verdictFailed
	case call.ReasonLevel, call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonUpstreamLimit, call.ReasonUpstreamShed, call.ReasonUpstreamRefused, call.ReasonBusy, call.ReasonPeerFull:
		if f.Downstream {
			return verdictNeutral
		}
		return verdictRefused
	case call.ReasonDraining:
		if f.Downstream {
			return verdictNeutral
		}
		return verdictDraining
	}
	if f.Outcome == call.Complete {
		return verdictGood
	}
	return verdictNeutral
}

// TargetState is the state of one target, for display.
type TargetState struct {
	Target
	// InSubset is false for members that this node doesn't use.
	InSubset bool
	// InFlight is the number of this node's calls in flight on the target.
	InFlight int
	// Latency is the moving average, 0 when not measured yet.
	Latency time.Duration
	// Refused and Failed are the shares of recent calls that were refused or
	// failed, in thousandths, decayed by age.
	Refused int
	Failed  int
	// Load is the reported load in thousandths, decayed by age.
	Load int
	// Level is the latest admission level that the target reported.
	Level call.Level
	// Share is the share of calls that slow start admits, in thousandths.
	Share int
	// Ejected is the remaining time of the target's ejection, 0 when it is not
	// ejected.
	Ejected time.Duration
	// Reported is the latest load report of the target's upstream, with its age;
	// its zero value means that there is none. Belief is whether the report is
	// used.
	Reported call.TargetLoad
	Belief   LoadBelief
	// Drained is true for a target that drains, according to the member list or
	// to its own refusal.
	Drained bool
}
