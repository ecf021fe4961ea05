package node

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failing returns a handler that answers each run with its own error response.
func failing(runs *atomic.Int64) handler {
	return func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
		runs.Add(1)
		w.Header().Set("X-Echo", r.Header.Get("X-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "error of "+r.Header.Get("X-Id"))
	}
}

// One of three upstreams answers every run with an error, and reports itself healthy.
// Its responses are fast, so it used to get more and more calls: when a third of a
// deep service failed in this way, 32 of 100 requests failed for as long as it
// lasted. Reads must be served by the other upstreams, with few retries, because the
// failing one is left out.
func TestUpstreamErrorsAreRetriedElsewhere(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var bad atomic.Int64
		front := f.addRouted("front", "front", 10, echo, func(s *Settings) { s.RetryRatio = 0.2 })
		f.addRouted("bad", "desk", 10, failing(&bad))
		f.addRouted("good", "desk", 10, echo)
		f.addRouted("better", "desk", 10, echo)
		f.settle()
		const reads = 400
		served := 0
		for i := range reads {
			got := f.askRouted(front, "/browse/x", "r"+strconv.Itoa(i))
			if got.status == http.StatusOK {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.c.Check(served >= reads*98/100, qt.IsTrue, qt.Commentf("%d of %d", served, reads))
		f.c.Check(bad.Load() < reads/10, qt.IsTrue, qt.Commentf("%d runs at the upstream that fails", bad.Load()))
	})
}

// All upstreams fail. A change must run exactly once, and every caller must get the
// upstream's own error response, not a less specific one.
func TestUnavoidableUpstreamErrorsAreDelivered(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var one, two atomic.Int64
		front := f.addRouted("front", "front", 10, echo, func(s *Settings) { s.RetryRatio = 0.2 })
		f.addRouted("one", "desk", 10, failing(&one))
		f.addRouted("two", "desk", 10, failing(&two))
		f.settle()
		const changes = 50
		for i := range changes {
			id := "w" + strconv.Itoa(i)
			got := f.askRouted(front, "/file/x", id)
			f.c.Check(got.status, qt.Equals, http.StatusInternalServerError)
			f.c.Check(got.body, qt.Equals, "error of "+id)
		}
		f.c.Check(one.Load()+two.Load(), qt.Equals, int64(changes))
		for i := range changes {
			id := "r" + strconv.Itoa(i)
			got := f.askRouted(front, "/browse/x", id)
			f.c.Check(got.status, qt.Equals, http.StatusInternalServerError, qt.Commentf("%s", got.reason))
			f.c.Check(got.body, qt.Equals, "error of "+id)
		}
		// First attempts of both kinds earn retries.
		const firsts = 2 * changes
		f.c.Check(one.Load()+two.Load() <= firsts+firsts/5+1, qt.IsTrue)
	})
}

// A run fails because a downstream call was refused. Its upstream is healthy, and
// another one would meet the same rejection: the run must not be retried, and the
// upstream must not be ejected.
func TestDownstreamErrorsAreNotRetried(t *testing.T) {
	inFleet(t, func(f *fleet) {
		c := newChain(f, 1)
		c.refused = 1
		desks := c.start(2)
		f.c.Check(c.browse(desks, 200, 10*time.Millisecond), qt.Equals, 0)
		for _, service := range []string{"desk", "lookup"} {
			repeats, firsts := c.repeats(service)
			f.c.Check(repeats, qt.Equals, 0, qt.Commentf("%s", service))
			f.c.Check(firsts, qt.Equals, 200, qt.Commentf("%s", service))
			for _, target := range desks[0].router.Snapshot(service) {
				f.c.Check(target.Ejected, qt.Equals, time.Duration(0))
			}
		}
	})
}
