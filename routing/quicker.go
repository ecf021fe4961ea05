package routing

// A call leaves its zone for a faster upstream with a probability that depends
// on the work time it would save there, in thousandths of the time until its
// deadline: 0 up to minSavedShare, rising to maxLeaveChance near
// fullSavedShare.
//
// This is for services whose upstreams differ in speed by a factor of two to
// three, when one zone has the slow ones. Without it, calls near their deadline
// ran out of time in that zone while fast upstreams in the next zone had free
// slots. A saving of less than a fortieth of the time left rarely decides
// whether a call meets its deadline, and a call that leaves its zone takes the
// longer way.
const (
	minSavedShare  = 25
	fullSavedShare = 60
	// maxLeaveChance is the maximum probability, in thousandths. The calls that
	// stay in the zone detect an upstream there that has become faster again.
	maxLeaveChance = 950
)

// fasterTarget returns a target in the region's other zones for which the call
// should leave its zone because it is likely to finish there so much sooner
// than at local, or nil. Targets under pressure or in slow start are less
// likely to be considered. If the zone has several usable targets, the call
// stays: the choice by cost already prefers the faster of them, without traffic
// between zones.
func (c *choice) fasterTarget(local *member) *member {
	localWorkTime := local.target.WorkTimes.forProfile(c.profile)
	if localWorkTime == 0 || c.leftMicros <= 0 || !c.singleTarget {
		return nil
	}
	fastest := c.fastestTarget(localWorkTime)
	if fastest == nil {
		return nil
	}
	saved := (localWorkTime - fastest.target.WorkTimes.forProfile(c.profile)) * thousand / c.leftMicros
	if c.randomThousandths() >= min((saved-minSavedShare)*thousand/(fullSavedShare-minSavedShare), maxLeaveChance) {
		return nil
	}
	return fastest
}

// fastestTarget returns the target in the region's other zones with the
// shortest work time below limit.
func (c *choice) fastestTarget(limit int64) (fastest *member) {
	for _, candidate := range c.view.otherZones {
		took := candidate.target.WorkTimes.forProfile(c.profile)
		if took == 0 || took >= limit || !c.hasSpareCapacity(candidate) {
			continue
		}
		fastest, limit = candidate, took
	}
	return fastest
}

// hasSpareCapacity reports whether a target can take a call that has no need to
// go there. The probability falls with the pressure on the target: with a
// threshold, all callers would move to the fastest target and away from it
// together.
func (c *choice) hasSpareCapacity(candidate *member) bool {
	m := candidate.stats
	if c.excluded(candidate) || m.drained(c.at, c.config) || m.ejectedFor(c.at, c.config) > 0 {
		return false
	}
	return c.randomThousandths() >= c.pressure(candidate, true)
}
