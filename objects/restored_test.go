package objects_test

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// Guards against a watcher that compares the revisions of a restored store with those from
// before: it must end with the contents of the store, whatever was lost or written again.
func TestWatcherFollowsARestoredStore(t *testing.T) {
	for _, writesAfter := range []int{0, 1, 3, 8} {
		watchRestoredStore(t, writesAfter, func(m *standin.Memory) objects.Store { return m })
		watchRestoredStore(t, writesAfter, func(m *standin.Memory) objects.Store { return quietStore{m} })
	}
}

// quietStore ends watches that are cut off as if nothing had changed.
type quietStore struct{ *standin.Memory }

// Watch implements objects.Store.
func (s quietStore) Watch(ctx context.Context, kind string, from uint64) ([]objects.Event, uint64, error) {
	events, next, err := s.Memory.Watch(ctx, kind, from)
	if errors.As(err, new(*objects.UnavailableError)) {
		return nil, from, nil
	}
	return events, next, err
}

// watchRestoredStore restores a store under a watcher, and checks what the watcher knows
// after that many further writes.
func watchRestoredStore(t *testing.T, writesAfter int, storeOf func(*standin.Memory) objects.Store) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, stop := context.WithCancel(context.Background())
		m := standin.NewMemory()
		put := func(name, value string) {
			o, err := m.Get(ctx, "kind", name)
			if err != nil {
				_, err = m.Create(ctx, "kind", name, []byte(value))
			} else {
				o.Value = []byte(value)
				_, err = m.Update(ctx, o)
			}
			c.Assert(err, qt.IsNil)
		}
		put("a", "old")
		put("b", "old")
		seen := make(map[string]string)
		w := &objects.Watcher{Store: storeOf(m), Kind: "kind", Handle: func(e objects.Event) {
			if e.Type == objects.EventDelete {
				delete(seen, e.Object.Name)
				return
			}
			seen[e.Object.Name] = string(e.Object.Value)
		}}
		go w.Run(ctx)
		time.Sleep(10 * time.Second)
		for i := range 3 {
			put("a", "lost"+strconv.Itoa(i))
			put("lost"+strconv.Itoa(i), "lost")
		}
		time.Sleep(time.Second)
		m.SetFaults(standin.Faults{Down: true})
		time.Sleep(time.Second)
		m.Restore(5 * time.Second)
		m.SetFaults(standin.Faults{})
		for i := range writesAfter {
			put("b", "new"+strconv.Itoa(i))
		}
		time.Sleep(5 * time.Second)
		found, _, err := m.List(ctx, "kind", "")
		c.Assert(err, qt.IsNil)
		want := make(map[string]string)
		for _, o := range found {
			want[o.Name] = string(o.Value)
		}
		synctest.Wait()
		c.Check(seen, qt.DeepEquals, want, qt.Commentf("%d writes after the restore", writesAfter))
		put("b", "last")
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(seen["b"], qt.Equals, "last")
		stop()
		synctest.Wait()
	})
}
