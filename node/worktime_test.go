package node

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The upstream works 50 ms on a call and waits 400 ms for a downstream call. If the
// wait counted as work, a downstream overload would make every calling upstream look
// slow, and calls would cross zones needlessly. Members must learn the work time
// alone.
func TestDownstreamWaitsAreNotWorkTime(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.add("b", "registry", 10, func(w http.ResponseWriter, _ *http.Request, _ func(string, string, string) (*http.Response, error)) {
			time.Sleep(400 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		})
		front := f.add("front", "portal", 10, func(w http.ResponseWriter, _ *http.Request, call func(string, string, string) (*http.Response, error)) {
			time.Sleep(50 * time.Millisecond)
			resp, err := call("registry", http.MethodGet, "/x")
			f.c.Check(err, qt.IsNil)
			if err == nil {
				_ = resp.Body.Close()
			}
			w.WriteHeader(http.StatusOK)
		})
		f.settle()
		for range 40 {
			f.c.Assert(f.ask(front, http.MethodGet, "/x").outcome, qt.Equals, "complete")
		}
		time.Sleep(2 * time.Second)
		member, _, known := f.nodes["b"].gossip.Lookup(front.id)
		f.c.Assert(known, qt.IsTrue)
		f.c.Assert(member.WorkTimes, qt.HasLen, 1)
		micros := member.WorkTimes[0].Micros
		f.c.Check(micros >= 50_000 && micros < 60_000, qt.IsTrue, qt.Commentf("%d", micros))
	})
}
