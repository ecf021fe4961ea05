package quarantine

import "time"

// HoldFrom is the number of ends from which a request is held back. Two upstreams in
// turn that end under the same request, while it is the one that both have in common,
// are more than chance.
const HoldFrom = 2

// provenFrom is the number of ends from which a request counts as the cause: it ran
// alone among those that are held when the last of them ended.
const provenFrom = 3

// forever is the hold of a request that has ended an upstream at each of its trials.
// Only an operator clears it, or its entry is forgotten.
const forever = keepProven

// holds is how long a request is held back, by its ends from HoldFrom on.
var holds = [...]time.Duration{
	// An upstream that has ended takes some seconds to be back. A request that is
	// innocent waits no longer for its trial, and one that is not finds the other
	// upstreams in service again.
	10 * time.Second,
	// From here on the request is the likely cause, and each trial costs an upstream.
	10 * time.Minute,
	time.Hour,
	6 * time.Hour,
}

// HoldTime is how long a request is held back after its last end.
func HoldTime(ends int) time.Duration {
	switch {
	case ends < HoldFrom:
		return 0
	case ends-HoldFrom < len(holds):
		return holds[ends-HoldFrom]
	}
	return forever
}

// Times after which an entry is forgotten, from its last change.
const (
	// keepSuspect is for a request that is not proven to be the cause, and for one
	// that was cleared.
	keepSuspect = 10 * time.Minute
	// keepProven is for one that is.
	keepProven = 24 * time.Hour
)

// keepTime is how long an entry is kept.
func keepTime(ends int) time.Duration {
	if ends >= provenFrom {
		return keepProven
	}
	return keepSuspect
}

// tellTime is how long the members are told of a request.
func tellTime(ends int) time.Duration {
	const part = 2
	if ends == 0 {
		return tellCleared
	}
	return keepTime(ends) / part
}

// tellCleared is how long the members are told that a request is cleared. All that can
// be reached have heard it by then.
const tellCleared = time.Minute

// endsTogether is the time within which upstreams that end may do so for one cause that
// is none of their requests.
const endsTogether = 2 * time.Second

// completedRecently is how long a completion speaks against blame that is told later:
// news of an end may be on its way while the request completes elsewhere.
const completedRecently = 10 * time.Second
