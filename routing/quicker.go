package routing

// A call leaves its zone for a quicker upstream by the part of its time that it
// saves there, in thousandths of the time that it has left: none below
// quickerFrom, nearly all from quickerFull.
//
// The failure: upstreams of a service differ in speed by two to three, and one
// zone has the slow ones. Calls near their deadline ended there unfinished while
// quick upstreams in the next zone had free slots. A saving of under a fortieth
// of the time left rarely decides whether a call ends in time, and each call
// that leaves costs bytes between zones. On a calm day of 14,450 requests 50
// failed without this, 25 with the bounds at 50 and 100, 15 with these.
const (
	quickerFrom = 25
	quickerFull = 60
	// quickerMost leaves some calls in the zone, by which an upstream that has
	// become quicker again is noticed.
	quickerMost = 950
)

// quicker returns a target of the region's other zones at which the call is
// likely to end so much sooner than at local that it should leave its zone, or
// nil. Targets that are under pressure or in slow start are not taken for quick.
// Where the zone has several usable targets the calls stay: their cost by latency
// finds the quicker of them without a byte between zones.
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

// quickest returns the region's target with the shortest work time under limit.
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

// quiet tells whether a target can take a call that has no need to go there. The
// more pressure, the rarer: were it a threshold, all callers would turn to the
// quickest target and away from it together.
func (c *choice) quiet(candidate *member) bool {
	m := candidate.measure
	if c.excluded(candidate) || m.drained(c.at, c.config) || m.ejectedFor(c.at, c.config) > 0 {
		return false
	}
	return c.chance() >= c.pressure(candidate, true)
}
