package routing

// A call leaves its zone for a faster upstream with a probability that depends
// on the work time it would save there, in thousandths of the time until its
// deadline: 0 up to quickerFrom, rising to quickerMost near quickerFull.
//
// This is for services whose upstreams differ in speed by a factor of two to
// three, when one zone has the slow ones. Without it, calls near their deadline
// ran out of time in that zone while fast upstreams in the next zone had free
// slots. A saving of less than a fortieth of the time left rarely decides
// whether a call meets its deadline, and each call that leaves costs traffic
// between zones. On a calm day of 14,450 requests, 50 failed without this rule,
// 25 with the bounds at 50 and 100, and 15 with the bounds used here.
const (
	quickerFrom = 25
	quickerFull = 60
	// quickerMost is the maximum probability, in thousandths. The calls that
	// stay in the zone detect an upstream there that has become faster again.
	quickerMost = 950
)

// quicker returns a target in the region's other zones for which the call
// should leave its zone because it is likely to finish there so much sooner
// than at local, or nil. Targets under pressure or in slow start are less
// likely to be considered. If the zone has several usable targets, the call
// stays: the choice by cost already prefers the faster of them, without traffic
// between zones.
func (c *choice) quicker(local *member) *member {
	home := local.target.WorkTimes.of(c.profile)
	if home == 0 || c.left <= 0 || !c.alone {
		return nil
	}
	quickest := c.quickest(home)
	if quickest == nil {
		return nil
	}
	saved := (home - quickest.target.WorkTimes.of(c.profile)) * thousand / c.left
	if c.chance() >= min((saved-quickerFrom)*thousand/(quickerFull-quickerFrom), quickerMost) {
		return nil
	}
	return quickest
}

// quickest returns the target in the region's other zones with the shortest
// work time below limit.
func (c *choice) quickest(limit int64) (quickest *member) {
	for _, candidate := range c.view.region {
		took := candidate.target.WorkTimes.of(c.profile)
		if took == 0 || took >= limit || !c.quiet(candidate) {
			continue
		}
		quickest, limit = candidate, took
	}
	return quickest
}

// quiet reports whether a target can take a call that has no need to go there.
// The probability falls with the pressure on the target: with a threshold, all
// callers would move to the fastest target and away from it together.
func (c *choice) quiet(candidate *member) bool {
	m := candidate.measure
	if c.excluded(candidate) || m.drained(c.at, c.config) || m.ejectedFor(c.at, c.config) > 0 {
		return false
	}
	return c.chance() >= c.pressure(candidate, true)
}
