package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// An upstream answers 101 although nobody asked it to switch protocols. Its
// caller must not take that for the whole answer, and the slot must be free
// again; before, the caller got a bare 101 with outcome complete.
func TestUnaskedSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.add("front", "portal", 1, func(w http.ResponseWriter, _ *http.Request, _ func(string, string, string) (*http.Response, error)) {
			w.Header().Set("Upgrade", "other")
			w.WriteHeader(http.StatusSwitchingProtocols)
		})
		f.settle()
		got := f.ask(n, http.MethodPost, "/x", "X-Operation", "op")
		f.c.Check(got.outcome, qt.Equals, "unknown")
		f.c.Check(got.status, qt.Equals, http.StatusBadGateway)
		f.c.Check(n.gate.InFlight(), qt.Equals, 0)
	})
}

// Two operators begin and cancel a drain again and again at the same time.
// Whatever comes last must hold in all places at once: a node that the members
// believe to be taking calls, but whose gate refuses them for ever, would turn
// away a share of all callers, and one that is still a target after its drain
// began would go on getting work.
func TestRacingDrainsEndInOneState(t *testing.T) {
	for range 40 {
		inFleet(t, func(f *fleet) {
			n := f.add("a", "portal", 10, answerOK)
			var racing sync.WaitGroup
			for i := range 8 {
				racing.Go(func() {
					for j := range 20 {
						n.SetDraining((i+j)%2 == 0)
					}
				})
			}
			racing.Wait()
			time.Sleep(2 * drainNews) // the gate closes once the news has spread
			draining := n.draining.Load()
			f.c.Check(n.gate.Snapshot().Draining, qt.Equals, draining)
			f.c.Check(n.gossip.Self().Draining, qt.Equals, draining)
			f.c.Check(n.Targets("portal") == 0, qt.Equals, draining)
		})
	}
}

// An operator forbids retries while nodes run. The change must be in force
// like any other; before, a node kept for ever the ratio it had started with.
func TestRetryRatioFollowsTheConfiguration(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		crash := func(http.ResponseWriter, *http.Request, func(string, string, string) (*http.Response, error)) {
			panic(http.ErrAbortHandler)
		}
		a := f.add("a", "portal", 10, crash)
		f.add("b", "portal", 10, crash)
		f.settle()
		retries := func(operation string) int {
			for range 100 {
				f.ask(a, http.MethodGet, "/x", "X-Operation", operation)
			}
			return f.runs.of("portal", operation) - 100
		}
		f.c.Check(retries("before"), qt.Equals, 13)
		document, err := config.Read(t.Context(), f.store)
		f.c.Assert(err, qt.IsNil)
		set := document.Set
		set.Limits.RetryRatio = 0
		_, err = config.Apply(t.Context(), f.store, set, config.ApplyOptions{Author: "test", ExpectVersion: set.Version})
		f.c.Assert(err, qt.IsNil)
		f.settle()
		f.c.Check(retries("after"), qt.Equals, 3)
	})
}

// A node exits gracefully while callers present its keys at other nodes. Until
// the news of its successor has spread, those nodes find its listener closed,
// or a member that has left and no other that has its keys. The callers must
// not notice; before, some were told unknown.
func TestKeysOfAnExitingNodeStayReachable(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.threeFilers(answerOK)
		keys := make([]string, 100)
		for i := range keys {
			keys[i] = f.mintAt(a)
		}
		f.net.SetDelay(func(string, string) time.Duration { return 20 * time.Millisecond })
		delete(f.nodes, "a")
		exited := make(chan error, 1)
		go func() { exited <- a.Drain(f.t.Context()) }()
		var callers sync.WaitGroup
		for i, key := range keys {
			callers.Go(func() {
				got := f.file([]*Node{b, c}[i%2], key)
				f.c.Check(got.outcome, qt.Equals, "complete", qt.Commentf("%d: %s", i, got.reason))
			})
			time.Sleep(10 * time.Millisecond)
		}
		callers.Wait()
		f.c.Check(<-exited, qt.IsNil)
	})
}

// A node hands its keys over. Its commit is on the way when it passes a call on
// to the successor; the call overtakes the commit, has been passed to and fro
// meanwhile, and may not be passed on again. The caller must get its answer
// once the commit is there; before, it was told unknown, key-home-gone, by a
// graceful exit, once in five runs of the test above on one thread.
func TestLastHopWaitsForTheCommit(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		a := f.add("a", "filing", 10, answerOK)
		b := f.add("b", "filing", 10, answerOK)
		f.settle()
		key := f.mintAt(a)
		delete(f.nodes, "a")
		exited := make(chan error, 1)
		go func() { exited <- a.Drain(f.t.Context()) }()
		time.Sleep(drainNews - 100*time.Millisecond)
		text := head("POST /file", "Idempotency-Key: "+key, "Pollengauge-Home: "+strconv.Itoa(maxHomeHops), "X-Operation: op")
		text = strings.Replace(strings.TrimSuffix(text, "\r\n"), "Host: x", "Host: filing", 1) + peerContext + "\r\n"
		resp := f.raw(b, "peer", text)
		f.c.Assert(resp, qt.IsNotNil)
		f.c.Check(resp.Header.Get("Pollengauge-Outcome"), qt.Equals, "complete", qt.Commentf("%v", resp.Header))
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
		f.c.Check(<-exited, qt.IsNil)
	})
}

// An attempt was given up before it sent a byte, and the body of its request,
// too long to be held, is sent again. If the transport still reads for the
// first attempt, the second must get every byte all the same; and once a byte
// of the stream was taken there must be no second attempt.
func TestAbandonedAttemptLosesTheBody(t *testing.T) {
	c := qt.New(t)
	const sent = "a request that is longer than what is held"
	body, err := readBody(strings.NewReader(sent), int64(len(sent)), 4)
	c.Assert(err, qt.IsNil)
	first, _ := body.open()
	c.Assert(body.rewind(), qt.IsTrue)
	second, _ := body.open()
	var sealed *SealedError
	_, err = io.ReadAll(first)
	c.Check(errors.As(err, &sealed), qt.IsTrue)
	got, err := io.ReadAll(second)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, sent)
	c.Check(body.rewind(), qt.IsFalse)
}

// An upstream ends its answer with a trailer that it did not announce, as it
// may. Without it the caller's answer is not whole, and nothing tells.
func TestUnannouncedTrailerArrives(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.add("front", "portal", 1, func(w http.ResponseWriter, _ *http.Request, _ func(string, string, string) (*http.Response, error)) {
			_, _ = io.WriteString(w, "body")
			_ = http.NewResponseController(w).Flush()
			w.Header().Set(http.TrailerPrefix+"X-End", "checked")
		})
		f.settle()
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			got := f.ask(n, method, "/x", "X-Operation", "op")
			f.c.Check(got.body, qt.Equals, "body")
			f.c.Check(got.trailer.Get("X-End"), qt.Equals, "checked", qt.Commentf(method))
		}
	})
}

// An upstream's answer has no length and ends with its connection, which
// breaks. The caller must not take what came for the whole: one that reads
// chunks sees them end too early, and one of HTTP/1.0, who can only see how the
// connection ends, sees it break and not end.
func TestBrokenAnswerWithoutLengthIsNoWholeOne(t *testing.T) {
	for _, broken := range []bool{true, false} {
		for _, version := range []string{"1.0", "1.1"} {
			inFleet(t, func(f *fleet) {
				n := f.add("front", "portal", 1, answerOK)
				f.settle()
				f.rawUpstream(n, "portal", "HTTP/1.0 200 OK\r\n\r\nhalf of it", broken)
				conn := f.stranger(n, "edge")
				defer conn.Close()
				_, _ = io.WriteString(conn, "GET /x HTTP/"+version+"\r\nHost: x\r\nConnection: close\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				f.c.Check(err != nil, qt.Equals, broken, qt.Commentf("HTTP/%s: %v", version, err))
				synctest.Wait()
				f.c.Check(n.gate.InFlight(), qt.Equals, 0)
				// The node has also looked whether the upstream is still there.
				time.Sleep(time.Second)
			})
		}
	}
}

// The same over TCP: a connection that ends in order shows the end of its
// stream, one that was reset shows a break.
func TestResetShowsOverTCP(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer inner.Close()
	listener := limitListener(inner, 1)
	for _, broken := range []bool{false, true} {
		client, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		conn, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		if broken {
			conn.(*resetConn).reset()
		} else {
			c.Assert(conn.Close(), qt.IsNil)
		}
		_, err = client.Read(make([]byte, 1))
		c.Check(errors.Is(err, io.EOF), qt.Equals, !broken, qt.Commentf("%v", err))
		_ = client.Close()
	}
}
