package node

import (
	"context"
	"math"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// callCounter counts the exact calls to a store, apart from watches, and the relaxed ones.
type callCounter struct {
	*standin.Memory
	exact, relaxed atomic.Int64
}

func (s *callCounter) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	s.exact.Add(1)
	return s.Memory.Get(ctx, kind, name)
}

func (s *callCounter) List(ctx context.Context, kind, prefix string) ([]objects.Object, uint64, error) {
	s.exact.Add(1)
	return s.Memory.List(ctx, kind, prefix)
}

func (s *callCounter) Create(ctx context.Context, kind, name string, value []byte) (objects.Object, error) {
	s.exact.Add(1)
	return s.Memory.Create(ctx, kind, name, value)
}

func (s *callCounter) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	s.exact.Add(1)
	return s.Memory.Update(ctx, o)
}

func (s *callCounter) GetRelaxed(ctx context.Context, kind, name string) (objects.Object, error) {
	s.relaxed.Add(1)
	return s.Memory.GetRelaxed(ctx, kind, name)
}

func (s *callCounter) ListRelaxed(ctx context.Context, kind, prefix string) ([]objects.Object, error) {
	s.relaxed.Add(1)
	return s.Memory.ListRelaxed(ctx, kind, prefix)
}

// startFleet starts nodes without known peers at the same time, in two zones.
func startFleet(f *fleet, size int) {
	for i := range size {
		name := "n" + strconv.Itoa(i)
		f.addRouted(name, "desk", 4, echo, func(s *Settings) {
			s.Peers = nil
			s.Zone = "zone-" + strconv.Itoa(i%2)
		})
	}
}

// Guards against a start whose exact calls to the store grow with the fleet: each has the
// price of ten relaxed reads and counts toward the platform's rate limits.
func TestExactStoreCallsAtStartDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{6, 24, 96} {
		inFleet(t, func(f *fleet) {
			store := &callCounter{Memory: standin.NewMemory()}
			f.store = store
			startFleet(f, size)
			time.Sleep(20 * time.Second)
			for name, n := range f.nodes {
				f.c.Assert(n.gossip.Stats().Alive, qt.Equals, size, qt.Commentf("%s of %d", name, size))
			}
			// Each watcher lists configurations and records, and each of the first members
			// writes its address. A node nominates itself with a read and a write; about
			// eight do, and three times as many hardly ever.
			const zones = 2
			watchers := min(size, zones*dialectWatchersPerZone(zones))
			bound := 2*watchers + maxBootstraps + 2*3*maxBootstraps
			f.c.Logf("%d nodes: %d exact calls, %d relaxed", size, store.exact.Load(), store.relaxed.Load())
			f.c.Check(store.exact.Load() <= int64(bound), qt.IsTrue, qt.Commentf("%d exact calls of %d nodes, bound %d", store.exact.Load(), size, bound))
			// One read a round until a node nominates itself, then one for the configuration,
			// one for the records and one for the addresses that members keep.
			rounds := int(-math.Log2(firstNomination)) + 1
			f.c.Check(store.relaxed.Load() <= int64((rounds+3)*size), qt.IsTrue, qt.Commentf("%d relaxed reads of %d nodes", store.relaxed.Load(), size))
		})
	}
}

// Guards against watchers whose calls grow with the number of zones, and against a zone
// that a single cut-off VM leaves without a watcher.
func TestWatchersOfAllZonesTogetherAreBounded(t *testing.T) {
	c := qt.New(t)
	for zones := 1; zones <= 12; zones++ {
		perZone := dialectWatchersPerZone(zones)
		c.Check(perZone >= minDialectWatchers && perZone <= maxDialectWatchers, qt.IsTrue, qt.Commentf("%d of each of %d zones", perZone, zones))
		c.Check(perZone*zones <= max(dialectWatchers+zones-1, minDialectWatchers*zones), qt.IsTrue, qt.Commentf("%d of each of %d zones", perZone, zones))
	}
}

// Guards against groups that do not find each other when relaxed reads show none of the
// addresses that were stored in the last seconds.
func TestNodesFindEachOtherWhileRelaxedReadsAreSecondsOld(t *testing.T) {
	inFleet(t, func(f *fleet) {
		store := standin.NewMemory()
		store.SetFaults(standin.Faults{StaleMillis: 3000})
		f.store = store
		startFleet(f, 24)
		time.Sleep(5 * time.Second)
		for name, n := range f.nodes {
			f.c.Check(n.gossip.Stats().Alive, qt.Equals, 24, qt.Commentf("%s", name))
		}
	})
}

// Guards against a fleet whose stored addresses all belong to nodes that are gone: nodes
// that start then would find no member.
func TestFirstMembersReplaceAddressesOfNodesThatAreGone(t *testing.T) {
	inFleet(t, func(f *fleet) {
		startFleet(f, 6)
		time.Sleep(10 * time.Second)
		gone := f.storedAddrs()
		f.c.Assert(len(gone) > 1, qt.IsTrue)
		for name, n := range f.nodes {
			if gone[n.gossipAddr()] && len(f.nodes) > 3 {
				n.Close()
				delete(f.nodes, name)
			}
		}
		time.Sleep(15 * time.Minute)
		for name, n := range f.nodes {
			f.c.Check(f.storedAddrs()[n.gossipAddr()], qt.IsTrue, qt.Commentf("address of %s", name))
		}
	})
}

// storedAddrs returns the addresses that the bootstrap objects name.
func (f *fleet) storedAddrs() map[string]bool {
	found, _, err := f.store.List(f.t.Context(), bootstrapKind, "")
	f.c.Assert(err, qt.IsNil)
	addrs := make(map[string]bool)
	for _, o := range found {
		addrs[string(o.Value)] = true
	}
	return addrs
}
