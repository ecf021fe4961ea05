package node

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A caller uses the header Idempotency-Key, which has a meaning in the project's own
// interface, for its own purpose. With a dialect it is a header like any other. The
// next node used to refuse such a request because the value was no valid key.
func TestIdempotencyKeyIsAnOrdinaryHeaderWithADialect(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		var seen string
		f.addRouted("desk", "desk", 10, func(w http.ResponseWriter, r *http.Request, next func(string, string, string) (*http.Response, error)) {
			seen = r.Header.Get("Idempotency-Key")
			echo(w, r, next)
		})
		f.settle()
		for _, key := range []string{"short", "two words", strings.Repeat("k", 300)} {
			resp := f.raw(front, OutboundListener, "POST /file/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Id: one\r\nContent-Length: 0\r\nIdempotency-Key: "+key+"\r\n\r\n")
			f.c.Assert(resp, qt.IsNotNil)
			f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", resp.Header.Get("X-Reason")))
			f.c.Check(seen, qt.Equals, key)
		}
		time.Sleep(time.Second) // net/http waits before it closes
	})
}

// Some answers have a valid but unusual form: several interim answers first, no length
// but the end of the connection, a trailer, empty chunks. Each has to reach the caller
// complete.
func TestUnusualFormsOfAnswersReachTheCaller(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Echo: one\r\n"
	for name, answer := range map[string]string{
		"interim":        strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 12) + head + "Content-Length: 4\r\n\r\nbody",
		"without length": head + "Connection: close\r\n\r\nbody",
		"trailer":        head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n",
		"empty chunks":   "HTTP/1.1 200 OK\r\nx-echo:one\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\n\r\n",
	} {
		inFleet(t, func(f *fleet) {
			front := f.addRouted("front", "portal", 10, echo)
			desk := f.addRouted("desk", "desk", 10, echo)
			f.rawUpstream(desk, "desk", answer, false)
			f.settle()
			resp := f.raw(front, OutboundListener, "GET /browse/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Id: one\r\n\r\n")
			f.c.Assert(resp, qt.IsNotNil, qt.Commentf(name))
			body, err := io.ReadAll(resp.Body)
			f.c.Check(err, qt.IsNil, qt.Commentf(name))
			f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", name, resp.Header.Get("X-Reason")))
			f.c.Check(string(body), qt.Equals, "body", qt.Commentf(name))
			time.Sleep(time.Second) // net/http waits before it closes
		})
	}
}
