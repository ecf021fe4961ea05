package node

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"io"
	"maps"
	"net"
	"net/http"
	"net/rpc"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/membership"
)

// dialFromOutside opens a connection to a listener of n from a host that runs no node.
func (f *fleet) dialFromOutside(n *Node, listener Listener) net.Conn {
	conn, err := f.net.Host("stranger").Dial(f.t.Context(), n.Addr(listener))
	f.c.Assert(err, qt.IsNil)
	return conn
}

// raw sends text unchanged and returns the first answer, nil if there is none.
func (f *fleet) raw(n *Node, listener Listener, text string) *http.Response {
	conn := f.dialFromOutside(n, listener)
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body = memoryBody(body)
	return resp
}

func head(line string, fields ...string) string {
	return line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + strings.Join(append(fields, "\r\n"), "\r\n")
}

// refused checks a refusal by its status, its outcome and the logged event.
func (f *fleet) refused(resp *http.Response, status int, emitted *events, event string, what string) {
	f.c.Assert(resp, qt.IsNotNil, qt.Commentf(what))
	f.c.Check(resp.StatusCode, qt.Equals, status, qt.Commentf(what))
	f.c.Check(resp.Header.Get(call.HeaderOutcome), qt.Equals, "not-run", qt.Commentf(what))
	f.c.Check(emitted.has(event), qt.IsTrue, qt.Commentf("%s: event %s", what, event))
}

// twoHops starts a portal and a filing service, and returns the portal's node.
func twoHops(f *fleet, filing handler, adjust ...func(*Settings)) (front *Node) {
	f.apply(filingProfiles)
	front = f.add("front", "portal", 10, answerOK, adjust...)
	f.add("deep", "filing", 10, filing, adjust...)
	f.settle()
	return front
}

// A caller from outside sends every header that only nodes may set, in each possible
// form: plain, with _ for - (a CGI-like upstream sees the same variable), as trailers,
// and named in Connection so that a hop might drop the genuine one. An upstream does
// the same in its answer. No forged value may be forwarded, trusted, or displace a
// genuine one.
func TestForgedHeadersAreNotForwarded(t *testing.T) {
	forged := []string{"Pollengauge-Level", "Pollengauge-Credit", "Pollengauge-Visit", "Pollengauge-Home", "Pollengauge-Outcome",
		"Pollengauge-Request", "Pollengauge-Depth", "Pollengauge-Progress", "Pollengauge_Visit", "POLLENGAUGE_level", "Pollengauge-Worst-Level",
		"Pollengauge-Credit-Left", "Pollengauge-Stale", "Pollengauge-Reason", "Pollengauge-Of-Later"}
	inFleet(t, func(f *fleet) {
		var seen http.Header
		emitted := &events{}
		n := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			_, _ = io.Copy(io.Discard, r.Body)
			seen = r.Header.Clone()
			maps.Copy(seen, r.Trailer)
			for _, name := range forged {
				w.Header()[name] = []string{"1919"}
				w.Header().Add("Trailer", name)
			}
			w.Header().Set("Pollengauge-Outcome", "complete")
			w.Header().Set("Connection", "Pollengauge-Outcome, Pollengauge-Credit-Left")
		}, logged(f.c, emitted))
		f.settle()
		var fields []string
		for _, name := range forged {
			fields = append(fields, name+": 1919")
		}
		names := strings.Join(forged, ", ")
		text := head("POST /x", append(fields, "Connection: "+names+", Idempotency-Key", "Trailer: "+names, "Transfer-Encoding: chunked")...)
		text += "1\r\na\r\n0\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
		for range 3 {
			resp := f.raw(n, "edge", text)
			f.c.Assert(resp, qt.IsNotNil)
			f.c.Check(resp.Header.Get(call.HeaderOutcome), qt.Equals, "complete")
			for _, got := range []http.Header{seen, resp.Header, resp.Trailer} {
				for name, values := range got {
					if isNodeHeader(name) {
						f.c.Check(slices.Contains(values, "1919"), qt.IsFalse, qt.Commentf("%s: %v", name, values))
						f.c.Check(strings.Contains(name, "_"), qt.IsFalse, qt.Commentf(name))
					}
				}
			}
			f.c.Check(seen.Get(call.HeaderVisit), qt.Not(qt.Equals), "")
			f.c.Check(seen.Get(call.HeaderProfile), qt.Equals, "default-write")
		}
		f.c.Check(emitted.has("forged-headers"), qt.IsTrue)
	})
}

// Heads exceed a limit, or senders stall in the head or the body. Each connection must
// get a refusal with its reason or be closed in time, without a run. Refusals must be
// logged.
func TestHeadsAndStallsAreBounded(t *testing.T) {
	inFleet(t, func(f *fleet) {
		emitted := &events{}
		n := twoHops(f, answerOK, logged(f.c, emitted), func(s *Settings) { s.BodyTimeout = 2 * time.Second })
		f.refused(f.raw(n, "edge", head("GET /x", "X-Operation: o", "A: "+strings.Repeat("a", 32<<10))), 431, emitted, "too-large", "bytes")
		f.refused(f.raw(n, "edge", head("GET /x", "X-Operation: o"+strings.Repeat("\r\nA: b", 200))), 431, emitted, "too-large", "fields")
		resp := f.raw(n, "edge", head("GET /x", "X-Operation: o", "A: "+strings.Repeat("a", 1<<20)))
		f.c.Check(resp == nil || resp.StatusCode == 431, qt.IsTrue)
		for what, text := range map[string]string{"head": "GET /x HTTP/1.1\r\nHost: x\r\nA", "body": head("POST /x", "X-Operation: o", "Content-Length: 5") + "ab"} {
			start := time.Now()
			resp := f.raw(n, "edge", text)
			f.c.Check(time.Since(start) <= readHeaderTimeout, qt.IsTrue)
			if what == "body" {
				f.refused(resp, 400, emitted, "bad-request", what)
			}
		}
		f.c.Check(f.runs.of("portal", "o"), qt.Equals, 0)
	})
}

// A call whose head is just within the limit at the edge grows by the context that
// nodes add, and an answer by the report. Neither may fail on the way because of that,
// since the filing has run by then, or may have run. The edge refuses a head that is
// too long, and an answer that passes one node also passes two.
func TestHeadWithinTheLimitPassesEveryHop(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		front := f.add("front", "portal", 10, answerOK)
		other := f.add("other", "portal", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			size, _ := strconv.Atoi(r.Header.Get("X-Size"))
			w.Header().Set("A", strings.Repeat("a", size))
		})
		f.settle()
		front.gate.Drain()
		seen := map[string]int{}
		for size := 30 << 10; size < 38<<10; size += 150 {
			got := f.ask(front, http.MethodPost, "/file", "A", strings.Repeat("a", size))
			f.c.Check(got.outcome == "complete" || got.status == 431, qt.IsTrue, qt.Commentf("head of %d: %d %s", size, got.status, got.outcome))
			seen[got.outcome]++
		}
		f.c.Check(seen["complete"] > 0 && seen["not-run"]+seen[""] > 0, qt.IsTrue, qt.Commentf("%v", seen))
		for size := maxResponseHeader - 1000; size < maxResponseHeader; size += 30 {
			one := f.ask(other, http.MethodPost, "/file", "X-Size", strconv.Itoa(size))
			two := f.ask(front, http.MethodPost, "/file", "X-Size", strconv.Itoa(size))
			f.c.Check(two.outcome, qt.Equals, one.outcome, qt.Commentf("answer of %d", size))
		}
	})
}

// Bodies exceed what is buffered for a retry. A body above that limit must arrive
// complete at the upstream, and its answer be awaited for as long as the profile
// allows, although the timeout for reading bodies is shorter. A caller that doesn't
// read its answer must not occupy the slot beyond the deadline.
func TestLongBodiesAndSlowReaders(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.add("front", "portal", 1, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			if r.Method == http.MethodGet {
				_, _ = w.Write(bytes.Repeat([]byte("x"), 1<<20))
				return
			}
			length, _ := io.Copy(io.Discard, r.Body)
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, strings.Repeat("y", int(length>>10)))
		}, func(s *Settings) { s.BodyTimeout = 200 * time.Millisecond })
		f.settle()
		resp := f.raw(n, "edge", head("POST /x", "Content-Length: 1048576")+strings.Repeat("x", 1<<20))
		f.c.Assert(resp, qt.IsNotNil)
		body, _ := io.ReadAll(resp.Body)
		f.c.Check(resp.Header.Get(call.HeaderOutcome), qt.Equals, "complete")
		f.c.Check(len(body), qt.Equals, 1024)
		conn := f.dialFromOutside(n, "edge")
		defer conn.Close()
		_, _ = io.WriteString(conn, head("GET /x"))
		time.Sleep(time.Second)
		f.c.Check(n.gate.InFlight(), qt.Equals, 1)
		time.Sleep(time.Minute)
		f.c.Check(n.gate.InFlight(), qt.Equals, 0)
	})
}

// Callers open too many connections, and an admin request has an oversized body. Connections over
// the limit are logged. They wait while all others have a whole request in progress; those that
// close free capacity. A connection without one gives way.
func TestConnectionsAndAdminBodiesAreBounded(t *testing.T) {
	inFleet(t, func(f *fleet) {
		emitted := &events{}
		slow := func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			if r.URL.Path == "/slow" {
				time.Sleep(5 * time.Second)
			}
			answerOK(w, r, c)
		}
		n := f.add("front", "portal", 10, slow, logged(f.c, emitted), func(s *Settings) { s.EdgeConns, s.PeerInbound = 2, 2 })
		f.settle()
		for _, listener := range []Listener{EdgeListener, PeerListener, AdminListener} {
			var open []net.Conn
			ask := func() time.Duration {
				start := time.Now()
				f.c.Check(f.raw(n, listener, head("GET /healthz")), qt.IsNotNil)
				return time.Since(start)
			}
			limit := map[Listener]int{EdgeListener: 2, PeerListener: 2, AdminListener: adminConns}[listener]
			for range limit {
				open = append(open, f.dialFromOutside(n, listener))
			}
			time.Sleep(time.Second)
			f.c.Check(emitted.has("too-many-connections"), qt.IsTrue)
			f.c.Check(ask() < time.Second, qt.IsTrue, qt.Commentf("%s, silent", listener))
			for _, conn := range open {
				conn.Close()
			}
			f.settle()
			for range limit {
				conn := f.dialFromOutside(n, listener)
				defer conn.Close()
				_, err := io.WriteString(conn, "POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n")
				f.c.Assert(err, qt.IsNil)
			}
			f.c.Check(ask() < 2*time.Second, qt.IsTrue, qt.Commentf("%s, without their bodies", listener))
			f.settle()
			if listener != EdgeListener {
				continue // no other request takes long
			}
			for range limit {
				conn := f.dialFromOutside(n, listener)
				defer conn.Close()
				_, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
				f.c.Assert(err, qt.IsNil)
			}
			time.Sleep(time.Second)
			f.c.Check(ask() > 3*time.Second, qt.IsTrue, qt.Commentf("%s, in progress", listener))
		}
		resp := f.raw(n, "admin", head("POST /v1/announce", "Content-Length: 1000000")+`{"service":"`+strings.Repeat("x", 100_000))
		f.c.Check(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
		f.c.Check(emitted.has("too-large"), qt.IsTrue)
		f.settle() // net/http waits before it closes refused connections
	})
}

// Two parsers could read these requests as different requests, or the requests ask for
// another kind of connection. The upstream must see at most one request, framed by the
// node, and bytes of its body must never become a second request.
func TestRequestShapes(t *testing.T) {
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: x\r\nX-Operation: smuggled\r\n\r\n"
	shapes := []struct {
		text   string
		status int
		runs   int
	}{
		{head("POST /x", "X-Operation: op", "Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggled, 200, 1},
		{head("POST /x", "X-Operation: op", "Content-Length: 5", "Content-Length: 6") + "abcde" + smuggled, 400, 0},
		{head("POST /x", "X-Operation: op", "Transfer-Encoding: x, chunked") + "0\r\n\r\n" + smuggled, 501, 0},
		{head("POST /x", "X-Operation: op", "Transfer-Encoding : chunked") + "0\r\n\r\n" + smuggled, 400, 0},
		{head("GET /x", "X-Operation: op", "Host: y"), 400, 0},
		{head("GET /x", "X-Operation: op", "A: b", " folded: c"), 200, 1},
		{head("GET http://other.example/x", "X-Operation: op"), 200, 1},
		{head("GET x:opaque", "X-Operation: op"), 400, 0},
		{head("OPTIONS *", "X-Operation: op"), 400, 0},
		{head("CONNECT /.pollengauge/handover", "X-Operation: op"), 400, 0},
		{head("CONNECT other.example:443", "X-Operation: op"), 400, 0},
		{head("TRACE /x", "X-Operation: op"), 400, 0},
		{head("GET /x", "X-Operation: op", "Connection: upgrade", "Upgrade: websocket"), 200, 1},
		{head("GET /x", "X-Operation: op", "Connection: upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk"), 200, 1},
	}
	for _, shape := range shapes {
		inFleet(t, func(f *fleet) {
			var path, upgrade string
			n := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
				path, upgrade = r.Host+r.RequestURI, r.Header.Get("Upgrade")
			})
			f.settle()
			resp := f.raw(n, "edge", shape.text)
			f.c.Assert(resp, qt.IsNotNil, qt.Commentf(shape.text))
			f.c.Check(resp.StatusCode, qt.Equals, shape.status, qt.Commentf(shape.text))
			f.c.Check(f.runs.of("portal", "op"), qt.Equals, shape.runs, qt.Commentf(shape.text))
			f.c.Check(f.runs.of("portal", "smuggled"), qt.Equals, 0, qt.Commentf(shape.text))
			if shape.runs > 0 {
				f.c.Check(path, qt.Equals, "portal/x")
				f.c.Check(upgrade, qt.Equals, "")
			}
		})
	}
}

// Some servers read these paths as /file and others don't. If the two readings would
// choose different profiles, the call is refused, so that a filing can't run as a
// repeatable call, nor browsing as a filing. All other paths are forwarded unchanged.
// Upper and lower case differ, as in the configured path prefixes.
func TestPathTricks(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		emitted := &events{}
		var uri, profile string
		n := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			uri, profile = r.RequestURI, r.Header.Get(call.HeaderProfile)
		}, logged(f.c, emitted))
		f.settle()
		for _, path := range []string{"//file", "/./file", "/%2e/file", "/x/../file", "/x/%2e%2e/file", "/x%2f..%2ffile", "/file%2fx", "/file;a=b", `/\file`,
			`/x/..%5cfile`, "/file/../x", "/file/%2e%2e/x", "/x/%252e%252e/file", "/file%252fx", "/x/..;/file"} {
			f.refused(f.raw(n, "edge", head("POST "+path)), 400, emitted, "bad-request", path)
		}
		for path, want := range map[string]string{"/file": "filing", "/file/1": "filing", "/f%69le/a%2Fb": "filing", "/file/a//b/./c": "filing",
			"/FILE": "default", "/filex": "default", "/x//y/../z": "default", "/x;a=b/%C3%A1%2F%20": "default", "/file?a=/../x": "filing"} {
			resp := f.raw(n, "edge", head("POST "+path))
			f.c.Assert(resp, qt.IsNotNil, qt.Commentf(path))
			f.c.Check(resp.StatusCode, qt.Equals, 200, qt.Commentf(path))
			f.c.Check([]string{uri, profile}, qt.DeepEquals, []string{path, want})
		}
	})
}

// A client that is not a node, or a faulty node, connects to the peer listener. It
// sends context headers that are missing, malformed or out of range, a home header
// that would let a call for another service pass, and a hand-over of keys. Nothing may
// run, and no key may be accepted.
func TestPeerListenerAcceptsOnlyCompleteContexts(t *testing.T) {
	inFleet(t, func(f *fleet) {
		emitted := &events{}
		n := f.add("front", "portal", 10, answerOK, logged(f.c, emitted))
		f.settle()
		good := map[string]string{call.HeaderRequest: "r1", call.HeaderProfile: "default", call.HeaderLevel: "128",
			call.HeaderTimeout: "1000", call.HeaderCredit: "1", call.HeaderDepth: "1", "Host": "portal", "X-Operation": "op"}
		send := func(name, value string) *http.Response {
			fields := maps.Clone(good)
			fields[name] = value
			text := "POST /x HTTP/1.1\r\nConnection: close\r\n"
			for name, value := range fields {
				text += name + ": " + value + "\r\n"
			}
			return f.raw(n, "peer", text+"\r\n")
		}
		for name, values := range map[string][]string{
			call.HeaderRequest: {"", strings.Repeat("r", 97), "a b"}, call.HeaderProfile: {"", strings.Repeat("p", 64)},
			call.HeaderLevel: {"", "-1", "2048", "99999999", "1e3", "0x10"}, call.HeaderTimeout: {"", "600001", "-5"},
			call.HeaderCredit: {"", "65", "+1"}, call.HeaderDepth: {"", "65"}, call.HeaderProgress: {"", "65", "-1"}, call.HeaderHome: {"-1", "x", "5", "0"},
			"Host": {"filing", "portal.example"},
		} {
			for _, value := range values {
				f.refused(send(name, value), 400, emitted, "bad-request", name+": "+value)
			}
		}
		// With a key, the node can't know whether an earlier call ran.
		f.c.Check(send(call.HeaderIdempotencyKey, strings.Repeat("k", 201)).Header.Get(call.HeaderOutcome), qt.Equals, "unknown")
		f.c.Check(f.runs.of("portal", "op"), qt.Equals, 0)
		f.c.Check(send("X", "y").Header.Get(call.HeaderOutcome), qt.Equals, "complete")

		conn := f.dialFromOutside(n, "peer")
		f.c.Assert(openRPC(f.t.Context(), conn), qt.IsNil)
		client := rpc.NewClient(conn)
		chunk := atmostonce.Chunk{From: atmostonce.Incarnation(membership.NewID()), To: atmostonce.Incarnation(n.ID()), Attempt: 1, Total: 1}
		f.c.Check(client.Call("HandOver.Stage", chunk, &HandoverReply{}), qt.ErrorMatches, ".*no known member.*")
		f.c.Check(emitted.has("peer-refused"), qt.IsTrue)
		start := time.Now()
		_, err := conn.Read(make([]byte, 1))
		f.c.Check(err, qt.IsNotNil)
		f.c.Check(time.Since(start) <= handoverConnTimeout, qt.IsTrue)
	})
}

// A gossip member impersonates another one: it announces the same incarnation with its
// own address and a later sequence number. Calls must continue to reach the genuine
// member, and none may reach the impostor.
func TestRoutingIgnoresAnImpostor(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.add("front", "portal", 10, relayFiling)
		deep := f.add("deep", "filing", 10, answerOK)
		f.settle()
		liar, err := f.net.Host("stranger").Listen("x:0")
		f.c.Assert(err, qt.IsNil)
		reached := 0
		go func() {
			for {
				conn, err := liar.Accept()
				if err != nil {
					return
				}
				reached++
				conn.Close()
			}
		}()
		client := rpc.NewClient(f.dialFromOutside(front, "gossip"))
		self := deep.gossip.Self()
		id := rawOf(f.c, self.ID)
		for range 3 {
			self.Seq += 3
			entry := membership.Entry{ID: id, Seq: self.Seq, Epoch: self.Epoch, Service: "filing", Addr: liar.Addr().String(),
				GossipAddr: self.GossipAddr, Zone: self.Zone, Region: self.Region, Slots: 10}
			_ = client.Call("G.Exchange", &membership.Message{From: id, FromSeq: self.Seq, Entries: []membership.Entry{entry}}, &membership.Message{})
			time.Sleep(time.Second)
			f.c.Check(f.ask(front, http.MethodGet, "/x", "X-Operation", "op").status, qt.Equals, 200)
		}
		f.c.Check(reached, qt.Equals, 0)
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 3)
		_ = client.Close()
		_ = liar.Close()
	})
}

// rawOf returns the 16 byte form of an incarnation.
func rawOf(c *qt.C, id string) string {
	raw, err := hex.DecodeString(id)
	c.Assert(err, qt.IsNil)
	return string(raw)
}
