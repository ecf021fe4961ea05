package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// A caller leaves in the middle of a long request. The upstream two hops downstream
// must see its own request end at once, since work that nobody waits for occupies
// slots that others need.
func TestCancellationReachesTheDeepestUpstream(t *testing.T) {
	inFleet(t, func(f *fleet) {
		ended := make(chan time.Duration, 1)
		front := f.add("front", "portal", 10, func(w http.ResponseWriter, _ *http.Request, call func(string, string, string) (*http.Response, error)) {
			resp, err := call("registry", http.MethodGet, "/lookup")
			if err == nil {
				_ = resp.Body.Close()
			}
		})
		f.add("deep", "registry", 10, func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			start := time.Now()
			<-r.Context().Done()
			ended <- time.Since(start)
		})
		f.settle()
		host := f.net.Host("client")
		transport := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return host.Dial(ctx, addr) }}
		defer transport.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(f.t.Context(), 100*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front.Addr("edge")+"/status", nil)
		f.c.Assert(err, qt.IsNil)
		_, err = transport.RoundTrip(req)
		f.c.Check(err, qt.IsNotNil)
		f.c.Check(<-ended < 200*time.Millisecond, qt.IsTrue)
		time.Sleep(time.Second)
		f.c.Check(front.gate.InFlight(), qt.Equals, 0)
		f.c.Check(f.nodes["deep"].gate.InFlight(), qt.Equals, 0)
	})
}

// Each hop receives the time left until the root's deadline, reduced by what the
// earlier hops have used. A call that outlives the deadline ends as unknown, not as
// complete.
func TestDeadlineShrinksAtEachHop(t *testing.T) {
	inFleet(t, func(f *fleet) {
		left := make(chan time.Duration, 1)
		below := make(chan string, 1)
		front := f.add("front", "portal", 10, func(_ http.ResponseWriter, r *http.Request, ask func(string, string, string) (*http.Response, error)) {
			time.Sleep(time.Second)
			resp, err := ask("registry", http.MethodGet, "/lookup")
			outcome := "no answer"
			if err == nil {
				outcome = resp.Header.Get(call.HeaderOutcome)
				_ = resp.Body.Close()
			}
			below <- outcome
			<-r.Context().Done()
		})
		f.add("deep", "registry", 10, func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			ms, _ := strconv.Atoi(r.Header.Get(call.HeaderTimeout))
			left <- time.Duration(ms) * time.Millisecond
			<-r.Context().Done()
		})
		f.settle()
		deadline := front.config.Current().Match("portal", http.MethodGet, "/status").Deadline.Std()
		start := time.Now()
		got := f.ask(front, http.MethodGet, "/status")
		f.c.Check(<-left, qt.Equals, deadline-time.Second)
		// The deep hop's answer and the front node's own timer are due at the same
		// instant. Whichever is first, neither hop may report complete, so the
		// upstream of the front node has nothing to answer with.
		f.c.Check(<-below, qt.Not(qt.Equals), "complete")
		f.c.Check(got.outcome, qt.Equals, "unknown")
		f.c.Check(got.reason, qt.Equals, "timeout")
		f.c.Check(time.Since(start) <= deadline+answerGrace, qt.IsTrue)
	})
}

// An upstream streams an answer with a trailer. The caller gets both, but no header
// that applies only to the connection between the upstream and its node.
func TestTrailersAreKeptAndHopHeadersAreNot(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			w.Header().Set("Trailer", "X-Checksum")
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("Connection", "X-Private")
			w.Header().Set("X-Private", "secret")
			_, _ = io.WriteString(w, "part one, ")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, "part two")
			w.Header().Set("X-Checksum", "42")
		})
		f.settle()
		got := f.ask(front, http.MethodGet, "/report")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.body, qt.Equals, "part one, part two")
		f.c.Check(got.trailer.Get("X-Checksum"), qt.Equals, "42")
		f.c.Check(got.header.Get("Keep-Alive"), qt.Equals, "")
		f.c.Check(got.header.Get("X-Private"), qt.Equals, "")
	})
}
