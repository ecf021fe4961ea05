package objects_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// replica is a copy of the store built from a watcher's events. It checks that the
// revisions of each object ascend.
type replica struct {
	c         *qt.C
	values    map[string]string
	revisions map[string]uint64
}

func newReplica(c *qt.C) *replica {
	return &replica{c: c, values: make(map[string]string), revisions: make(map[string]uint64)}
}

func (r *replica) handle(e objects.Event) {
	o := e.Object
	r.c.Check(o.Revision > r.revisions[o.Name], qt.IsTrue, qt.Commentf("%s went from revision %d to %d", o.Name, r.revisions[o.Name], o.Revision))
	r.revisions[o.Name] = o.Revision
	if e.Type == objects.EventDelete {
		delete(r.values, o.Name)
		return
	}
	r.values[o.Name] = string(o.Value)
}

func stored(c *qt.C, store objects.Store) map[string]string {
	objects, _, err := store.List(background, "config", "")
	c.Assert(err, qt.IsNil)
	values := make(map[string]string)
	for _, o := range objects {
		values[o.Name] = string(o.Value)
	}
	return values
}

// While objects are created, updated, deleted and created again, the platform goes
// down, is slow, drops its event history, and delivers events twice, late and out
// of order. The handler must never receive an older revision of an object after a
// newer one, and after the faults its copy must equal the store.
func TestWatcherConvergesUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			memory := standin.NewMemoryWith(standin.Options{History: 8, Seed: seed, WriteRate: 1e6, ReadRate: 1e6})
			ctx, cancel := context.WithCancel(background)
			defer cancel()
			copied := newReplica(c)
			watcher := &objects.Watcher{Store: memory, Kind: "config", Handle: copied.handle, Rand: rand.New(rand.NewPCG(seed, 2))}
			go watcher.Run(ctx)
			for step := range 300 {
				if rnd.IntN(10) == 0 {
					memory.SetFaults(standin.Faults{
						Down: rnd.IntN(4) == 0, Compact: rnd.IntN(4) == 0, DelayMillis: rnd.IntN(200),
						DuplicateNext: rnd.IntN(3), LateNext: rnd.IntN(3), LateMillis: rnd.IntN(5000),
					})
				}
				name := fmt.Sprint("p", rnd.IntN(5))
				old, err := memory.Get(background, "config", name)
				switch {
				case err != nil:
					memory.Create(background, "config", name, fmt.Append(nil, step)) // fails while down
				case rnd.IntN(4) == 0:
					memory.Delete(background, "config", name, old.Version)
				default:
					old.Value = fmt.Append(nil, step)
					memory.Update(background, old)
				}
				time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			}
			memory.SetFaults(standin.Faults{})
			time.Sleep(3 * time.Minute)
			synctest.Wait()
			c.Assert(copied.values, qt.DeepEquals, stored(c, memory))
		})
	}
}

// An event ends the watches of 560 watchers at once, and later the platform goes
// down for ten minutes, which fails all watches at the same moment. If the watchers
// retried simultaneously, they would use up the platform's read rate as soon as it
// is up again. No tenth of a second may contain more than a tenth of 2,000 reads.
func TestWatcherRetriesAreSpreadOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := standin.NewMemory()
		ctx, cancel := context.WithCancel(background)
		defer cancel()
		var received atomic.Int64
		for i := range uint64(560) {
			w := &objects.Watcher{Store: memory, Kind: "config", Rand: rand.New(rand.NewPCG(i, 3)), Handle: func(objects.Event) { received.Add(1) }}
			go w.Run(ctx)
		}
		calls := func() uint64 {
			stats := memory.Stats()
			return stats.Calls[objects.OpList] + stats.Calls[objects.OpWatch]
		}
		peak := func(tenths int) (most uint64) {
			for range tenths {
				before := calls()
				time.Sleep(100 * time.Millisecond)
				most = max(most, calls()-before)
			}
			return most
		}
		time.Sleep(time.Second)
		memory.Create(background, "config", "main", nil)
		event := peak(50)
		memory.SetFaults(standin.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		memory.SetFaults(standin.Faults{})
		memory.Create(background, "config", "second", nil)
		recovery := peak(600)
		t.Logf("maximum calls in 100 ms: %d after an event, %d after the outage", event, recovery)
		c.Assert(event <= 200 && recovery <= 200, qt.IsTrue)
		c.Assert(received.Load(), qt.Equals, int64(2*560))
	})
}

// limitedStore is a store whose watches fail with a TooLargeError if they would
// return more than maxEvents events, as if the response exceeded the client's limit.
type limitedStore struct {
	objects.Store
	maxEvents int
}

func (s *limitedStore) Watch(ctx context.Context, kind string, from uint64) ([]objects.Event, uint64, error) {
	events, next, err := s.Store.Watch(ctx, kind, from)
	if err == nil && len(events) > s.maxEvents {
		return nil, 0, &objects.TooLargeError{What: "answer", Limit: int64(s.maxEvents)}
	}
	return events, next, err
}

// A node cannot reach the platform while operators change a large configuration
// many times. The missed events together exceed the size limit of a response, and
// every watch from the same revision fails in the same way: the node would learn of
// no later change until its next restart. It must list instead, because it needs
// only the latest state.
func TestWatcherListsWhenEventsExceedResponseLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := standin.NewMemory()
		ctx, cancel := context.WithCancel(background)
		defer cancel()
		o, err := memory.Create(background, "config", "main", []byte("v0"))
		c.Assert(err, qt.IsNil)
		got := newReplica(c)
		watcher := &objects.Watcher{Store: &limitedStore{Store: memory, maxEvents: 3}, Kind: "config", Handle: got.handle}
		done := make(chan struct{})
		go func() {
			watcher.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		for _, changes := range []int{20, 1} {
			for i := range changes {
				o.Value = fmt.Appendf(nil, "v%d of %d", i, changes)
				o, err = memory.Update(background, o)
				c.Assert(err, qt.IsNil)
			}
			time.Sleep(10 * time.Second)
		}
		cancel()
		<-done
		c.Check(got.values, qt.DeepEquals, map[string]string{"main": "v0 of 1"})
	})
}
