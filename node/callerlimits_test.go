package node

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// offerLimits applies the routes of routedSet with other limits.
func (f *fleet) offerLimits(n *Node, version uint64, limits config.Limits) {
	set, err := config.Parse([]byte(routedSet), config.YAML)
	f.c.Assert(err, qt.IsNil)
	set.Version = version
	set.Limits = limits
	f.c.Assert(n.OfferConfig(set), qt.IsNil)
}

// Callers keep a connection open and reuse it after a pause that the configuration
// allows. The node used to close it after a fixed time, so the next request met a
// closed connection and got no response. The idle timeout must follow the
// configuration, also for connections that are open when it changes, and a connection
// that is idle for longer must be closed.
func TestIdleConnectionsFollowTheConfiguration(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		f.settle()
		conn := f.dialFromOutside(n, OutboundListener)
		defer conn.Close()
		answers := bufio.NewReader(conn)
		ask := func() error {
			if _, err := io.WriteString(conn, "GET /browse/x HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\n\r\n"); err != nil {
				return err
			}
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				return err
			}
			f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		}
		f.c.Assert(ask(), qt.IsNil)
		f.offerLimits(n, 2, config.Limits{RetryRatio: config.DefaultRetryRatio, IdleTimeout: config.Duration(40 * time.Second)})
		f.c.Assert(ask(), qt.IsNil)
		for range 3 {
			time.Sleep(32 * time.Second)
			f.c.Assert(ask(), qt.IsNil)
		}
		f.offerLimits(n, 3, config.Limits{RetryRatio: config.DefaultRetryRatio, IdleTimeout: config.Duration(5 * time.Second)})
		f.c.Assert(ask(), qt.IsNil)
		time.Sleep(6 * time.Second)
		f.c.Check(ask(), qt.IsNotNil)
	})
}

// Operators limit what a caller may send. A head or an announced body above the limit
// must be refused as not run, and one below it must run. A body without a length
// can't be judged from its head and must not run if it exceeds the limit.
func TestCallersKeepToTheLimitsOfTheConfiguration(t *testing.T) {
	inFleet(t, func(f *fleet) {
		eventLog := &events{}
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, next func(string, string, string) (*http.Response, error)) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			f.runs.add("desk", r.Header.Get("X-Id"))
			echo(w, r, next)
		}, logged(f.c, eventLog))
		f.settle()
		f.offerLimits(n, 2, config.Limits{RetryRatio: config.DefaultRetryRatio, HeaderBytes: 2048, BodyBytes: 1000})
		post := func(id, rest string) *http.Response {
			return f.raw(n, OutboundListener, "POST /browse/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Id: "+id+"\r\n"+rest)
		}
		body := func(size string, length int) string {
			return "Content-Length: " + size + "\r\n\r\n" + strings.Repeat("b", length)
		}
		for _, one := range []struct {
			id, rest string
			reason   string
			status   int
			runs     int
		}{
			{"fits", body("1000", 1000), "", http.StatusOK, 1},
			{"long", body("1001", 1001), "too-large", http.StatusServiceUnavailable, 0},
			// The listener refuses a head before the dialect can read it.
			{"head", "A: " + strings.Repeat("a", 2048) + "\r\n" + body("3", 3), "", http.StatusRequestHeaderFieldsTooLarge, 0},
			{"chunks", "Transfer-Encoding: chunked\r\n\r\n5dc\r\n" + strings.Repeat("b", 1500) + "\r\n0\r\n\r\n", "too-large", http.StatusServiceUnavailable, 0},
			{"few chunks", "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + strings.Repeat("b", 1000) + "\r\n0\r\n\r\n", "", http.StatusOK, 1},
		} {
			resp := post(one.id, one.rest)
			f.c.Assert(resp, qt.IsNotNil, qt.Commentf(one.id))
			f.c.Check(resp.Header.Get("X-Reason"), qt.Equals, one.reason, qt.Commentf(one.id))
			f.c.Check(resp.StatusCode, qt.Equals, one.status, qt.Commentf(one.id))
			f.c.Check(f.runs.of("desk", one.id), qt.Equals, one.runs, qt.Commentf(one.id))
		}
		f.c.Check(eventLog.has("too-large"), qt.IsTrue)
		// Nodes use the project's own headers among each other.
		resp := f.raw(n, PeerListener, "GET /browse/x HTTP/1.1\r\nHost: desk\r\nConnection: close\r\nA: "+strings.Repeat("a", 40<<10)+"\r\n\r\n")
		f.c.Assert(resp, qt.IsNotNil)
		f.c.Check(resp.Header.Get(call.HeaderOutcome), qt.Equals, "not-run")
		time.Sleep(time.Second) // net/http waits before it closes
	})
}

// Guards against a head that is given up before, or kept after, the time that operators give it.
func TestSlowHeadsFollowTheConfiguration(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		f.settle()
		for version, limit := range []time.Duration{3 * time.Second, 30 * time.Second} {
			f.offerLimits(n, uint64(version)+2, config.Limits{RetryRatio: config.DefaultRetryRatio, HeaderTimeout: config.Duration(limit)})
			for _, one := range []struct {
				pause  time.Duration
				status int
			}{{limit - 100*time.Millisecond, http.StatusOK}, {limit + 100*time.Millisecond, http.StatusRequestTimeout}} {
				conn := f.dialFromOutside(n, OutboundListener)
				_, err := io.WriteString(conn, "GET /browse/x HTTP/1.1\r\nHost: desk.example\r\n")
				f.c.Assert(err, qt.IsNil)
				time.Sleep(one.pause)
				_, _ = io.WriteString(conn, "X-Id: r1\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				f.c.Assert(err, qt.IsNil, qt.Commentf("%s", one.pause))
				f.c.Check(resp.StatusCode, qt.Equals, one.status, qt.Commentf("%s", one.pause))
				f.c.Check(conn.Close(), qt.IsNil)
			}
		}
		time.Sleep(time.Second) // net/http waits before it closes
	})
}
