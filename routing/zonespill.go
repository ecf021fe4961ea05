package routing

import "sync/atomic"

const (
	// spillIntervalMillis is the time between two adjustments of the share of
	// calls that leave the zone, in milliseconds. Short calls take about half of
	// it, so that an adjustment sees the effect of the one before.
	spillIntervalMillis = 100
	// spillStep is the part of the difference that one adjustment moves. All nodes
	// of a zone adjust by the same reports at the same time; a tenth keeps them
	// from leaving and coming back together.
	spillStep = 0.1
	// minSpillUse is the use of the own zone's slots up to which no calls leave.
	// A fifth of the slots is free then, more than a target's load varies within
	// the age of a report.
	minSpillUse = 0.8
	// shareUnit is the value of a share of 1.
	shareUnit = 1_000_000
	// maxSpillZones is the number of zones whose use is compared. The rest get
	// calls by the choice between targets only.
	maxSpillZones = 16
)

// zoneSpill holds the share of a service's calls that leave the own zone because
// its use is above that of the others.
type zoneSpill struct {
	// share is in units of 1/shareUnit, and holds until validUntil.
	share      atomic.Int64
	validUntil atomic.Int64
	next       atomic.Int64
}

// zoneUse is the reported use of a zone.
type zoneUse struct {
	// use is the calls that run or wait per slot.
	use float64
	// slots is the slots of the zone's members.
	slots int64
}

// commonUse returns the use at which the given zones would be equally full.
func commonUse(zones []zoneUse) float64 {
	var used, slots float64
	for _, z := range zones {
		used += z.use * float64(z.slots)
		slots += float64(z.slots)
	}
	if slots == 0 {
		return 0
	}
	return used / slots
}

// nextSpillShare returns the share of calls that should leave the zone, given the
// share that leaves now, the use of the own zone, and the use of all zones
// together.
//
// This is for zones whose demand rises and falls out of phase. Water-filling
// moves only the use above the common one, so equally full zones exchange
// nothing.
func nextSpillShare(share, own, common float64) float64 {
	excess := own - max(common, minSpillUse)
	if excess > 0 {
		// The excess is a part of the calls that stay.
		share += spillStep * (1 - share) * excess / own
	} else {
		share += spillStep * excess / minSpillUse
	}
	return min(max(share, 0), 1)
}

// spillShare returns the share in thousandths. It returns false if the reports
// that it is based on are too old.
func (s *zoneSpill) spillShare(at int64) (share int64, known bool) {
	left := s.validUntil.Load() - at
	if left <= 0 || left > maxReportMillis {
		return 0, false
	}
	return s.share.Load() * thousand / shareUnit, true
}

// update adjusts the share once per interval.
func (s *zoneSpill) update(v *view, at int64) {
	next := s.next.Load()
	if at < next && next-at <= spillIntervalMillis {
		return
	}
	if len(v.zones) < 2 || !s.next.CompareAndSwap(next, at+spillIntervalMillis) {
		return
	}
	var known [maxSpillZones]zoneUse
	n := 0
	for i := range v.zones {
		z, ok := v.zones[i].reportedUse(at)
		if ok {
			known[n] = z
			n++
		} else if i == 0 {
			return
		}
	}
	if n < 2 {
		return
	}
	share := nextSpillShare(float64(s.share.Load())/shareUnit, known[0].use, commonUse(known[:n]))
	s.share.Store(int64(share * shareUnit))
	s.validUntil.Store(at + 2*spillIntervalMillis)
}

// zoneMembers are the members of one zone.
type zoneMembers struct {
	zone string
	// slots is the slots of all members of the zone that don't drain.
	slots int64
	// subset holds those that this node uses.
	subset []*member
}

// reportedUse returns the use of a zone by the reports that are still valid, and
// false if there is none.
func (z *zoneMembers) reportedUse(at int64) (zoneUse, bool) {
	var used, slots int64
	for _, candidate := range z.subset {
		if l := candidate.stats.reported.load(at); l.weight > 0 {
			used += l.used
			slots += l.slots
		}
	}
	if slots == 0 {
		return zoneUse{}, false
	}
	return zoneUse{use: float64(used) / float64(slots), slots: z.slots}, true
}

// zonesOf groups the members of this region by zone, the own zone first.
func zonesOf(v *view, config *Config) []zoneMembers {
	zones := []zoneMembers{{zone: config.Zone}}
	add := func(candidate *member, inSubset bool) {
		i := 0
		for i < len(zones) && zones[i].zone != candidate.target.Zone {
			i++
		}
		if i == len(zones) {
			if i == maxSpillZones {
				return
			}
			zones = append(zones, zoneMembers{zone: candidate.target.Zone})
		}
		if inSubset {
			zones[i].subset = append(zones[i].subset, candidate)
			return
		}
		zones[i].slots += slots(candidate)
	}
	for _, candidate := range v.sameRegion {
		add(candidate, true)
	}
	for _, candidate := range v.members {
		if !candidate.target.Draining && candidate.target.Region == config.Region {
			add(candidate, false)
		}
	}
	return zones
}

// leaveChance returns the probability, in thousandths, with which a call looks
// for a target in another zone instead of local. If local has no free slot by a
// report that still counts, the call always looks.
func (c *choice) leaveChance(local *member) int64 {
	switch {
	case !c.spillKnown:
		return c.pressure(local, c.singleTarget)
	case local.stats.reported.load(c.at).full():
		return thousand
	}
	return max(c.spillShare, c.strain(local, c.singleTarget))
}

// leaves reports whether a call that drew a number below the result of
// leaveChance, pressure, leaves local for near.
//
// The share by reports takes about a second to follow a change. A target without
// a free slot therefore also sends calls to a target that has one, by the
// difference of their pressures. Without this, calls come late or
// are refused while the targets of one zone slow down together.
func (c *choice) leaves(local, near *member, drawn, pressure int64) bool {
	if !c.spillKnown {
		return drawn < pressure-c.pressure(near, true)
	}
	strain := c.strain(near, true)
	if drawn < c.spillShare-strain {
		return true
	}
	if local.stats.reported.load(c.at).full() {
		pressure = c.strain(local, false)
		if l := near.stats.reported.load(c.at); l.weight > 0 && !l.full() {
			pressure = c.pressure(local, false)
		}
	}
	return pressure > c.spillShare && drawn < pressure-c.pressure(near, true)
}
