package node

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// An upstream calls a deep service, then another service that also calls the deep
// service, then the deep service again. The deep service must learn how many calls of
// the request had run by then, or it can't tell a filing whose work is done from one
// that has yet to begin. A caller from outside that claims progress, to jump the
// queue, must not be believed.
func TestProgressIsCountedNotClaimed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		var deep *Node
		var seen []int
		ask := func(out func(string, string, string) (*http.Response, error), services ...string) {
			for _, service := range services {
				resp, err := out(service, http.MethodGet, "/x")
				f.c.Assert(err, qt.IsNil)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}
		front := f.add("front", "portal", 10, func(_ http.ResponseWriter, _ *http.Request, out func(string, string, string) (*http.Response, error)) {
			ask(out, "deep", "middle", "nowhere", "deep")
		})
		f.add("middle", "middle", 10, func(_ http.ResponseWriter, _ *http.Request, out func(string, string, string) (*http.Response, error)) {
			ask(out, "deep", "deep")
		})
		deep = f.add("deep", "deep", 10, func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			v, ok := deep.visits.find(r.Header.Get(call.HeaderVisit))
			f.c.Assert(ok, qt.IsTrue)
			seen = append(seen, v.call.Progress)
		})
		f.settle()
		got := f.ask(front, http.MethodGet, "/x", call.HeaderProgress, "60")
		f.c.Check(got.outcome, qt.Equals, "complete")
		// The call to "nowhere" was refused, so it doesn't count as progress.
		f.c.Check(seen, qt.DeepEquals, []int{0, 1, 2, 2})
	})
}

// The progress counter must not exceed what the header may hold, however many calls a
// run makes: the next hop would refuse the call as malformed.
func TestProgressStopsAtItsBound(t *testing.T) {
	c := qt.New(t)
	v := &visit{call: call.Context{Progress: call.MaxProgress - 1}}
	for _, want := range []int{call.MaxProgress - 1, call.MaxProgress, call.MaxProgress} {
		c.Check(v.progress(), qt.Equals, want)
		v.begin(v.started)
		v.end(call.Report{Outcome: call.Complete}, v.started)
	}
}
