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
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// Guards against an upstream that answers 101 although the request asked for no protocol
// switch. The caller must not receive it as a complete answer, and the slot must become
// free again; before the fix, the caller got a bare 101 with outcome complete.
func TestUnrequestedProtocolSwitchIsNoAnswer(t *testing.T) {
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

// Two operators begin and cancel a drain repeatedly at the same time. The last change
// must be in force everywhere. Otherwise a node that the members believe to accept calls
// could have a gate that refuses them forever, and so turn away a share of all callers,
// or a node could remain a target after its drain began and continue to receive calls.
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
			time.Sleep(2 * drainSpreadTime) // the gate closes once the announcement has spread
			draining := n.draining.Load()
			f.c.Check(n.gate.Snapshot().Draining, qt.Equals, draining)
			f.c.Check(n.gossip.Self().Draining, qt.Equals, draining)
			f.c.Check(n.Targets("portal") == 0, qt.Equals, draining)
		})
	}
}

// Guards against a retry ratio that is fixed at the start: an operator forbids retries
// while nodes run, and the change must take effect like any other. Before the fix, a
// node used its initial ratio forever.
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

// Guards against callers that are told unknown when a node exits gracefully while they
// present its keys at other nodes. Until the announcement of its successor has spread,
// those nodes find its listener closed, or find that it has left and no other member has
// its keys. The callers must not notice; before the fix, some were told unknown.
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

// A node hands its keys over. While its commit is still in flight, it forwards a call to
// the successor. The call overtakes the commit, has already been forwarded back and
// forth, and may not be forwarded again. The caller must get its answer once the commit
// arrives. Before the fix, the caller was told unknown with reason key-home-gone by a
// graceful exit; it happened in one of five runs of the test above on one thread.
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
		time.Sleep(drainSpreadTime - 100*time.Millisecond)
		text := head("POST /file", "Idempotency-Key: "+key, "Pollengauge-Home: "+strconv.Itoa(maxOwnerHops), "X-Operation: op")
		text = strings.Replace(strings.TrimSuffix(text, "\r\n"), "Host: x", "Host: filing", 1) + peerContext + "\r\n"
		resp := f.raw(b, "peer", text)
		f.c.Assert(resp, qt.IsNotNil)
		f.c.Check(resp.Header.Get("Pollengauge-Outcome"), qt.Equals, "complete", qt.Commentf("%v", resp.Header))
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
		f.c.Check(<-exited, qt.IsNil)
	})
}

// An attempt is given up before it sent a byte, and the body of its request, which is
// too long to be buffered, is sent again. Even if the transport still reads for the
// first attempt, the second must get every byte; and once a byte of the stream was read
// there must be no further attempt.
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

// Guards against losing a trailer that the upstream did not announce, which HTTP allows.
// Without it the caller's answer is incomplete, and nothing shows that.
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

// Guards against a truncated answer that looks complete. An upstream's answer has no
// length and ends with its connection, which breaks. A caller that reads chunks must see
// them end early; an HTTP/1.0 caller, which can only see how the connection ends, must
// see a reset and not an orderly close.
func TestTruncatedAnswerWithoutLengthIsNotComplete(t *testing.T) {
	for _, broken := range []bool{true, false} {
		for _, version := range []string{"1.0", "1.1"} {
			inFleet(t, func(f *fleet) {
				n := f.add("front", "portal", 1, answerOK)
				f.settle()
				f.rawUpstream(n, "portal", "HTTP/1.0 200 OK\r\n\r\nhalf of it", broken)
				conn := f.dialFromOutside(n, "edge")
				defer conn.Close()
				_, _ = io.WriteString(conn, "GET /x HTTP/"+version+"\r\nHost: x\r\nConnection: close\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				f.c.Check(err != nil, qt.Equals, broken, qt.Commentf("HTTP/%s: %v", version, err))
				synctest.Wait()
				f.c.Check(n.gate.InFlight(), qt.Equals, 0)
				// Wait until the node has also checked whether the upstream is still
				// there.
				time.Sleep(time.Second)
			})
		}
	}
}

// The same over TCP: a connection that is closed in order shows the end of its stream, a
// reset one shows an error.
func TestResetShowsOverTCP(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer inner.Close()
	listener := limitListener(inner, 1, new(atomic.Int64))
	for _, broken := range []bool{false, true} {
		client, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		conn, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		if broken {
			conn.(*resetConn).Reset()
		} else {
			c.Assert(conn.Close(), qt.IsNil)
		}
		_, err = client.Read(make([]byte, 1))
		c.Check(errors.Is(err, io.EOF), qt.Equals, !broken, qt.Commentf("%v", err))
		_ = client.Close()
	}
}
