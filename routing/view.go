package routing

import "slices"

// member is a target in a view, with its measurements.
type member struct {
	target Target
	stats  *targetStats
	// relativeWork is the work time of the target in relation to its peers, in
	// thousandths.
	relativeWork int64
}

// view is an immutable snapshot of one service. Its lists ownZone, otherZones
// and otherRegions hold the subset that this node uses; draining members are in
// none of the three.
type view struct {
	// ownZone, otherZones and otherRegions are the targets by distance: in the
	// node's own zone, in the other zones of its region, and in other regions.
	ownZone      []*member
	otherZones   []*member
	otherRegions []*member
	// sameRegion is ownZone and otherZones together; subset is all three.
	sameRegion []*member
	// draining holds the draining members if Config.PickDraining is set, at most
	// MaxSubset.
	draining []*member
	subset   []*member
	// members holds all announced members, for Snapshot and for the reason when
	// there is no target.
	members []*member
	// zones groups the members of this region by zone, the own zone first.
	zones []zoneMembers
}

// builtFrom reports whether the view was built from exactly these targets. Most
// membership changes affect one service: with 560 members in 25 services, a
// change takes 0.28 ms, and 0.37 ms when the views of all services are rebuilt
// (BenchmarkSetTargets).
func (v *view) builtFrom(targets []Target) bool {
	return slices.EqualFunc(v.members, targets, func(m *member, t Target) bool { return m.target == t })
}

func (v *view) contains(m *targetStats) bool {
	for _, candidate := range v.subset {
		if candidate.stats == m {
			return true
		}
	}
	return false
}

// peersOf returns the targets at a similar distance to m.
func (v *view) peersOf(m *targetStats) []*member {
	for _, candidate := range v.otherRegions {
		if candidate.stats == m {
			return v.otherRegions
		}
	}
	return v.sameRegion
}

// usable counts the targets that are not in exclude and don't drain.
func (v *view) usable(exclude []string, at int64, config *Config) int {
	n := 0
	for _, candidate := range v.subset {
		if !slices.Contains(exclude, candidate.target.ID) && !candidate.stats.drained(at, config) {
			n++
		}
	}
	return n
}

// ejected counts the ejected targets.
func (v *view) ejected(at int64, config *Config) int {
	n := 0
	for _, candidate := range v.subset {
		if candidate.stats.ejectedFor(at, config) > 0 {
			n++
		}
	}
	return n
}

// allFailing reports whether every target that isn't ejected fails too.
func (v *view) allFailing(at int64, config *Config) bool {
	for _, candidate := range v.subset {
		m := candidate.stats
		if m.ejectedFor(at, config) == 0 && m.failed.load(at, decayMillis) < failingShare {
			return false
		}
	}
	return true
}

// endEjections returns every ejected target to use.
func (v *view) endEjections() {
	for _, candidate := range v.subset {
		candidate.stats.ejectedUntil.Store(0)
	}
}

// noTargetReason returns the reason why no target can be picked.
func (v *view) noTargetReason(at int64, config *Config) NoTargetReason {
	if len(v.members) == 0 {
		return NoTargetNone
	}
	for _, candidate := range v.subset {
		if !candidate.stats.drained(at, config) {
			return NoTargetExcluded
		}
	}
	return NoTargetDraining
}
