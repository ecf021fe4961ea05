package proof

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// configReceiver receives configurations as a node does and reports the version
// that it has in force.
type configReceiver interface {
	receive(set config.Set)
	version() uint64
}

// storeReceiver is the configuration store that nodes use.
type storeReceiver struct{ store *config.Store }

func (s storeReceiver) receive(set config.Set) { _, _ = s.store.OfferSet(set, config.SourcePeer) }
func (s storeReceiver) version() uint64        { return s.store.Status().Version }

// lastReceived is a store without the version comparison: it adopts every version
// that it receives.
type lastReceived struct{ current uint64 }

func (l *lastReceived) receive(set config.Set) { l.current = set.Version }
func (l *lastReceived) version() uint64        { return l.current }

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
	reverts := func(node configReceiver) (count int) {
		var seen uint64
		for _, version := range order {
			set.Version = version
			node.receive(set)
			if node.version() < seen {
				count++
			}
			seen = max(seen, node.version())
		}
		c.Check(node.version() == 10 || count > 0, qt.IsTrue)
		return count
	}
	c.Check(reverts(storeReceiver{config.NewStore()}), qt.Equals, 0)
	without := reverts(&lastReceived{})
	t.Logf("without the comparison: %d of %d times at an older version than before", without, len(order))
	c.Check(without > 0, qt.IsTrue)
}
