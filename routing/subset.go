package routing

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// otherRegionsDivisor is the divisor for the part of the subset that is taken
// from other regions while this region has targets. Those targets are a last
// resort, and each holds long-distance connections open.
const otherRegionsDivisor = 4

// buildView groups members by distance and selects the node's subset.
func buildView(members []*member, config *Config) *view {
	v := &view{members: members}
	byZone := make(map[string][]*member)
	var otherRegions []*member
	for _, candidate := range members {
		switch {
		case candidate.target.Draining:
			if config.PickDraining && len(v.draining) < MaxSubset {
				v.draining = append(v.draining, candidate)
			}
		case candidate.target.Region != config.Region:
			otherRegions = append(otherRegions, candidate)
		default:
			byZone[candidate.target.Zone] = append(byZone[candidate.target.Zone], candidate)
		}
	}
	v.ownZone, v.otherZones = subsetOfRegion(byZone, config)
	v.sameRegion = slices.Concat(v.ownZone, v.otherZones)
	share := config.Subset
	if len(v.sameRegion) > 0 {
		share = max(config.Subset/otherRegionsDivisor, 1)
		share = min(share, MaxSubset-len(v.sameRegion))
	}
	v.otherRegions = highestScored(otherRegions, share, config.Node)
	v.subset = slices.Concat(v.sameRegion, v.otherRegions)
	v.zones = zonesOf(v, config)
	setRelativeWork(v.sameRegion)
	return v
}

// subsetOfRegion selects the subset in this region: half from the node's own
// zone, the rest in turn from the other zones. If a zone has too few members,
// others fill its part.
func subsetOfRegion(byZone map[string][]*member, config *Config) (own, others []*member) {
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		byZone[zone] = highestScored(byZone[zone], config.Subset, config.Node)
		if zone != config.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	own = byZone[config.Zone]
	rest := 0
	for _, zone := range zones {
		rest += len(byZone[zone])
	}
	half := (config.Subset + 1) / 2
	ownShare := min(len(own), max(half, config.Subset-rest))
	own = own[:ownShare]
	others = takeInTurn(zones, byZone, config.Subset-ownShare)
	return own, others
}

// takeInTurn takes n members, one from each zone in turn.
func takeInTurn(zones []string, byZone map[string][]*member, n int) []*member {
	var dealt []*member
	for round := 0; len(dealt) < n; round++ {
		before := len(dealt)
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(dealt) < n {
				dealt = append(dealt, byZone[zone][round])
			}
		}
		if len(dealt) == before {
			break
		}
	}
	return dealt
}

// highestScored returns the n members with the highest rendezvous hash score
// for node. Each node gets its own subset. A member that is added or removed
// changes only the subsets that contain it, so all other connections stay.
func highestScored(members []*member, n int, node string) []*member {
	type scored struct {
		member *member
		score  uint64
	}
	seed := xxh3.HashString(node)
	list := make([]scored, 0, len(members))
	for _, candidate := range members {
		list = append(list, scored{candidate, xxh3.HashStringSeed(candidate.target.ID, seed)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.member.target.ID, b.member.target.ID)
	})
	n = min(n, len(list))
	taken := make([]*member, 0, n)
	for _, candidate := range list[:n] {
		taken = append(taken, candidate.member)
	}
	return taken
}
