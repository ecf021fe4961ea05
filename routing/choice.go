package routing

import (
	"math/bits"
	"slices"
)

// choice is the state of one Pick.
type choice struct {
	view    *view
	config  *Config
	exclude []string
	// typical is the median latency of the service's targets, in microseconds.
	typical int64
	rnd     uint64
	at      int64
	probe   bool
	// profile is the ProfileKey of the call. leftMicros is the time until the
	// call's deadline in microseconds, 0 if unknown.
	profile    uint32
	leftMicros int64
	// singleTarget is true when the latest call of pickFromTier found only one
	// usable target, so that slow start had no peer to move calls to.
	singleTarget bool
	// spillShare is the share of calls, in thousandths, that leave the zone by the
	// load reports of the zones. It is used only if spillKnown is set.
	spillShare int64
	spillKnown bool
}

// pickTarget tries the targets in the order of their distance. A call leaves
// the zone with a probability equal to the pressure on the zone's candidate
// minus the pressure on the region's candidate, or for a much faster target. If
// the targets report their load, leaveChance and leaves decide instead. It
// leaves the region only when the region has no usable target. When all targets
// are ejected, pickTarget takes an ejected one rather than none.
//
// The probability depends on the difference, not on the pressure in the own
// zone alone, because calls would only be exchanged between zones that are
// equally full. At 87 % of all slots in use, 26 % of the calls left their zone
// by the pressure in the own zone, 19 % by the difference
// (TestEquallyFullZonesKeepTheirCalls).
func (c *choice) pickTarget() (picked *member, probe bool) {
	local, probe := c.pickFromTier(c.view.ownZone, false)
	if probe {
		return local, true
	}
	var pressure, drawn int64
	if local != nil {
		pressure = c.leaveChance(local)
		if drawn = c.randomThousandths(); drawn >= pressure {
			if faster := c.fasterTarget(local); faster != nil {
				return faster, false
			}
			return local, false
		}
	}
	near, probe := c.pickFromTier(c.view.otherZones, false)
	if probe {
		return near, true
	}
	switch {
	case near != nil && (local == nil || c.leaves(local, near, drawn, pressure)):
		return near, false
	case near != nil && !c.spillKnown && pressure == thousand && c.cheaper(local, near) == near:
		// All targets are full, so the shorter queue is chosen, wherever it is.
		return near, false
	case local != nil:
		return local, false
	}
	if candidate, probe := c.pickFromTier(c.view.otherRegions, false); candidate != nil {
		return candidate, probe
	}
	for _, tier := range [...][]*member{c.view.ownZone, c.view.otherZones, c.view.otherRegions} {
		if candidate, _ := c.pickFromTier(tier, true); candidate != nil {
			return candidate, false
		}
	}
	return c.pickFromTier(c.view.draining, true)
}

// randomThousandths returns a random number in [0, 1000).
func (c *choice) randomThousandths() int64 { return int64(c.nextRandom() % thousand) }

// pickFromTier draws two usable targets of a tier and returns the cheaper one,
// or returns an ejected target that is due for a probe. With ejected set, it
// draws from ejected targets too.
func (c *choice) pickFromTier(tier []*member, ejected bool) (picked *member, probe bool) {
	var usable uint64
	for i, candidate := range tier {
		if c.excluded(candidate) || candidate.stats.drained(c.at, c.config) {
			continue
		}
		if !ejected && candidate.stats.ejectedFor(c.at, c.config) > 0 {
			if c.claimProbe(candidate.stats) {
				return candidate, true
			}
			continue
		}
		usable |= 1 << i
	}
	if usable == 0 {
		return nil, false
	}
	return c.cheaperOfTwo(tier, usable), false
}

func (c *choice) cheaperOfTwo(tier []*member, usable uint64) *member {
	first := c.randomBit(usable)
	usable &^= 1 << first
	c.singleTarget = usable == 0
	if c.singleTarget {
		return tier[first]
	}
	a, b := tier[first], tier[c.randomBit(usable)]
	// A target in slow start has few calls in flight, so by cost alone it would
	// win every draw in which it takes part. It therefore doesn't displace a
	// target that is further in its slow start, and gets its share only of the
	// calls that drew it first.
	share, other := a.stats.slowStartShare(c.at, c.config), b.stats.slowStartShare(c.at, c.config)
	if other >= share && c.cheaper(a, b) == b {
		return b
	}
	if share < other && c.randomThousandths() >= share*thousand/other {
		return b
	}
	return a
}

// claimProbe reports whether this call may probe an ejected target. It allows
// one call per probe interval.
func (c *choice) claimProbe(m *targetStats) bool {
	if !c.probe {
		return false
	}
	due := m.nextProbe.Load()
	if c.at < due {
		return false
	}
	return m.nextProbe.CompareAndSwap(due, c.at+c.config.Probe.Milliseconds())
}

func (c *choice) excluded(candidate *member) bool {
	return slices.Contains(c.exclude, candidate.target.ID)
}

// randomBit returns the index of a random bit that is set.
func (c *choice) randomBit(set uint64) int {
	skip := int(c.nextRandom() % uint64(bits.OnesCount64(set)))
	for range skip {
		set &= set - 1
	}
	return bits.TrailingZeros64(set)
}

// nextRandom returns the next number of a splitmix64 sequence that starts at
// rnd.
func (c *choice) nextRandom() uint64 {
	c.rnd += 0x9e3779b97f4a7c15
	z := c.rnd
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
