package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
)

// Guards against a restore that keeps writes, revisions or watches.
func TestRestoreLosesTheLatestWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		m := NewMemory()
		kept, err := m.Create(ctx, "kind", "kept", []byte("old"))
		c.Assert(err, qt.IsNil)
		gone, err := m.Create(ctx, "kind", "deleted", []byte("there"))
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Second)
		_, err = m.Update(ctx, objects.Object{Kind: "kind", Name: "kept", Version: kept.Version, Value: []byte("new")})
		c.Assert(err, qt.IsNil)
		c.Assert(m.Delete(ctx, "kind", "deleted", gone.Version), qt.IsNil)
		created, err := m.Create(ctx, "kind", "created", nil)
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		cut := make(chan error)
		go func() {
			_, _, err := m.Watch(ctx, "kind", gone.Revision+3)
			cut <- err
		}()
		synctest.Wait()
		m.Restore(5 * time.Second)
		c.Check(<-cut, qt.ErrorAs, new(*objects.UnavailableError))
		found, revision, err := m.List(ctx, "kind", "")
		c.Assert(err, qt.IsNil)
		c.Check(found, qt.DeepEquals, []objects.Object{gone, kept})
		c.Check(revision, qt.Equals, gone.Revision)
		c.Check(m.Era(), qt.Equals, uint64(2))
		_, _, err = m.Watch(ctx, "kind", created.Revision)
		c.Check(err, qt.ErrorAs, new(*objects.CompactedError))
		again, err := m.Create(ctx, "kind", "other", nil)
		c.Assert(err, qt.IsNil)
		c.Check(again.Revision, qt.Equals, gone.Revision+1)
	})
}

// Guards against responses that don't state the era, or state an earlier one.
func TestEachResponseStatesTheEra(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	for _, target := range []string{"kind/none", "kind", "kind?serializable=1", "kind?watch=0&wait_ms=1", "kind?watch=99&wait_ms=1"} {
		for _, era := range []string{"1", "2"} {
			if era == "2" {
				s.SetFaults(Faults{RestoreMillis: 1, Down: true})
			}
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, store.ObjectsPath+target, nil))
			c.Check(w.Header().Get(store.HeaderEra), qt.Equals, era, qt.Commentf("%s: %d", target, w.Code))
		}
		s = New(Options{})
	}
}
