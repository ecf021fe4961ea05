package proof

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// taker receives configurations as a node does and reports the version that it
// has in force.
type taker interface {
	take(set config.Set)
	version() uint64
}

// storeTaker is the configuration store that nodes use.
type storeTaker struct{ store *config.Store }

func (s storeTaker) take(set config.Set) { _, _ = s.store.OfferSet(set, config.SourcePeer) }
func (s storeTaker) version() uint64     { return s.store.Status().Version }

// lastHeard is a store without the version comparison: it adopts every version
// that it receives.
type lastHeard struct{ current uint64 }

func (l *lastHeard) take(set config.Set) { l.current = set.Version }
func (l *lastHeard) version() uint64     { return l.current }

// Updates of ten versions arrive late, duplicated and out of order, as they do
// from a watch and many peers at once. A node must never revert to an older
// version; a store that adopts the last received version does.
func TestOldNewsNeverTakesOver(t *testing.T) {
	c := qt.New(t)
	set, err := config.Parse([]byte(profiles), config.YAML)
	c.Assert(err, qt.IsNil)
	order := make([]uint64, 0, 30)
	for range 3 {
		for version := uint64(1); version <= 10; version++ {
			order = append(order, version)
		}
	}
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	reverts := func(node taker) (count int) {
		var seen uint64
		for _, version := range order {
			set.Version = version
			node.take(set)
			if node.version() < seen {
				count++
			}
			seen = max(seen, node.version())
		}
		c.Check(node.version() == 10 || count > 0, qt.IsTrue)
		return count
	}
	c.Check(reverts(storeTaker{config.NewStore()}), qt.Equals, 0)
	without := reverts(&lastHeard{})
	t.Logf("without the comparison: %d of %d times at an older version than before", without, len(order))
	c.Check(without > 0, qt.IsTrue)
}
