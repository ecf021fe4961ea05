package quarantine

import "time"

// QuarantineThreshold is the number of crashes from which a request is quarantined. Two
// successive upstreams that crash while running the same request, when it is the only one
// that both ran, are unlikely to be a coincidence.
const QuarantineThreshold = 2

// provenThreshold is the number of crashes from which a request counts as the proven
// cause: when the last upstream crashed, it was the only quarantined request running
// there.
const provenThreshold = 3

// maxHoldTime is how long a request that crashed an upstream in each of its trials is
// held. It is released only when an operator clears it or its entry expires.
const maxHoldTime = provenTTL

// holdTimes is how long a request is quarantined, by its number of crashes from
// QuarantineThreshold on.
var holdTimes = [...]time.Duration{
	// A crashed upstream takes some seconds to restart. After this time an innocent
	// request need not wait longer for its trial, and a request that does crash its
	// upstream finds the other upstreams back in service.
	10 * time.Second,
	// From here on the request is the likely cause, and each trial may cost an
	// upstream.
	10 * time.Minute,
	time.Hour,
	6 * time.Hour,
}

// HoldTime returns how long a request is quarantined after its last crash.
func HoldTime(crashes int) time.Duration {
	switch {
	case crashes < QuarantineThreshold:
		return 0
	case crashes-QuarantineThreshold < len(holdTimes):
		return holdTimes[crashes-QuarantineThreshold]
	}
	return maxHoldTime
}

// Times from the last change of an entry to its expiry.
const (
	// suspectTTL applies to a request that is not proven to be the cause, and to one
	// that was cleared.
	suspectTTL = 10 * time.Minute
	// provenTTL applies to a proven cause.
	provenTTL = 24 * time.Hour
)

// entryTTL returns how long an entry is retained.
func entryTTL(crashes int) time.Duration {
	if crashes >= provenThreshold {
		return provenTTL
	}
	return suspectTTL
}

// announceTime returns how long a record is announced to the members.
func announceTime(crashes int) time.Duration {
	const part = 2
	if crashes == 0 {
		return announceClearedTime
	}
	return entryTTL(crashes) / part
}

// announceClearedTime is how long the clearing of a request is announced to the
// members. Within this time all reachable members have received it.
const announceClearedTime = time.Minute

// commonCauseWindow is the time within which several upstreams may crash for a common
// cause that is none of their requests.
const commonCauseWindow = 2 * time.Second

// completionValidity is how long a completion outweighs blame that is received later:
// the notice of a crash may be on its way while the request completes elsewhere.
const completionValidity = 10 * time.Second
