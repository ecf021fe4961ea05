package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// startTogether starts members in five zones that know only eight seeds, as after a
// restart of the whole fleet. Each announces its slots and then its work times. It returns
// the meter, and the time until every member knew all others.
func startTogether(t *testing.T, size int) (m *meter, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, size)
		seeds := func(context.Context) ([]string, error) {
			var addrs []string
			for _, n := range w.nodes[:8] {
				addrs = append(addrs, n.addr)
			}
			return addrs, nil
		}
		for i := range size {
			n := w.add(i, func(c *Config) {
				c.Self.Zone, c.Self.Region = fmt.Sprintf("bp-%c", 'a'+i%5), "hu-central"
				c.Self.Slots = 0
				c.Seeds = seeds
			})
			n.region = "hu-central"
		}
		m = w.metered()
		for _, n := range w.nodes {
			w.c.Assert(n.Start(w.ctx), qt.IsNil)
			go func() {
				time.Sleep(time.Second)
				_ = n.Update(func(m *Member) { m.Slots = 84 })
				time.Sleep(4 * time.Second)
				_ = n.Update(func(m *Member) { m.WorkTimes = []WorkTime{{Profile: 7, Micros: 90_000}, {Profile: 9, Micros: 90_000}} })
			}()
		}
		took = w.within(30*time.Second, func(n *testNode) bool { return n.countState(Alive) == size })
		time.Sleep(20 * time.Second)
	})
	return m, took
}

// Guards against a restart of the whole fleet in which every member passes every change on
// to other zones, so that the bytes between zones grow with the square of the fleet.
func TestBytesBetweenZonesGrowLinearlyInAFleetStart(t *testing.T) {
	c := qt.New(t)
	// The zones of the first size are small.
	sizes := []int{120, 240}
	if *measure {
		sizes = append(sizes, 480, 987)
	}
	// The bytes of a member may grow by a third, because its first syncs find more
	// differences in a larger table.
	const growth = 4.0 / 3
	first := 0.0
	for _, size := range sizes {
		m, took := startTogether(t, size)
		perMember := float64(m.crossZone) / float64(size)
		c.Logf("%d members: all known after %v; %d kB between zones of %d kB in all, %.0f kB a member", size, took, m.crossZone/1000, m.bytes/1000, perMember/1000)
		if first == 0 {
			first = perMember
		}
		c.Check(perMember <= first*growth, qt.IsTrue, qt.Commentf("%.0f bytes a member between zones at %d members, %.0f at %d", perMember, size, first, sizes[0]))
	}
}

// Guards against a zone in which no member, or every member, passes a change on.
func TestFewMembersOfAZonePassAChangeOn(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	randomID := func() (id memberID) {
		for b := range id {
			id[b] = byte(rng.Uint32())
		}
		return id
	}
	for _, size := range []int{1, smallZone, 40, 200, 400} {
		const changes = 300
		total, none := 0, 0
		for seq := range uint64(changes) {
			changed, forwards := randomID(), 0
			for range size {
				if forwardsAcross(randomID(), changed, seq, size) {
					forwards++
				}
			}
			total += forwards
			if forwards == 0 {
				none++
			}
		}
		mean, want := float64(total)/changes, float64(zoneLinks)
		if size <= smallZone {
			want = float64(size)
		}
		c.Check(mean > 0.9*want && mean < 1.1*want, qt.IsTrue, qt.Commentf("%.2f of %d members", mean, size))
		c.Check(none, qt.Equals, 0, qt.Commentf("%d of %d changes at %d members", none, changes, size))
	}
	self := randomID()
	c.Check(forwardsAcross(self, self, 1, 400), qt.IsTrue)
}
