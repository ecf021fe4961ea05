package node

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// slowSet has a route whose requests may take minutes.
const slowSet = `
version: 9
profiles:
  - {name: default, priority: 0}
  - {name: slow, priority: 13, deadline: 3m, target: 1s, maxWait: 500ms, unrepeatable: true}
routes:
  - {name: slow, host: desk.example, pathPrefix: /slow/, profile: slow, shares: [{service: desk, weight: 1}]}
`

// Operators allow a request several minutes. Its upstream takes more than one minute
// to answer, or its caller takes that long to send the body. The node's own timeout
// for reading a request used to end such a request, because it looked as if the caller
// had left.
func TestSlowRequestsGetTheTimeThatOperatorsAllow(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		desk := f.addRouted("desk", "desk", 10, func(w http.ResponseWriter, r *http.Request, next func(string, string, string) (*http.Response, error)) {
			length, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			if length == 0 {
				time.Sleep(70 * time.Second)
			}
			echo(w, r, next)
		})
		set, err := config.Parse([]byte(slowSet), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(front.OfferConfig(set), qt.IsNil)
		f.c.Assert(desk.OfferConfig(set), qt.IsNil)
		f.settle()
		got := f.askRouted(front, "/slow/x", "bodiless")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.reason))
		for _, size := range []int{1 << 10, 256 << 10} {
			const pieces = 70
			length := size / pieces * pieces
			conn := f.dialFromOutside(front, OutboundListener)
			_, err := io.WriteString(conn, "POST /slow/x HTTP/1.1\r\nHost: desk.example\r\nX-Id: body\r\nConnection: close\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n")
			f.c.Assert(err, qt.IsNil)
			for range pieces {
				time.Sleep(time.Second)
				if _, err := io.WriteString(conn, strings.Repeat("b", length/pieces)); err != nil {
					break
				}
			}
			answer, err := io.ReadAll(conn)
			f.c.Check(err, qt.IsNil)
			f.c.Check(strings.HasPrefix(string(answer), "HTTP/1.1 200 "), qt.IsTrue, qt.Commentf("%d bytes: %.60q", length, answer))
			_ = conn.Close()
		}
	})
}

// A caller sends half of its body and stalls until the time that operators allow has
// passed. Nothing ran, and the request itself is valid. Its caller used to be told
// that the request was bad, and would not have retried.
func TestStalledBodiesAreReportedAsTimeout(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo, func(s *Settings) { s.BodyTimeout = time.Second })
		f.settle()
		resp := f.raw(n, OutboundListener, "POST /file/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Id: one\r\nContent-Length: 5\r\n\r\nab")
		f.c.Assert(resp, qt.IsNotNil)
		f.c.Check(resp.Header.Get("X-Reason"), qt.Equals, string(call.ReasonTimeout))
		f.c.Check(f.runs.of("desk", ""), qt.Equals, 0)
		time.Sleep(time.Second) // net/http waits before it closes
	})
}
