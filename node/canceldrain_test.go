package node

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a service that stays unavailable after a cancelled drain. The only
// target of the service drains and refuses a call before the caller's node has received
// the announcement; then the drain is cancelled. Callers may be told no-target only
// until the target announces that it accepts work again; before the fix they were for
// ten seconds.
func TestCancelledDrainServesAtOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.add("front", "portal", 10, func(w http.ResponseWriter, _ *http.Request, call func(string, string, string) (*http.Response, error)) {
			resp, err := call("deep", http.MethodGet, "/x")
			if err != nil {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			defer resp.Body.Close()
			w.WriteHeader(resp.StatusCode)
			_, _ = io.Copy(w, resp.Body)
		})
		deep := f.add("deep", "deep", 10, answerOK)
		f.settle()
		deep.gate.Drain() // its announcement has not been sent yet
		f.ask(front, http.MethodGet, "/x", "X-Operation", "during")
		f.c.Check(f.runs.of("deep", "during"), qt.Equals, 0)
		deep.SetDraining(true)
		deep.SetDraining(false)
		time.Sleep(time.Second)
		got := f.ask(front, http.MethodGet, "/x", "X-Operation", "after")
		f.c.Check(got.status, qt.Equals, http.StatusOK)
		f.c.Check(f.runs.of("deep", "after"), qt.Equals, 1)
	})
}
