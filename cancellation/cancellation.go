package cancellation

import "time"

// Callers allow an upstream to work for half a second after they have disconnected. A node
// learns this from the node that called it, which may itself let its run finish first.
const (
	// MaxAbandoned is how long after its caller has disconnected a run may last. With two
	// callers before it that waited for MaxCalling each, that is half a second in all.
	MaxAbandoned = 300 * time.Millisecond
	// MaxCalling applies to a run that waits for a call of its own: the node of that call
	// learns that nobody waits for it only when this run is aborted.
	MaxCalling = 100 * time.Millisecond
	// finishTime is the longest expected rest of a run that is allowed to finish. It leaves
	// room for the run to last longer than expected and still end before MaxAbandoned.
	finishTime = 200 * time.Millisecond
	// contendedFinishTime applies while the upstream is nearly full: a slot is then worth
	// more than a connection, which costs an upstream about a millisecond.
	contendedFinishTime = 50 * time.Millisecond
	// tailShare is the least expected rest of a run, as a share of the time that it has
	// worked. Work times have a long tail: a run that exceeds the mean is more likely to be
	// a long one than to end at once.
	tailShare = 0.25
)

// Run describes a run whose caller no longer waits.
type Run struct {
	// Worked is how long the upstream has worked on the run, without the time in which it
	// waited for its own calls.
	Worked time.Duration
	// Usual is the mean work time of the run's profile at this upstream, 0 if unknown.
	Usual time.Duration
	// Calling is set while the run waits for a call of its own. It can make no further ones,
	// so it ends soon after that call.
	Calling bool
	// ShuttingDown is set while the node shuts down. Calls of the run may have a caller that
	// still waits, and a node that shuts down must not answer those in place of an upstream
	// that works on them.
	ShuttingDown bool
	// Contended is set while few slots of the upstream are free, or none.
	Contended bool
	// Full is set while the node lets as many runs finish as it can track.
	Full bool
}

// Verdict is the decision about a run.
type Verdict struct {
	// Finish is true if the run may end by itself. Otherwise it is aborted at once.
	Finish bool
	// Within bounds the time that the run may still take; 0 means until its deadline.
	Within time.Duration
	Reason Reason
}

// Reason is the reason for a Verdict, as one word. It is a metric label.
type Reason string

// Values of Reason.
const (
	// EndsSoon: the run is expected to end soon.
	EndsSoon Reason = "ends-soon"
	// TooLong: the run is expected to last longer than it may.
	TooLong Reason = "too-long"
	// Unmeasured: nothing is known about how long such runs take.
	Unmeasured Reason = "unmeasured"
	// Shutdown: the node shuts down.
	Shutdown Reason = "shutdown"
	// Full: too many runs without a caller are in progress.
	Full Reason = "full"
)

// Decide decides what happens to a run at the time when its caller disconnects.
//
// Load pattern: a request fails or is given up while several of its calls run. This happens to
// thousands of requests in a few seconds when a service that all of them need refuses calls.
// Aborting each of their runs closes a connection to an upstream each time.
func Decide(run Run) Verdict {
	switch {
	case run.ShuttingDown:
		return Verdict{Finish: true, Reason: Shutdown}
	case run.Full:
		return Verdict{Reason: Full}
	case run.Usual <= 0:
		return Verdict{Reason: Unmeasured}
	case run.expectedRest() > run.allowed():
		return Verdict{Reason: TooLong}
	}
	if run.Calling {
		return Verdict{Finish: true, Within: MaxCalling, Reason: EndsSoon}
	}
	return Verdict{Finish: true, Within: MaxAbandoned, Reason: EndsSoon}
}

// expectedRest returns how much longer the run is expected to work.
func (r Run) expectedRest() time.Duration {
	return max(r.Usual-r.Worked, time.Duration(tailShare*float64(r.Worked)))
}

func (r Run) allowed() time.Duration {
	if r.Contended {
		return contendedFinishTime
	}
	return finishTime
}
