package node

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The answer to a HEAD request states the length of a body that doesn't follow. The
// node used to wait for that body and then treat the answer as truncated.
func TestAnswersToHeadRequestsAreComplete(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		desk := f.addRouted("desk", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			w.Header().Set("X-Echo", r.Header.Get("X-Id"))
			w.Header().Set("Content-Length", "1234")
			if r.Method == http.MethodGet {
				w.WriteHeader(http.StatusNotModified)
			}
		})
		f.settle()
		resp := f.raw(front, OutboundListener, "HEAD /browse/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Id: one\r\n\r\n")
		f.c.Assert(resp, qt.IsNotNil)
		f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", resp.Header.Get("X-Reason")))
		f.c.Check(resp.Header.Get("Content-Length"), qt.Equals, "1234")
		f.c.Check(f.askRouted(front, "/browse/x", "two").status, qt.Equals, http.StatusNotModified)
		f.c.Check(desk.gate.InFlight(), qt.Equals, 0)
		time.Sleep(time.Second) // net/http waits before it closes
	})
}
