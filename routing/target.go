package routing

import (
	"time"

	"pollengauge.dev/call"
)

// Target is one member that offers a service.
type Target struct {
	// ID names one incarnation: a restarted VM has another.
	ID string
	// Service is the service that the target offers.
	Service string
	// Addr is the address of the target's node.
	Addr string
	// Zone and Region are where the target runs.
	Zone   string
	Region string
	// Slots is how many calls at once the upstream announced that it serves;
	// 0 counts as 1.
	Slots int
	// Draining targets get no new calls.
	Draining bool
	// Revision rises with each announcement of the member. A higher one that
	// does not drain ends what an earlier refusal said. 0 is never higher.
	Revision uint64
	// WorkTimes are how long the target's upstream works on a call.
	WorkTimes WorkTimes
	// Local is true for this node's own upstream. It is only passed on.
	Local bool
}

// Feedback is what one attempt showed.
type Feedback struct {
	Outcome call.Outcome
	Reason  call.Reason
	// Deeper is true when the reason came from a hop below the target. The
	// target answered, so it isn't held against it.
	Deeper bool
	// Latency is from sending the call to the end of its answer.
	Latency time.Duration
	// Load is the target's own report, in thousandths of its limit. 0 means
	// that there was none.
	Load int
	// Level is the admission level in force that the target reported.
	Level call.Level
}

// verdict is what a Feedback says about the target itself.
type verdict uint8

const (
	// verdictNeutral says nothing: the caller left, or the fault is below.
	verdictNeutral verdict = iota
	verdictGood
	// verdictRefused: the target works, but has no room.
	verdictRefused
	// verdictFailed: the target can't be reached or doesn't answer.
	verdictFailed
	verdictDraining
)

func (f Feedback) verdict() verdict {
	switch f.Reason {
	case call.ReasonConnect, call.ReasonLost, call.ReasonUpstreamEnded, call.ReasonTimeout,
		call.ReasonTruncated, call.ReasonNotBelieved, call.ReasonNoUpstream, call.ReasonOtherInstance,
		call.ReasonUpstreamFailed:
		if f.Deeper {
			return verdictNeutral
		}
		return verdictFailed
	case call.ReasonLevel, call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonUpstreamShed, call.ReasonUpstreamRefused, call.ReasonBusy, call.ReasonPeerFull:
		if f.Deeper {
			return verdictNeutral
		}
		return verdictRefused
	case call.ReasonDraining:
		if f.Deeper {
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
	// InFlight is this node's calls on the target.
	InFlight int
	// Latency is the moving average, 0 when not measured yet.
	Latency time.Duration
	// Refused and Failed are recent shares in thousandths, decayed by age.
	Refused int
	Failed  int
	// Load is the reported load in thousandths, decayed by age.
	Load int
	// Level is the latest admission level that the target reported.
	Level call.Level
	// Share is what slow start lets through, in thousandths.
	Share int
	// Ejected is how long the target is still left out, 0 when it is not.
	Ejected time.Duration
	// Leaving is true for a target that drains, by the members' word or its
	// own refusal.
	Leaving bool
}
