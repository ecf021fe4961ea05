package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// fleetRings is the number of rings that span the whole fleet; the other rings span the
// process's own availability zone. Each ring alone connects all members of its span. When
// a zone is lost, two members outside it notice for each member that it has.
const fleetRings = 2

// nearNeighbors returns the neighbours of self, most of them in its own zone.
//
// Neighbours drawn from the whole fleet would make four of five messages cross between
// zones in a fleet of five zones, and each change of a member would cross as often as
// there are members: during a restart of the whole fleet that traffic grew with the
// square of the fleet's size.
func nearNeighbors(self memberID, zone, all []memberID, count int) []memberID {
	anywhere := neighbors(self, all, count)
	if len(all) <= count || count <= fleetRings {
		return anywhere
	}
	chosen := slices.Clone(anywhere[:min(fleetRings, len(anywhere))])
	// If the zone is too small, the remaining neighbours come from the whole fleet.
	for _, id := range slices.Concat(neighbors(self, zone, count-fleetRings), anywhere) {
		if len(chosen) < count && !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// neighbors returns the members that self probes: its successor on each of count rings,
// where ring k orders the members by a hash of their ID and k.
//
// Every member computes its own neighbours from its own view, so no agreement is needed.
// Each member is probed by about count others. Each ring alone connects all members, so
// an update can reach everyone over neighbours only. The members of a lost rack or zone
// are spread over all rings.
func neighbors(self memberID, ids []memberID, count int) []memberID {
	if len(ids) <= count {
		return ids
	}
	chosen := make([]memberID, 0, count)
	seen := make(map[memberID]bool, count)
	for ring := range uint64(count) {
		next := successor(self, ids, ring)
		if !seen[next] {
			seen[next] = true
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// successor returns the member that follows self on a ring.
func successor(self memberID, ids []memberID, ring uint64) memberID {
	start := position(self, ring)
	best, bestGap := ids[0], ^uint64(0)
	for _, id := range ids {
		if gap := position(id, ring) - start; gap <= bestGap {
			best, bestGap = id, gap
		}
	}
	return best
}

func position(id memberID, ring uint64) uint64 {
	return mix(binary.LittleEndian.Uint64(id[:8]), mix(binary.LittleEndian.Uint64(id[8:]), ring))
}

// sample returns up to n of ids in random order. It reorders ids.
func sample(rng *rand.Rand, ids []memberID, n int) []memberID {
	n = min(n, len(ids))
	for i := range n {
		j := i + rng.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}
