package membership

import (
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"
)

// zonedIDs returns the IDs of a fleet in which each zone has the same number of members.
func zonedIDs(zones, each int) (all []memberID, byZone map[int][]memberID, zoneOf map[memberID]int) {
	byZone, zoneOf = map[int][]memberID{}, map[memberID]int{}
	for zone := range zones {
		for i := range each {
			var id memberID
			binary.LittleEndian.PutUint64(id[:8], mix(uint64(zone), uint64(i)+7))
			all = append(all, id)
			byZone[zone] = append(byZone[zone], id)
			zoneOf[id] = zone
		}
	}
	return all, byZone, zoneOf
}

func without(ids []memberID, self memberID) []memberID {
	var out []memberID
	for _, id := range ids {
		if id != self {
			out = append(out, id)
		}
	}
	return out
}

// Updates about members are sent to neighbours. If all neighbours were drawn from the
// whole fleet, most updates would cross between zones, as often as there are members.
// Most neighbours must be in the same zone. Most members must still be probed from other
// zones, or nobody would notice the loss of a whole zone. All members must be connected.
func TestMostNeighboursAreInTheZone(t *testing.T) {
	c := qt.New(t)
	const zones, each, count = 5, 60, 8
	all, byZone, zoneOf := zonedIDs(zones, each)
	crossing, watched := 0, map[memberID]int{}
	edges := map[memberID][]memberID{}
	for _, id := range all {
		chosen := nearNeighbors(id, without(byZone[zoneOf[id]], id), without(all, id), count)
		c.Assert(len(chosen) >= count-1 && len(chosen) <= count, qt.IsTrue)
		edges[id] = chosen
		for _, n := range chosen {
			if zoneOf[n] != zoneOf[id] {
				crossing++
				watched[n]++
			}
		}
	}
	share := float64(crossing) / float64(len(all)*count)
	c.Check(share < 0.3, qt.IsTrue, qt.Commentf("%.2f cross", share))
	outside := 0
	for _, id := range all {
		if watched[id] > 0 {
			outside++
		}
	}
	c.Check(outside > len(all)*7/10, qt.IsTrue, qt.Commentf("%d of %d are watched from outside", outside, len(all)))
	reached := map[memberID]bool{all[0]: true}
	for queue := all[:1]; len(queue) > 0; queue = queue[1:] {
		for _, n := range edges[queue[0]] {
			if !reached[n] {
				reached[n] = true
				queue = append(queue, n)
			}
		}
	}
	c.Check(len(reached), qt.Equals, len(all))
}

// A member of a zone with two members, or of a fleet with one zone, must have as many
// neighbours as any other.
func TestSmallZonesHaveEnoughNeighbours(t *testing.T) {
	c := qt.New(t)
	all, byZone, _ := zonedIDs(10, 2)
	self := all[0]
	others := without(all, self)
	usual := len(neighbors(self, others, 8))
	for _, zone := range [][]memberID{without(byZone[0], self), nil, others} {
		c.Check(len(nearNeighbors(self, zone, others, 8)) >= usual, qt.IsTrue)
	}
	few := without(all[:6], self)
	c.Check(nearNeighbors(self, few[:1], few, 8), qt.HasLen, 5)
}
