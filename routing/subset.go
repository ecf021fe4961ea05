package routing

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// awayPart is the divisor for the part of the subset that is taken from other
// regions while this region has targets. Those targets are a last resort, and
// each holds long-distance connections open.
const awayPart = 4

// buildView groups members by distance and selects the node's subset.
func buildView(members []*member, config *Config) *view {
	v := &view{members: members}
	byZone := make(map[string][]*member)
	var away []*member
	for _, candidate := range members {
		switch {
		case candidate.target.Draining:
			if config.LastResort && len(v.leaving) < MaxSubset {
				v.leaving = append(v.leaving, candidate)
			}
		case candidate.target.Region != config.Region:
			away = append(away, candidate)
		default:
			byZone[candidate.target.Zone] = append(byZone[candidate.target.Zone], candidate)
		}
	}
	v.zone, v.region = subsetHome(byZone, config)
	v.home = slices.Concat(v.zone, v.region)
	share := config.Subset
	if len(v.home) > 0 {
		share = max(config.Subset/awayPart, 1)
		share = min(share, MaxSubset-len(v.home))
	}
	v.away = nearest(away, share, config.Node)
	v.active = slices.Concat(v.home, v.away)
	return v
}

// subsetHome selects the subset in this region: half from the node's own zone,
// the rest in turn from the other zones. If a zone has too few members, others
// fill its part.
func subsetHome(byZone map[string][]*member, config *Config) (own, others []*member) {
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		byZone[zone] = nearest(byZone[zone], config.Subset, config.Node)
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
	others = deal(zones, byZone, config.Subset-ownShare)
	return own, others
}

// deal takes n members, one from each zone in turn.
func deal(zones []string, byZone map[string][]*member, n int) []*member {
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

// nearest returns the n members with the highest rendezvous hash score for
// node. Each node gets its own subset. A member that is added or removed
// changes only the subsets that contain it, so all other connections stay.
func nearest(members []*member, n int, node string) []*member {
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
