package node

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

const peerContext = "Pollengauge-Request: r1\r\nPollengauge-Profile: default\r\nPollengauge-Level: 128\r\n" +
	"Pollengauge-Timeout-Ms: 1000\r\nPollengauge-Credit: 1\r\nPollengauge-Depth: 1\r\n"

// FuzzInbound sends arbitrary bytes to the edge or the peer listener of a node with an
// upstream. Nothing may panic, each request must get an answer with an outcome or its
// connection be closed in bounded time, and no slot may stay occupied. On the peer
// listener no request may run without a complete call context.
func FuzzInbound(f *testing.F) {
	f.Add(false, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add(false, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /y HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add(false, "POST /.well-known/pollengauge/key HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add(false, "POST /.well-known/pollengauge/key HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab")
	f.Add(false, "OPTIONS * HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab")
	f.Add(true, "POST /x HTTP/1.1\r\nHost: other\r\nContent-Length: 5\r\n"+peerContext+"\r\nab")
	f.Add(true, "POST /x HTTP/1.1\r\nHost: portal\r\n"+peerContext+"\r\n")
	f.Add(true, "POST /x HTTP/1.1\r\nHost: portal\r\nIdempotency-Key: k\r\nPollengauge-Home: 1\r\n"+peerContext+"\r\n")
	f.Add(true, "CONNECT /.pollengauge/handover HTTP/1.0\r\n\r\n\x10\xff\x81")
	f.Fuzz(func(t *testing.T, peer bool, text string) {
		inFleet(t, func(f *fleet) {
			emitted := &events{}
			var served atomic.Int64 // requests on one connection may run concurrently
			n := f.add("front", "portal", 4, func(http.ResponseWriter, *http.Request, func(string, string, string) (*http.Response, error)) {
				served.Add(1)
			}, logged(f.c, emitted), func(s *Settings) { s.GossipInterval = time.Minute })
			listener := EdgeListener
			if peer {
				listener = PeerListener
			}
			conn := f.dialFromOutside(n, listener)
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, text) }()
			f.c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Minute)), qt.IsNil)
			received, err := io.ReadAll(conn)
			f.c.Check(err == nil || !strings.Contains(err.Error(), "timeout"), qt.IsTrue, qt.Commentf("still open: %v", err))
			// The connection may be closed shortly before its handler returns.
			synctest.Wait()
			checkAnswers(f.c, string(received))
			f.c.Check(emitted.has("panic-recovered") || strings.Contains(emitted.text.String(), "panic"), qt.IsFalse)
			f.c.Check(n.gate.InFlight(), qt.Equals, 0)
			f.c.Check(n.active.Load(), qt.Equals, int64(0))
			if peer {
				f.c.Check(served.Load() <= int64(countCompleteContexts(text)), qt.IsTrue, qt.Commentf("%d runs", served.Load()))
			}
			time.Sleep(time.Second)
		})
	})
}

// checkAnswers reads every answer. An answer without an outcome must come from
// net/http, which closes the connection after it, or be a response of the endpoint that
// mints keys.
func checkAnswers(c *qt.C, received string) {
	if strings.HasPrefix(received, "HTTP/1.0 200 Connected to Go RPC") {
		return
	}
	reader := bufio.NewReader(strings.NewReader(received))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode < http.StatusOK || resp.Header.Get("Cache-Control") == "no-store" || resp.Header.Get("Allow") != "" {
			continue
		}
		_, err = call.ParseOutcome(resp.Header.Get(call.HeaderOutcome))
		c.Check(err == nil || resp.Close && resp.StatusCode >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("%d %v", resp.StatusCode, resp.Header))
	}
}

// countCompleteContexts counts the requests in text that have a complete call context.
func countCompleteContexts(text string) (count int) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return count
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := call.Extract(r.Header); err == nil {
			count++
		}
	}
}
