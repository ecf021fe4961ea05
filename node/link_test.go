package node

import (
	"bufio"
	"context"
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

	"pollengauge.dev/peerlink"
)

func withProtocol(p PeerProtocol) func(*Settings) {
	return func(s *Settings) { s.PeerProtocol = p }
}

// Guards against a node of an older version, or one that is set to HTTP/1.1, that can't be
// called or can't call.
func TestNodesWithoutSharedConnectionsAreServed(t *testing.T) {
	for _, protocols := range [][2]PeerProtocol{{PeerAuto, PeerHTTP1}, {PeerHTTP1, PeerAuto}, {PeerAuto, PeerAuto}} {
		inFleet(t, func(f *fleet) {
			emitted := &events{}
			front := f.addRouted("front", "edge", 10, echo, withProtocol(protocols[0]), logged(f.c, emitted))
			f.addRouted("back", "desk", 10, echo, withProtocol(protocols[1]))
			f.settle()
			about := qt.Commentf("%v", protocols)
			for i := range 3 {
				f.c.Check(f.askRouted(front, "/browse/x", "r"+strconv.Itoa(i)).body, qt.Equals, "answer to r"+strconv.Itoa(i), about)
			}
			fellBack := protocols == [2]PeerProtocol{PeerAuto, PeerHTTP1}
			f.c.Check(emitted.has("peerlink-not-offered"), qt.Equals, fellBack, about)
			shared := f.metric(front, `pollengauge_peerlink_calls_total{direction="outbound"}`)
			f.c.Check(shared == "3", qt.Equals, protocols == [2]PeerProtocol{PeerAuto, PeerAuto}, about)
			f.c.Check(f.metric(front, "pollengauge_peerlink_fallbacks_total") == "1", qt.Equals, fellBack, about)
		})
	}
}

// Guards against answers that are lost or changed on a shared connection: with a body of any
// length, of unknown length, with trailers, without a body, or to HEAD.
func TestAnswersAreWholeOnSharedConnections(t *testing.T) {
	large := strings.Repeat("0123456789", 40_000)
	for _, protocol := range []PeerProtocol{PeerAuto, PeerHTTP1} {
		inFleet(t, func(f *fleet) {
			front := f.addRouted("front", "edge", 10, echo, withProtocol(protocol))
			f.addRouted("back", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
				w.Header().Set("X-Echo", r.Header.Get("X-Id"))
				switch r.URL.Path {
				case "/browse/known":
					w.Header().Set("Content-Length", strconv.Itoa(len(large)))
				case "/browse/trailer":
					w.Header().Set("Trailer", "X-Sum")
					defer w.Header().Set("X-Sum", "7")
				case "/browse/buffered":
					w.Header().Set("Content-Length", "100000")
					_, _ = io.WriteString(w, large[:100_000])
					return
				case "/browse/none":
					w.WriteHeader(http.StatusNoContent)
					return
				}
				_, _ = io.WriteString(w, large)
			})
			f.settle()
			for _, test := range []struct {
				path string
				size int
			}{{"known", len(large)}, {"unknown", len(large)}, {"trailer", len(large)}, {"buffered", 100_000}, {"none", 0}} {
				got := f.askRouted(front, "/browse/"+test.path, test.path)
				about := qt.Commentf("%s, %s: %s", protocol, test.path, got.reason)
				f.c.Assert(got.err, qt.IsNil, about)
				f.c.Check(got.body == large[:test.size], qt.IsTrue, about)
			}
		})
	}
}

// Guards against a drain that loses or repeats calls which are on their way on a shared
// connection.
func TestDrainLosesNoCallOnSharedConnections(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		front := f.add("front", "portal", 100, relayFiling)
		slow := func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			time.Sleep(50 * time.Millisecond)
			answerOK(w, r, call)
		}
		f.add("a", "filing", 100, slow)
		leaving := f.add("b", "filing", 100, slow)
		f.settle()
		f.net.SetDelay(func(string, string) time.Duration { return 3 * time.Millisecond })
		delete(f.nodes, "b")
		drained := f.drainInBackground(leaving)
		var callers sync.WaitGroup
		for i := range 1000 {
			callers.Go(func() {
				operation := "op" + strconv.Itoa(i)
				got := f.ask(front, http.MethodPost, "/file", "X-Operation", operation)
				f.c.Check(got.outcome, qt.Equals, "complete", qt.Commentf("%d: %s", i, got.reason))
				f.c.Check(f.runs.of("filing", operation), qt.Equals, 1)
			})
			time.Sleep(5 * time.Millisecond)
		}
		callers.Wait()
		<-drained
	})
}

// Guards against an upstream that works on for a caller which has gone, because the
// connection that the call came on stays open.
func TestCallerThatLeavesEndsTheRunOnASharedConnection(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var ended time.Time
		front := f.addRouted("front", "edge", 10, echo)
		f.addRouted("back", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			if r.URL.Path == "/browse/long" {
				<-r.Context().Done()
				ended = time.Now()
				return
			}
			echo(w, r, nil)
		})
		f.settle()
		f.c.Assert(f.askRouted(front, "/browse/x", "r1").status, qt.Equals, http.StatusOK)
		conn := f.dialFromOutside(front, OutboundListener)
		f.sendOn(conn, "/browse/long", "r2")
		time.Sleep(100 * time.Millisecond)
		left := time.Now()
		_ = conn.Close()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		f.c.Check(ended.IsZero(), qt.IsFalse)
		f.c.Check(ended.Sub(left) <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", ended.Sub(left)))
		// The connection itself goes on.
		f.c.Check(f.askRouted(front, "/browse/x", "r3").status, qt.Equals, http.StatusOK)
		f.c.Check(f.metric(front, `pollengauge_peerlink_connections{direction="outbound"}`), qt.Equals, "1")
	})
}

// Guards against a paused node that holds calls beyond their deadlines, or whose connection
// is never replaced.
func TestPausedNodeOnASharedConnection(t *testing.T) {
	inFleet(t, func(f *fleet) {
		emitted := &events{}
		front := f.addRouted("front", "edge", 10, echo, logged(f.c, emitted))
		f.addRouted("back", "desk", 10, echo)
		f.settle()
		f.c.Assert(f.askRouted(front, "/browse/x", "r0").status, qt.Equals, http.StatusOK)
		f.net.Freeze("back")
		for i := range 5 {
			start := time.Now()
			f.askRouted(front, "/browse/x", "p"+strconv.Itoa(i))
			f.c.Check(time.Since(start) <= 2100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		}
		f.net.Thaw("back")
		f.settle()
		f.settle()
		f.c.Check(f.askRouted(front, "/browse/x", "r1").status, qt.Equals, http.StatusOK)
	})
}

// Guards against a stranger on the peer listener whose malformed frame ends the calls of
// other nodes, or is not logged.
func TestMalformedFrameOnThePeerListener(t *testing.T) {
	inFleet(t, func(f *fleet) {
		emitted := &events{}
		front := f.addRouted("front", "edge", 10, echo)
		back := f.addRouted("back", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			time.Sleep(time.Second)
			echo(w, r, nil)
		}, logged(f.c, emitted))
		f.settle()
		answered := make(chan reply)
		go func() { answered <- f.askRouted(front, "/browse/x", "r0") }()
		time.Sleep(500 * time.Millisecond)
		conn := f.dialFromOutside(back, PeerListener)
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET "+peerlink.Path+" HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: "+peerlink.Protocol+"\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		f.c.Assert(err, qt.IsNil)
		f.c.Check(resp.StatusCode, qt.Equals, http.StatusSwitchingProtocols)
		_, _ = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0, 1})
		_, err = io.ReadAll(conn)
		f.c.Check(err, qt.IsNil)
		f.c.Check((<-answered).status, qt.Equals, http.StatusOK)
		f.c.Check(emitted.has("peerlink-malformed"), qt.IsTrue)
		f.c.Check(f.metric(back, `pollengauge_peerlink_malformed_total{direction="inbound"}`), qt.Equals, "1")
	})
}

// panicDialect panics while a certain call is sent to the upstream.
type panicDialect struct{ plainDialect }

func (d panicDialect) WriteUpstream(h http.Header, u UpstreamRequest) {
	if u.ID == "panic" {
		panic("test")
	}
	d.plainDialect.WriteUpstream(h, u)
}

// Guards against a panic in a call that takes the process, or the calls beside it, along.
func TestPanicEndsOneCallOfASharedConnection(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "edge", 10, echo)
		back := f.addRouted("back", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			time.Sleep(time.Second)
			echo(w, r, nil)
		}, func(s *Settings) { s.Dialect = panicDialect{} })
		f.settle()
		answered := make(chan reply)
		go func() { answered <- f.askRouted(front, "/file/x", "r0") }()
		time.Sleep(500 * time.Millisecond)
		f.c.Check(f.askRouted(front, "/file/x", "panic").status, qt.Equals, http.StatusBadGateway)
		f.c.Check((<-answered).status, qt.Equals, http.StatusOK)
		synctest.Wait() // the handlers return after their callers have the answers
		f.c.Check(back.metrics.Panics.Count(), qt.Equals, int64(1))
		f.c.Check(back.active.Load(), qt.Equals, int64(0))
		f.c.Check(back.inflight.Counts().Open, qt.Equals, int64(0))
	})
}

// Guards against hostile heads that pass on a shared connection although they are refused
// over HTTP/1.1.
func TestHeadsAreCheckedOnSharedConnections(t *testing.T) {
	inFleet(t, func(f *fleet) {
		back := f.add("back", "desk", 10, answerOK)
		f.settle()
		client := peerlink.NewClient(peerlink.ClientConfig{Dial: f.net.Host("stranger").Dial})
		defer client.Close()
		many := http.Header{}
		for i := range maxHeaderFields + nodeHeaderFields + 1 {
			many.Set("X-"+strconv.Itoa(i), "v")
		}
		for _, test := range []struct {
			name   string
			change func(*peerlink.Request)
			status int
		}{
			{"whole", func(*peerlink.Request) {}, http.StatusOK},
			{"long id", func(r *peerlink.Request) { r.Context.RequestID = strings.Repeat("x", 200) }, http.StatusBadRequest},
			{"method", func(r *peerlink.Request) { r.Method = http.MethodTrace }, http.StatusBadRequest},
			{"target", func(r *peerlink.Request) { r.Target = "a b" }, http.StatusBadRequest},
			{"service", func(r *peerlink.Request) { r.Service = "other" }, http.StatusBadRequest},
			{"fields", func(r *peerlink.Request) { r.Header = many }, http.StatusRequestHeaderFieldsTooLarge},
			{"owner hops", func(r *peerlink.Request) { r.Header = http.Header{"Pollengauge-Home": {"-1"}} }, http.StatusBadRequest},
			{"reserved", func(r *peerlink.Request) { r.Header = http.Header{"Pollengauge-Visit": {"v"}} }, http.StatusOK},
		} {
			r := &peerlink.Request{Method: http.MethodGet, Target: "/x", Service: "desk"}
			r.Context.RequestID, r.Context.Profile, r.Context.Timeout = "id", "default", time.Second
			test.change(r)
			resp, body, err := client.Do(f.t.Context(), back.Addr(PeerListener), r, nil, nil, 0)
			f.c.Assert(err, qt.IsNil, qt.Commentf(test.name))
			_ = body.Close()
			f.c.Check(resp.Status, qt.Equals, test.status, qt.Commentf(test.name))
		}
	})
}

// Guards against shared connections that escape the limit of accepted connections or its
// count.
func TestSharedConnectionsAreCounted(t *testing.T) {
	inFleet(t, func(f *fleet) {
		back := f.add("back", "desk", 10, answerOK, func(s *Settings) { s.PeerInbound = 2 })
		f.settle()
		open := func() net.Conn {
			conn := f.dialFromOutside(back, PeerListener)
			_, _ = io.WriteString(conn, "GET "+peerlink.Path+" HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: "+peerlink.Protocol+"\r\n\r\n")
			time.Sleep(time.Second)
			return conn
		}
		first, second := open(), open()
		f.c.Check(f.metric(back, `pollengauge_connections{listener="peer"}`), qt.Equals, "2")
		// Further ones wait until one is closed.
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		_, err := f.net.Host("stranger").Dial(ctx, back.Addr(PeerListener))
		f.c.Check(err, qt.IsNotNil)
		_ = first.Close()
		time.Sleep(time.Second)
		f.c.Check(f.metric(back, `pollengauge_connections{listener="peer"}`), qt.Equals, "1")
		_ = second.Close()
	})
}
