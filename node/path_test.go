package node

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const filingProfiles = `
profiles:
- {name: default, priority: 1, key: optional, record: none, deadline: 5s, maxWait: 500ms, credit: 2, brownout: {maxAge: 0s}, prefer: balanced}
- {name: filing, priority: 12, unrepeatable: true, key: optional, record: none, deadline: 5s, maxWait: 1s, credit: 2, brownout: {maxAge: 0s}, prefer: goodput}
assignments:
- {service: "*", method: POST, pathPrefix: /file, profile: filing}
limits: {retryRatio: 0.1}
`

// A caller's request passes client -> node -> upstream -> node -> node -> upstream,
// and the complete answer comes back with its outcome.
func TestCompletePath(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			resp, err := call("registry", http.MethodGet, "/lookup")
			if err != nil {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			_, _ = w.Write(append([]byte("portal: "), body...))
		})
		f.add("deep", "registry", 10, answerOK)
		f.settle()
		got := f.ask(front, http.MethodGet, "/status", "X-Operation", "op1")
		f.c.Assert(got.err, qt.IsNil)
		f.c.Check(got.status, qt.Equals, http.StatusOK)
		f.c.Check(got.outcome, qt.Equals, "complete")
		f.c.Check(got.body, qt.Equals, "portal: answer to op1")
		f.c.Check(f.runs.of("registry", "op1"), qt.Equals, 1)
	})
}

// http.Transport resends a request by itself when a reused connection breaks, if the
// method or an Idempotency-Key makes a resend look safe. The caller would see one
// answer and the upstream two filings. Here the upstream reads each request on a
// reused connection and closes without answering; exactly one run is allowed.
func TestTransportNeverReplays(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		inFleet(t, func(f *fleet) {
			served := 0
			n := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
				served++
				if served == 1 {
					return // leaves a connection to reuse
				}
				panic(http.ErrAbortHandler)
			})
			f.settle()
			f.ask(n, method, "/x", "X-Operation", "first")
			got := f.ask(n, method, "/x", "X-Operation", "second", "Idempotency-Key", "k1")
			f.c.Check(got.outcome, qt.Equals, "unknown")
			f.c.Check(f.runs.of("portal", "second"), qt.Equals, 1)
		})
	}
}

// The connection between two nodes is closed after k bytes, for k from zero to more
// than the exchange has. The outcome that the caller receives must be true: not-run
// only if the filing did not run, complete only with the complete answer. The filing
// never runs twice.
func TestCutAtEveryByte(t *testing.T) {
	for _, protocol := range []PeerProtocol{PeerAuto, PeerHTTP1} {
		t.Run(string(protocol), func(t *testing.T) { cutAtEveryByte(t, protocol) })
	}
}

func cutAtEveryByte(t *testing.T, protocol PeerProtocol) {
	seen := map[string]int{}
	for limit := 0; limit < 1100; limit += 13 {
		inFleet(t, func(f *fleet) {
			f.apply(filingProfiles)
			front := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
				resp, err := call("filing", http.MethodPost, "/file")
				if err != nil {
					w.WriteHeader(http.StatusBadGateway)
					return
				}
				defer func() { _ = resp.Body.Close() }()
				w.Header().Set("Pollengauge-Outcome", resp.Header.Get("Pollengauge-Outcome"))
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(resp.StatusCode)
				_, _ = w.Write(body)
			}, func(s *Settings) { s.PeerProtocol = protocol })
			f.add("deep", "filing", 10, answerOK)
			f.settle()
			f.net.SetFilter(func(from, to string) int {
				if from == "front" && to == "deep" {
					return limit
				}
				return -1
			})
			got := f.ask(front, http.MethodPost, "/file", "X-Operation", "op")
			f.c.Assert(got.err, qt.IsNil)
			runs := f.runs.of("filing", "op")
			f.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("limit %d: %d runs", limit, runs))
			switch got.outcome {
			case "not-run":
				f.c.Check(runs, qt.Equals, 0, qt.Commentf("limit %d", limit))
			case "complete":
				f.c.Check(got.body, qt.Equals, "answer to op", qt.Commentf("limit %d", limit))
			}
			seen[got.outcome]++
		})
	}
	qt.New(t).Check(seen["unknown"] > 0 && seen["complete"] > 0, qt.IsTrue, qt.Commentf("%v", seen))
}

// A filing makes two calls in parallel, and every connection of one link is closed
// after k bytes: those of the caller, those between a node and its upstream in either
// direction, or those between the nodes. Whichever link breaks, what the caller sees
// must be true: not-run only if neither call ran, complete only with both complete
// answers, and a truncated answer never looks like a complete one.
func TestFanOutCutOnEachLink(t *testing.T) {
	twice := func(w http.ResponseWriter, _ *http.Request, call func(string, string, string) (*http.Response, error)) {
		var wait sync.WaitGroup
		outcomes, bodies := make([]string, 2), make([]string, 2)
		for i := range 2 {
			wait.Go(func() {
				resp, err := call("filing", http.MethodPost, "/file")
				if err != nil {
					outcomes[i] = "unknown"
					return
				}
				defer func() { _ = resp.Body.Close() }()
				outcomes[i] = resp.Header.Get("Pollengauge-Outcome")
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					outcomes[i] = "unknown"
				}
				bodies[i] = string(body)
			})
		}
		wait.Wait()
		for _, outcome := range outcomes {
			if outcome != "complete" {
				w.Header().Set("Pollengauge-Outcome", outcome)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = io.WriteString(w, bodies[0]+bodies[1])
	}
	seen := map[string]int{}
	for _, link := range [][2]string{{"client", "front"}, {"front", "front"}, {"front", "deep"}, {"deep", "deep"}} {
		for limit := 0; limit < 1400; limit += 89 {
			inFleet(t, func(f *fleet) {
				f.apply(filingProfiles)
				front := f.add("front", "portal", 10, twice)
				f.add("deep", "filing", 10, answerOK)
				f.settle()
				f.net.SetFilter(func(from, to string) int {
					if from == link[0] && to == link[1] {
						return limit
					}
					return -1
				})
				got := f.ask(front, http.MethodPost, "/file", "X-Operation", "op")
				time.Sleep(6 * time.Second) // past the deadline
				runs := f.runs.of("filing", "op")
				what := qt.Commentf("%v after %d bytes: %s %s, %d runs", link, limit, got.outcome, got.reason, runs)
				f.c.Check(runs <= 2, qt.IsTrue, what)
				switch {
				case got.err != nil:
					seen["broken"]++
					return
				case got.outcome == "not-run":
					f.c.Check(runs, qt.Equals, 0, what)
				case got.outcome == "complete":
					f.c.Check(got.body, qt.Equals, "answer to opanswer to op", what)
					f.c.Check(runs, qt.Equals, 2, what)
				}
				seen[got.outcome]++
			})
		}
	}
	t.Logf("%v", seen)
	qt.New(t).Check(seen["broken"] > 0 && seen["unknown"] > 0 && seen["complete"] > 0, qt.IsTrue, qt.Commentf("%v", seen))
}

// The record of a request must contain each step of its chain with its place in the
// trace. Without the outbound step the chain has a gap, and the explain command can't
// show which hop called which.
func TestEveryStepIsOnRecord(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.add("front", "portal", 10, func(w http.ResponseWriter, _ *http.Request, call func(string, string, string) (*http.Response, error)) {
			resp, err := call("registry", http.MethodGet, "/lookup")
			if err == nil {
				_ = resp.Body.Close()
			}
		})
		deep := f.add("deep", "registry", 10, answerOK)
		f.settle()
		got := f.ask(front, http.MethodGet, "/status", "X-Request-Id", "req-1")
		f.c.Check(got.header.Get("Pollengauge-Credit-Left"), qt.Equals, "", qt.Commentf("header for nodes only in an answer to a caller"))
		var kinds []string
		parents := map[string]string{}
		spans := map[string]string{}
		for _, hop := range append(front.ring.Find("req-1"), deep.ring.Find("req-1")...) {
			kind := string(hop.Kind) + " " + hop.Service
			kinds = append(kinds, kind)
			parents[kind] = hop.ParentSpanID.String()
			spans[kind] = hop.SpanID.String()
		}
		f.c.Check(kinds, qt.ContentEquals, []string{
			"root portal", "attempt portal", "inbound portal", "outbound registry", "attempt registry", "inbound registry",
		})
		for child, parent := range map[string]string{
			"attempt portal":    "root portal",
			"inbound portal":    "attempt portal",
			"outbound registry": "inbound portal",
			"attempt registry":  "outbound registry",
			"inbound registry":  "attempt registry",
		} {
			f.c.Check(parents[child], qt.Equals, spans[parent], qt.Commentf("parent span of %s is not that of %s", child, parent))
		}
	})
}
