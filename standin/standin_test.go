package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
	"pollengauge.dev/standin"
)

var background = context.Background()

func do(c *qt.C, server http.Handler, method, path, body string) int {
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	if recorder.Code >= 400 {
		c.Assert(json.Valid(recorder.Body.Bytes()), qt.IsTrue)
	}
	return recorder.Code
}

// Calls that violate the rules of the API must be rejected with the right status,
// without storing anything and without counting against the rate limits.
func TestBadRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	wrapped, err := store.Wrap(make([]byte, objects.MaxValue+1))
	c.Assert(err, qt.IsNil)
	large, err := json.Marshal(store.Object{Metadata: store.Metadata{Name: "main", Revision: 1}, Specification: wrapped})
	c.Assert(err, qt.IsNil)
	const plain = `{"metadata":{"name":"main","revision":1},"specification":1}`
	for _, tc := range []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/-/objects/config/main", `{"metadata":{"name":"main"}}`, 400}, // no condition
		{"PUT", "/-/objects/config/main", `{"metadata":{"revision":-1}}`, 400},
		{"PUT", "/-/objects/config/main", `{`, 400},
		{"PUT", "/-/objects/config/main", string(large), 413},
		{"PUT", "/-/objects/config/main", strings.Repeat(" ", 2*objects.MaxValue), 413},
		{"PUT", "/-/objects/Config/main", plain, 400},
		{"PUT", "/-/objects/config/%2e%2e", plain, 400},
		{"POST", "/-/objects/config", `{"metadata":{"name":"../up"}}`, 400},
		{"DELETE", "/-/objects/config/main", "", 400},
		{"GET", "/-/objects/Config", "", 400},
		{"GET", "/-/objects/config?watch=-1&wait_ms=1", "", 400},
		{"GET", "/-/objects/config?watch=0&wait_ms=long", "", 400},
	} {
		status := do(c, server, tc.method, tc.path, tc.body)
		c.Check(status, qt.Equals, tc.status, qt.Commentf("%s %s", tc.method, tc.path))
	}
	c.Assert(server.Stats().Calls, qt.HasLen, 0)
}

// An operator sets faults over HTTP while clients run, and removes them again.
func TestFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	running := httptest.NewServer(server)
	defer running.Close()
	post := func(body string) string {
		resp, err := http.Post(running.URL+"/faults", "application/json", bytes.NewBufferString(body))
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return strings.TrimSpace(string(answer))
	}
	c.Assert(post(`{"down":true}`), qt.Equals, `{"down":true}`)
	c.Assert(do(c, server, "GET", "/-/objects/config", ""), qt.Equals, 503)
	c.Assert(post(`{}`), qt.Equals, `{}`)
	c.Assert(do(c, server, "GET", "/-/objects/config", ""), qt.Equals, 200)
	c.Assert(do(c, server, "GET", "/stats", ""), qt.Equals, 200)
	c.Assert(server.Stats().RefusedDown, qt.Equals, uint64(1))
}

// Calls over the rate limits must be rejected and calls within them admitted. A
// watch must count as one read, however long it waits.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := standin.NewMemoryWith(standin.Options{ReadRate: 10, WriteRate: 100})
		taken := 0
		for range 1000 {
			if _, err := memory.Create(background, "config", "main", nil); err != nil && platformConflict(err) || err == nil {
				taken++
			}
			time.Sleep(time.Millisecond)
		}
		c.Assert(taken >= 100 && taken <= 111, qt.IsTrue, qt.Commentf("%d in a second", taken))
		_, next, err := memory.Watch(background, "other", 0)
		c.Assert(err, qt.IsNil)
		_, _, err = memory.Watch(background, "other", next)
		c.Assert(err, qt.IsNil)
		_, err = memory.Get(background, "config", "main")
		c.Assert(err, qt.IsNil)
		_, err = memory.Get(background, "config", "main")
		c.Assert(err, qt.ErrorAs, new(*objects.UnavailableError))
	})
}

func platformConflict(err error) bool {
	_, ok := err.(*objects.ConflictError)
	return ok
}

// Many callers give up at the same moment at which their writes arrive. Each must
// get either success or an AmbiguousError, and all writes must take effect. A timer
// created for that moment has already expired, and two such timers at once crash a
// process that runs under the race detector.
func TestCallersGiveUpAsWritesArrive(t *testing.T) {
	const callers = 200
	for range 5 {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			memory := standin.NewMemory()
			memory.SetFaults(standin.Faults{DelayMillis: 50})
			var group sync.WaitGroup
			for i := range callers {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(background, 50*time.Millisecond)
					defer cancel()
					_, err := memory.Create(ctx, "config", strconv.Itoa(i), nil)
					var ambiguous *objects.AmbiguousError
					c.Check(err == nil || errors.As(err, &ambiguous), qt.IsTrue, qt.Commentf("%v", err))
				})
			}
			group.Wait()
			synctest.Wait()
			found, _, err := memory.List(background, "config", "")
			c.Assert(err, qt.IsNil)
			c.Check(found, qt.HasLen, callers)
		})
	}
}

// Compares the store with a simple model. For any order of writes, a version must
// never be used twice for the same object, not even after delete and create.
// Applying the retained events in order must lead from any previously listed state
// to the current one.
func TestEventsLeadToCurrentState(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		rnd := rand.New(rand.NewPCG(seed, 0))
		memory := standin.NewMemoryWith(standin.Options{History: 60, ReadRate: 1e9, WriteRate: 1e9})
		model := map[string]uint64{}
		highest := map[string]uint64{}
		from := uint64(0)
		for step := range 400 {
			name := string(rune('a' + rnd.IntN(4)))
			current := objects.Object{Kind: "config", Name: name, Version: highest[name]}
			written, err := memory.Create(background, "config", name, nil)
			if err != nil && rnd.IntN(3) == 0 {
				c.Assert(memory.Delete(background, "config", name, current.Version), qt.IsNil)
				written, err = memory.Create(background, "config", name, nil)
			} else if err != nil {
				written, err = memory.Update(background, current)
			}
			c.Assert(err, qt.IsNil)
			c.Assert(written.Version > highest[name], qt.IsTrue)
			highest[name] = written.Version
			if rnd.IntN(5) == 0 {
				c.Assert(memory.Delete(background, "config", name, written.Version), qt.IsNil)
			}
			if step%20 != 0 {
				continue
			}
			events, next, err := memory.Watch(background, "config", from)
			c.Assert(err, qt.IsNil)
			from = next
			for _, e := range events {
				model[e.Object.Name] = e.Object.Version
				if e.Type == objects.EventDelete {
					delete(model, e.Object.Name)
				}
			}
			found, _, err := memory.List(background, "config", "")
			c.Assert(err, qt.IsNil)
			c.Assert(found, qt.HasLen, len(model))
			for _, o := range found {
				c.Assert(o.Version, qt.Equals, model[o.Name])
			}
		}
		_, _, err := memory.Watch(background, "config", 0)
		c.Assert(err, qt.ErrorAs, new(*objects.CompactedError))
	}
}
