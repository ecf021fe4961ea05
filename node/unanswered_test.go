package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/node/pipelining"
)

// drainInBackground begins a drain and returns a channel that is closed at its end.
func (f *fleet) drainInBackground(n *Node) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Drain(f.t.Context())
	}()
	return done
}

// sendOn sends one request without a body on a connection.
func (f *fleet) sendOn(conn net.Conn, path, id string) {
	_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: desk.example\r\nX-Id: "+id+"\r\n\r\n")
	f.c.Assert(err, qt.IsNil)
}

// expectComplete reads one complete response.
func (f *fleet) expectComplete(answers *bufio.Reader) *http.Response {
	resp, err := http.ReadResponse(answers, nil)
	f.c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(resp.Body)
	f.c.Assert(err, qt.IsNil)
	return resp
}

// Guards against a request that was read behind another one, and whose connection the
// earlier response closes in a drain.
func TestPipelinedRequestsAreAnsweredInADrain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			time.Sleep(workTime)
			echo(w, r, call)
		})
		f.settle()
		conn := f.dialFromOutside(n, OutboundListener)
		defer conn.Close()
		f.sendOn(conn, "/browse/a", "r0")
		f.sendOn(conn, "/file/b", "r1")
		drained := f.drainInBackground(n)
		time.Sleep(workTime / 2)
		f.sendOn(conn, "/browse/c", "r2")
		f.sendOn(conn, "/file/d", "r3")
		answers := bufio.NewReader(conn)
		for i := range 4 {
			resp := f.expectComplete(answers)
			f.c.Check(resp.Header.Get("X-Echo"), qt.Equals, "r"+string(rune('0'+i)))
			f.c.Check(resp.Close, qt.Equals, i == 3)
		}
		<-drained
		f.c.Check(n.inflight.Counts().Cut, qt.Equals, int64(0))
	})
}

// Guards against a drain whose time is over and that closes the connections of requests
// which wait for a slot or for their upstream.
func TestDrainAnswersWhatItCanNotComplete(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 1, func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			<-r.Context().Done()
		}, func(s *Settings) { s.DrainTimeout = 3 * time.Second })
		f.settle()
		drained := f.drainInBackground(n)
		time.Sleep(1200 * time.Millisecond)
		running := f.dialFromOutside(n, OutboundListener)
		defer running.Close()
		f.sendOn(running, "/file/a", "r0")
		time.Sleep(200 * time.Millisecond)
		uploading := f.dialFromOutside(n, OutboundListener)
		defer uploading.Close()
		_, err := io.WriteString(uploading, "POST /file/b HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\n01234")
		f.c.Assert(err, qt.IsNil)
		ran := f.expectComplete(bufio.NewReader(running))
		f.c.Check(ran.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("it has run, so it must not be called not-run"))
		f.c.Check(f.expectComplete(bufio.NewReader(uploading)).StatusCode, qt.Equals, http.StatusServiceUnavailable)
		<-drained
		f.c.Check(n.inflight.Counts().Cut, qt.Equals, int64(0))
	})
}

// Guards against an exit that cuts the end of a response which its handler has handed over
// and its caller has not read yet.
func TestResponsesAreWrittenBeforeTheExit(t *testing.T) {
	// The first response nearly fills the buffer of a connection. net/http writes the
	// second one, which has no body, when its handler has returned.
	lengths := map[string]int{"r0": 63 << 10, "r1": 0}
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 1, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			id := r.Header.Get("X-Id")
			w.Header().Set("X-Echo", id)
			if id == "r1" {
				w.Header().Set("X-Long", strings.Repeat("x", 2<<10))
			}
			w.Header().Set("Content-Length", strconv.Itoa(lengths[id]))
			_, _ = io.WriteString(w, strings.Repeat("x", lengths[id]))
		})
		f.settle()
		conn := f.dialFromOutside(n, OutboundListener)
		defer conn.Close()
		f.sendOn(conn, "/browse/a", "r0")
		time.Sleep(100 * time.Millisecond)
		f.sendOn(conn, "/browse/b", "r1")
		time.Sleep(100 * time.Millisecond)
		drained := f.drainInBackground(n)
		time.Sleep(3500 * time.Millisecond)
		answers := bufio.NewReader(conn)
		f.expectComplete(answers)
		f.expectComplete(answers)
		<-drained
	})
}

// Guards against calls of the upstream that are refused in a drain, so that a request
// which was accepted before fails.
func TestCallsOfAcceptedRequestsAreCarriedInADrain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		release := make(chan struct{})
		var n *Node
		n = f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			id := r.Header.Get("X-Id")
			if id == "r0" {
				<-release
				w.Header().Set("X-Called", f.askRouted(n, "/browse/below", id+"/1").header.Get("X-Echo"))
			}
			echo(w, r, call)
		})
		f.settle()
		conn := f.dialFromOutside(n, OutboundListener)
		defer conn.Close()
		drained := f.drainInBackground(n)
		time.Sleep(900 * time.Millisecond) // the upstream accepts new runs until then
		f.sendOn(conn, "/browse/a", "r0")
		time.Sleep(50 * time.Millisecond)
		f.addRouted("b", "desk", 10, echo) // for the call; r0 is at its only upstream
		time.Sleep(1750 * time.Millisecond)
		close(release)
		resp := f.expectComplete(bufio.NewReader(conn))
		f.c.Check(resp.Header.Get("X-Called"), qt.Equals, "r0/1")
		<-drained
	})
}

// lateConn is a connection whose deadline and whose next bytes come at the same time: a
// Read past its deadline reports the deadline, as a socket does, though bytes are there.
type lateConn struct {
	net.Conn
	deadline time.Time
	waiting  string
}

func (l *lateConn) SetReadDeadline(t time.Time) error {
	l.deadline = t
	return nil
}

func (l *lateConn) Read(p []byte) (int, error) {
	if !l.deadline.IsZero() && !time.Now().Before(l.deadline) || l.waiting == "" {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, l.waiting)
	l.waiting = l.waiting[n:]
	return n, nil
}

// Guards against a process without processor time that closes a connection as idle though
// a request has arrived on it.
func TestConnectionIsReadBeforeItClosesAsIdle(t *testing.T) {
	c := qt.New(t)
	conn := pipelining.New(&resetConn{Conn: &lateConn{waiting: "GET "}}, pipelining.Handlers{})
	conn.ExpireIdle()
	p := make([]byte, 10)
	count, err := conn.Read(p)
	c.Assert(err, qt.IsNil)
	c.Check(string(p[:count]), qt.Equals, "GET ")
	_, err = conn.Read(p)
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// Guards against a close with unread bytes, by which the kernel discards the end of a
// response that the caller has not received.
func TestCloseDeliversTheResponseBeforeIt(t *testing.T) {
	const length = 1 << 20
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	written := make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", strconv.Itoa(length))
			_, _ = io.WriteString(w, strings.Repeat("x", length))
			close(written)
		}),
		// The response fits into the kernel's buffers, so that the server closes the
		// connection before the caller has read it.
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			_ = conn.(*resetConn).raw.(*net.TCPConn).SetWriteBuffer(4 * length)
			return ctx
		},
	}
	go func() { _ = server.Serve(limitListener(listener, 10, new(atomic.Int64))) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = io.WriteString(conn, request+strings.Repeat(request, 400))
	c.Assert(err, qt.IsNil)
	<-written
	time.Sleep(100 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Check(err, qt.IsNil)
	c.Check(len(body), qt.Equals, length)
}

// Guards against a listener that closes and resets connections which wait to be accepted.
func TestListenerAcceptsItsQueueBeforeItCloses(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer inner.Close()
	listener := limitListener(inner, 1, new(atomic.Int64))
	var dialed, accepted []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		dialed = append(dialed, conn)
	}
	first, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	listener.raw.CloseWhenEmpty()
	// The limit is reached until the first connection closes.
	c.Assert(dialed[0].Close(), qt.IsNil)
	c.Assert(first.Close(), qt.IsNil)
	for {
		conn, err := listener.Accept()
		if err != nil {
			c.Check(err, qt.ErrorIs, net.ErrClosed)
			break
		}
		accepted = append(accepted, conn)
		_, _ = io.WriteString(conn, "x")
		_ = conn.Close()
	}
	c.Check(accepted, qt.HasLen, 1)
	_, err = io.ReadFull(dialed[1], make([]byte, 1))
	c.Check(err, qt.IsNil)
}

// Guards against a node without a dialect that closes the connections of requests which its
// drain could not complete.
func TestDrainAtTheEdgeAnswersWhatItCanNotComplete(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.add("a", "desk", 1, func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			<-r.Context().Done()
		}, func(s *Settings) { s.DrainTimeout = time.Second })
		f.settle()
		answered := make(chan reply)
		go func() { answered <- f.ask(n, http.MethodGet, "/x", "X-Operation", "one") }()
		time.Sleep(100 * time.Millisecond)
		drained := f.drainInBackground(n)
		got := <-answered
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.outcome, qt.Equals, "unknown")
		f.c.Check(got.reason, qt.Equals, string(call.ReasonDraining))
		<-drained
	})
}

// Guards against a listener that never closes because callers open connections without a
// pause.
func TestListenerClosesUnderNewConnections(t *testing.T) {
	const callers, enough = 4, 20000
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer inner.Close()
	listener := limitListener(inner, enough, new(atomic.Int64))
	var running sync.WaitGroup
	running.Go(func() {
		for !listener.raw.ended.Load() {
			if conn, err := listener.Accept(); err == nil {
				_ = conn.Close()
			}
		}
	})
	var dialed atomic.Int64
	for range callers {
		running.Go(func() {
			for !listener.raw.ended.Load() && dialed.Add(1) < enough {
				if conn, err := net.Dial("tcp", inner.Addr().String()); err == nil {
					_ = conn.Close()
				}
			}
		})
	}
	for dialed.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	listener.raw.CloseWhenEmpty()
	running.Wait()
	c.Check(dialed.Load() < enough, qt.IsTrue, qt.Commentf("still open after %d connections", dialed.Load()))
}
