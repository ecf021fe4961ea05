package objects_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
	"pollengauge.dev/standin"
)

var background = context.Background()

func newClient(c *qt.C, options objects.Options) *objects.Client {
	if options.ReadRate == 0 {
		options.ReadRate, options.WriteRate = rate.Inf, rate.Inf
	}
	client, err := store.New(options)
	c.Assert(err, qt.IsNil)
	c.Cleanup(client.Close)
	return client
}

func startStandin(c *qt.C, options objects.Options) (*standin.Server, *objects.Client) {
	server := standin.New(standin.Options{})
	options.Endpoint = serve(c, server)
	return server, newClient(c, options)
}

func serve(c *qt.C, server *standin.Server) string {
	addr, err := server.Start("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { server.Close() })
	return "http://" + addr
}

// appendID returns the mutate and isMine functions for a change that appends id
// to the value.
func appendID(id string) (func(objects.Object) ([]byte, error), func(objects.Object) bool) {
	mutate := func(o objects.Object) ([]byte, error) { return append(o.Value, id...), nil }
	isMine := func(o objects.Object) bool { return strings.Contains(string(o.Value), id) }
	return mutate, isMine
}

// A caller changes an object and gets no response: either the write took effect
// and the response was dropped, or the request was lost. The change must be
// applied exactly once, because a second application would revert other changes
// or double this one.
func TestAmbiguousWriteIsSettledOnce(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"answer dropped": {DropNext: 1},
		"request lost":   {LoseNext: 1},
		"both, twice":    {LoseNext: 2, DropNext: 2},
	} {
		for _, exists := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " exists=", exists), func(t *testing.T) {
				c := qt.New(t)
				server, client := startStandin(c, objects.Options{})
				if exists {
					_, err := client.Create(background, "config", "main", []byte("a"))
					c.Assert(err, qt.IsNil)
				}
				server.SetFaults(faults)
				mutate, isMine := appendID("#7")
				written, err := objects.UpdateSettled(background, client, "config", "main", mutate, isMine)
				c.Assert(err, qt.IsNil)
				stored, err := client.Get(background, "config", "main")
				c.Assert(err, qt.IsNil)
				c.Assert(stored, qt.DeepEquals, written)
				c.Assert(strings.Count(string(stored.Value), "#7"), qt.Equals, 1)
				c.Assert(client.Stats().Ambiguous > 0, qt.IsTrue)
			})
		}
	}
}

// updateStore is a Store whose Update is replaced by a function of the test.
type updateStore struct {
	objects.Store
	update func(context.Context, objects.Object) (objects.Object, error)
}

func (s *updateStore) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	return s.update(ctx, o)
}

// The platform is so slow that the caller gives up on a write that is still in
// transit. The caller reads back the old object and sends the write again, and
// then the first write arrives. Both expect the same version, so only one of them
// may take effect.
func TestLateWriteIsNotAppliedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := standin.NewMemory()
		_, err := memory.Create(background, "config", "main", []byte("a"))
		c.Assert(err, qt.IsNil)
		memory.SetFaults(standin.Faults{DelayMillis: 10_000})
		impatient := &updateStore{memory, func(ctx context.Context, o objects.Object) (objects.Object, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			defer memory.SetFaults(standin.Faults{})
			return memory.Update(ctx, o)
		}}
		mutate, isMine := appendID("#7")
		written, err := objects.UpdateSettled(background, impatient, "config", "main", mutate, isMine)
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		stored, err := memory.Get(background, "config", "main")
		c.Assert(err, qt.IsNil)
		c.Assert(stored, qt.DeepEquals, written)
		c.Assert(string(stored.Value), qt.Equals, "a#7")
		c.Assert(memory.Stats().Calls[objects.OpUpdate], qt.Equals, uint64(2))
	})
}

// The response to a write is dropped, and another writer replaces the object
// before the caller reads it back. The caller cannot know whether the change had
// been applied, so it must get an *AmbiguousError and nothing is written again.
func TestOverwrittenAmbiguousWriteStaysAmbiguous(t *testing.T) {
	c := qt.New(t)
	memory := standin.NewMemory()
	first, err := memory.Create(background, "config", "main", []byte("a"))
	c.Assert(err, qt.IsNil)
	memory.SetFaults(standin.Faults{DropNext: 1})
	racing := &updateStore{memory, func(ctx context.Context, o objects.Object) (objects.Object, error) {
		written, err := memory.Update(ctx, o)
		_, raceErr := memory.Update(ctx, objects.Object{Kind: "config", Name: "main", Version: first.Version + 1, Value: []byte("other")})
		c.Check(raceErr, qt.IsNil)
		return written, err
	}}
	mutate, isMine := appendID("#7")
	_, err = objects.UpdateSettled(background, racing, "config", "main", mutate, isMine)
	c.Assert(err, qt.ErrorAs, new(*objects.AmbiguousError))
	stored, err := memory.Get(background, "config", "main")
	c.Assert(err, qt.IsNil)
	c.Assert(string(stored.Value), qt.Equals, "other")
}

// Two operators change the same object. For every kind of write, the ConflictError
// of the second operator must contain the stored object of the first, and the
// second write must leave no trace.
func TestConflictCarriesCurrent(t *testing.T) {
	c := qt.New(t)
	_, client := startStandin(c, objects.Options{})
	old, err := client.Create(background, "config", "main", []byte("one"))
	c.Assert(err, qt.IsNil)
	won := old
	won.Value = []byte("two")
	won, err = client.Update(background, won)
	c.Assert(err, qt.IsNil)
	_, update := client.Update(background, old)
	_, create := client.Create(background, "config", "main", []byte("three"))
	remove := client.Delete(background, "config", "main", old.Version)
	for _, err := range []error{update, create, remove} {
		var conflict *objects.ConflictError
		c.Assert(err, qt.ErrorAs, &conflict)
		c.Assert(conflict.Current, qt.DeepEquals, won)
	}
	c.Assert(client.Delete(background, "config", "main", won.Version), qt.IsNil)
	_, err = client.Update(background, won)
	c.Assert(err, qt.ErrorAs, new(*objects.NotFoundError))
	again, err := client.Create(background, "config", "main", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Version > won.Version, qt.IsTrue)
}

// The platform rejects calls, first because it is down and then because its rate
// limit is exceeded, and finally cannot be reached at all. Each time the caller
// must get an UnavailableError, never an AmbiguousError, with the platform's
// Retry-After, and after the outage the same client must work again. Only a write
// sent to a platform that is too slow to respond is ambiguous.
func TestOutageThenRecovery(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	endpoint := serve(c, server)
	client := newClient(c, objects.Options{Endpoint: endpoint})
	var unavailable *objects.UnavailableError
	var status *objects.StatusError
	server.SetFaults(standin.Faults{Down: true})
	_, err := client.Create(background, "config", "main", nil)
	c.Assert(err, qt.ErrorAs, &unavailable)
	c.Assert(unavailable.RetryAfter, qt.Equals, time.Second)
	server.SetFaults(standin.Faults{WriteRate: 0.001})
	_, err = client.Create(background, "config", "main", nil)
	c.Assert(err, qt.IsNil)
	_, err = client.Create(background, "config", "other", nil)
	c.Assert(err, qt.ErrorAs, &status)
	c.Assert(status.Status, qt.Equals, http.StatusTooManyRequests)
	server.SetFaults(standin.Faults{})
	_, err = client.Create(background, "config", "other", nil)
	c.Assert(err, qt.IsNil)
	server.SetFaults(standin.Faults{DelayMillis: 60_000})
	shortTimeout := newClient(c, objects.Options{Endpoint: endpoint, Timeout: 20 * time.Millisecond})
	_, err = shortTimeout.Get(background, "config", "main")
	c.Assert(err, qt.ErrorAs, &unavailable)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	_, err = shortTimeout.Create(background, "config", "slow", nil)
	c.Assert(err, qt.ErrorAs, new(*objects.AmbiguousError))
	server.Close()
	client.Close()
	_, err = client.Create(background, "config", "third", nil)
	c.Assert(err, qt.ErrorAs, &unavailable)
	c.Assert(client.Stats().Ambiguous, qt.Equals, uint64(0))
}

// A call over the client's own budget must be rejected at once without sending
// anything, so that one node in a loop cannot use up the rate limits that all
// nodes share.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, objects.Options{ReadRate: 0.001, WriteRate: 0.001, Burst: 2, WatchWait: time.Millisecond})
	_, _, err := client.Watch(background, "config", 0)
	c.Assert(err, qt.IsNil)
	_, _, err = client.List(background, "config", "")
	c.Assert(err, qt.IsNil)
	var rateErr *objects.RateError
	_, err = client.Get(background, "config", "main")
	c.Assert(err, qt.ErrorAs, &rateErr)
	c.Assert(rateErr.RetryAfter > 0, qt.IsTrue)
	_, err = client.Create(background, "config", "main", nil) // writes have a budget of their own
	c.Assert(err, qt.IsNil)
	c.Assert(server.Stats().Calls[objects.OpGet], qt.Equals, uint64(0))
	c.Assert(client.Stats(), qt.Equals, objects.Stats{Reads: 2, Watches: 1, Writes: 1, OverBudget: 1})
}

// The platform reads a write on a reused keep-alive connection and closes the
// connection. net/http resends some requests by itself in this case, which would
// repeat a write that had taken effect without anyone counting it. Each write must
// arrive exactly once.
func TestTransportNeverReplaysWrites(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	var writes, reused atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for served := 0; ; served++ {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if req.Method != http.MethodGet {
						writes.Add(1)
						reused.Add(int64(min(served, 1)))
						return
					}
					body := `{"items":[],"current_rev":1}`
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			}()
		}
	}()
	client := newClient(c, objects.Options{Endpoint: "http://" + listener.Addr().String()})
	for _, write := range []func() error{
		func() error { _, err := client.Create(background, "config", "main", []byte("x")); return err },
		func() error { _, err := client.Create(background, "config", "main", nil); return err },
		func() error {
			_, err := client.Update(background, objects.Object{Kind: "config", Name: "main", Version: 1})
			return err
		},
		func() error { return client.Delete(background, "config", "main", 1) },
	} {
		_, _, err := client.List(background, "config", "") // leaves an idle connection that the write reuses
		c.Assert(err, qt.IsNil)
		c.Assert(write(), qt.ErrorAs, new(*objects.AmbiguousError))
	}
	c.Assert(writes.Load(), qt.Equals, int64(4))
	c.Assert(reused.Load(), qt.Equals, int64(4), qt.Commentf("the test must exercise reused connections"))
}

// A server responds, but not according to the API. A read must fail with an error
// of the documented type after a bounded number of bytes. A write must be
// ambiguous, because an error status without the API's body or a malformed
// response does not prove that the write had no effect.
func TestHostileAnswers(t *testing.T) {
	object := `{"metadata":{"name":"main","revision":9},"specification":{"pollengauge_value":"eA=="}}`
	for name, tc := range map[string]struct {
		status int
		body   string
		read   any
	}{
		"not JSON":      {200, "<html>", new(*objects.ProtocolError)},
		"trailing data": {200, object + object, new(*objects.ProtocolError)},
		"other object":  {200, strings.Replace(object, "main", "else", 1), new(*objects.ProtocolError)},
		"no version":    {200, `{"metadata":{"name":"main"}}`, new(*objects.ProtocolError)},
		"bare 500":      {500, "", new(*objects.ProtocolError)},
		"bare 502":      {502, "bad gateway", new(*objects.ProtocolError)},
		"redirect":      {307, "", new(*objects.ProtocolError)},
		"oversized":     {200, strings.Repeat(" ", 2000) + object, new(*objects.TooLargeError)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			}))
			defer server.Close()
			client := newClient(c, objects.Options{Endpoint: server.URL, MaxAnswer: 1000})
			_, err := client.Get(background, "config", "main")
			c.Assert(err, qt.ErrorAs, tc.read)
			_, err = client.Update(background, objects.Object{Kind: "config", Name: "main", Version: 3})
			c.Assert(err, qt.ErrorAs, new(*objects.AmbiguousError))
			c.Assert(calls.Load(), qt.Equals, int64(2))
		})
	}
}

// A list takes several pages, and an object on the first page is deleted before
// the second page is read. The objects must be complete and in order, and a watch
// from the list's revision must return the deletion. A watch from the revision of
// a later page would miss it, and the object would seem to exist forever.
func TestChangeBetweenPagesIsNotMissed(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	var first objects.Object
	paged := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r)
		if r.Method == http.MethodGet && !r.URL.Query().Has("watch") && !r.URL.Query().Has("after") {
			c.Check(server.Delete(background, "member", first.Name, first.Version), qt.IsNil)
		}
	}))
	defer paged.Close()
	// On a busy machine, ten megabytes of JSON take longer than the default
	// timeout.
	client := newClient(c, objects.Options{Endpoint: paged.URL, Timeout: time.Minute, WatchWait: time.Second})
	value := make([]byte, objects.MaxValue)
	for i := range 9 {
		o, err := client.Create(background, "member", fmt.Sprint("vm-", i), value)
		c.Assert(err, qt.IsNil)
		if i == 0 {
			first = o
		}
	}
	found, revision, err := client.List(background, "member", "vm-")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.HasLen, 9)
	c.Assert(client.Stats().Reads > 1, qt.IsTrue)
	events, next, err := client.Watch(background, "member", revision)
	c.Assert(err, qt.IsNil)
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Type, qt.Equals, objects.EventDelete)
	c.Assert(next, qt.Equals, revision+1)
	_, err = client.Create(background, "member", "big", make([]byte, objects.MaxValue+1))
	c.Assert(err, qt.ErrorAs, new(*objects.TooLargeError))
	_, err = client.Get(background, "member", "../secret")
	c.Assert(err, qt.ErrorAs, new(*objects.InvalidError))
}

// An event ends the watches of all watchers at once, and the platform then drops
// their next watches without a response. If all of these waited equally long, no
// node would learn of a change until the wait had passed. Some of a handful of
// watchers must therefore start a new watch soon.
func TestSomeWatchesAreShort(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	waits := make(map[string]int)
	counted := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waits[r.URL.Query().Get("wait_ms")]++
		server.ServeHTTP(w, r)
	}))
	defer counted.Close()
	client := newClient(c, objects.Options{Endpoint: counted.URL, ReadRate: rate.Inf, WatchWait: 2 * time.Millisecond, ShortWatchWait: time.Millisecond})
	for range 64 {
		_, _, err := client.Watch(background, "kind", 0)
		c.Assert(err, qt.IsNil)
	}
	c.Check(waits["1"] > 0 && waits["2"] > 0 && len(waits) == 2, qt.IsTrue, qt.Commentf("%v", waits))
}

// If long and short watches were equally frequent and a long one waited six times
// as long, nearly all of a dozen watchers would be in a long watch at any moment.
// Watchers must spend as much time in short watches as in long ones.
func TestWatchersSpendHalfOfTheirTimeInShortWatches(t *testing.T) {
	c := qt.New(t)
	var spent [2]time.Duration
	const long, short = 60 * time.Millisecond, 10 * time.Millisecond
	counted := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ms, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		c.Check(err, qt.IsNil)
		wait := time.Duration(ms) * time.Millisecond
		if wait == long {
			spent[0] += wait
		} else {
			spent[1] += wait
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer counted.Close()
	client := newClient(c, objects.Options{Endpoint: counted.URL, ReadRate: rate.Inf, WatchWait: long, ShortWatchWait: short})
	for range 2000 {
		_, _, err := client.Watch(background, "kind", 0)
		c.Assert(err, qt.IsNotNil)
	}
	share := float64(spent[1]) / float64(spent[0]+spent[1])
	c.Check(share > 0.4 && share < 0.6, qt.IsTrue, qt.Commentf("%.2f", share))
}
