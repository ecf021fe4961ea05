package peerlink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// link is a client and a server that are connected by pipes, or by TCP.
type link struct {
	c      *qt.C
	client *Client
	server *Server
	// dialed is the last connection of the client.
	dialed net.Conn
	ended  atomic.Int64
}

// serveUpgrades answers the upgrade on each connection and serves it.
func (l *link) serveUpgrades(conn net.Conn) {
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil || !Offered(req) {
		_ = conn.Close()
		return
	}
	l.server.Serve(conn, rawConnOf(conn), nil)
}

func newLink(c *qt.C, handler func(*Exchange)) *link {
	l := &link{c: c}
	ended := func(string, error, int) { l.ended.Add(1) }
	l.server = NewServer(ServerConfig{Handler: handler, MaxHead: 40 << 10, Ended: ended})
	l.client = NewClient(ClientConfig{Ended: ended, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		l.dialed = near
		go l.serveUpgrades(far)
		return near, nil
	}})
	return l
}

func (l *link) close() {
	l.client.Close()
	l.server.Close()
}

// overTCP makes the link dial a listener of the kernel.
func (l *link) overTCP() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.c.Assert(err, qt.IsNil)
	l.c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serveUpgrades(conn)
		}
	}()
	l.client.cfg.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
	}
}

func request() *Request {
	return &Request{
		Context: call.Context{RequestID: "id", Profile: "p"},
		Method:  "POST",
		Target:  "/a?b",
		Service: "deep",
		Header:  http.Header{"X-A": {"1", "2"}},
	}
}

func (l *link) do(body string) (*Response, string, error) {
	resp, b, err := l.client.Do(context.Background(), "peer", request(), []byte(body), nil, int64(len(body)))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = b.Close() }()
	text, err := io.ReadAll(b)
	return resp, string(text), err
}

// echo answers with the body of the request.
func echo(ex *Exchange) {
	body, err := io.ReadAll(ex)
	if err != nil {
		return
	}
	_ = ex.Respond(&Response{Report: call.Report{Outcome: call.Complete}, Status: 200, Header: ex.Request.Header, Trailer: ex.Request.Trailer}, body, len(ex.Request.Trailer) == 0)
	if len(ex.Request.Trailer) > 0 {
		_ = ex.End(ex.Request.Trailer)
	}
}

// Guards against bodies that are lost, cut or mixed up at the limits of frames and windows.
func TestBodiesArriveWhole(t *testing.T) {
	for _, network := range []string{"pipe", "tcp"} {
		t.Run(network, func(t *testing.T) {
			c := qt.New(t)
			l := newLink(c, echo)
			defer l.close()
			if network == "tcp" {
				l.overTCP()
			}
			for _, size := range []int{0, 1, maxInline - 1, maxInline, maxInline + 1, streamWindow, streamWindow + maxInline + 1, 1 << 20} {
				body := strings.Repeat("abcdefg", size/7+1)[:size]
				resp, got, err := l.do(body)
				c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", size))
				c.Check(got == body, qt.IsTrue, qt.Commentf("%d bytes", size))
				c.Check(resp.Header, qt.DeepEquals, http.Header{"X-A": {"1", "2"}})
			}
			c.Check(l.client.Stats().Streams.Load(), qt.Equals, int64(0))
		})
	}
}

// Guards against a body of unknown length, or its trailers, that are not carried.
func TestStreamedBodyAndTrailersArrive(t *testing.T) {
	c := qt.New(t)
	l := newLink(c, echo)
	defer l.close()
	r := request()
	r.Trailer = http.Header{"X-Sum": nil}
	body := strings.Repeat("x", 300_000)
	source := io.MultiReader(strings.NewReader(body), readerFunc(func([]byte) (int, error) {
		r.Trailer["X-Sum"] = []string{"7"}
		return 0, io.EOF
	}))
	resp, got, err := l.client.Do(t.Context(), "peer", r, nil, source, -1)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Trailer, qt.DeepEquals, http.Header{"X-Sum": nil})
	text, err := io.ReadAll(got)
	c.Assert(err, qt.IsNil)
	c.Check(string(text) == body, qt.IsTrue)
	c.Check(resp.Trailer.Get("X-Sum"), qt.Equals, "7")
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against calls that block each other on a shared connection.
func TestCallsOnOneConnectionAreConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLink(c, func(ex *Exchange) {
			time.Sleep(time.Second)
			echo(ex)
		})
		defer l.close()
		start, before := time.Now(), runtime.NumGoroutine()
		results := make(chan error, 100)
		for range 100 {
			go func() {
				_, _, err := l.do("a")
				results <- err
			}()
		}
		time.Sleep(500 * time.Millisecond)
		// 100 callers, 100 handlers, and for each connection two readers and those of the test.
		c.Check(runtime.NumGoroutine() <= before+200+4*maxConns, qt.IsTrue, qt.Commentf("%d goroutines", runtime.NumGoroutine()))
		for range 100 {
			c.Check(<-results, qt.IsNil)
		}
		c.Check(time.Since(start), qt.Equals, time.Second)
		c.Check(l.client.Stats().Opened.Load() <= maxConns, qt.IsTrue)
	})
}

// Guards against a caller that stops waiting while the other node goes on working.
func TestCancelReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var cancelled time.Time
		l := newLink(c, func(ex *Exchange) {
			ctx, cancel := context.WithTimeout(ex, time.Hour)
			defer cancel()
			<-ctx.Done()
			cancelled = time.Now()
		})
		defer l.close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, _, err := l.client.Do(ctx, "peer", request(), nil, nil, 0)
		c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
		c.Check(errors.As(err, new(*UnsentError)), qt.IsFalse)
		synctest.Wait()
		c.Check(cancelled.Sub(start), qt.Equals, time.Second)
		c.Check(l.server.Stats().Streams.Load(), qt.Equals, int64(0))
	})
}

// Guards against a response that ends early and is taken for a complete one.
func TestBrokenResponseIsNotComplete(t *testing.T) {
	for _, cut := range []string{"handler", "connection"} {
		t.Run(cut, func(t *testing.T) {
			c := qt.New(t)
			var l *link
			l = newLink(c, func(ex *Exchange) {
				_ = ex.Respond(&Response{Status: 200}, []byte("half"), false)
				if cut == "connection" {
					l.server.Close()
				}
			})
			defer l.close()
			_, got, err := l.do("")
			c.Check(err, qt.IsNotNil)
			c.Check(strings.HasPrefix("half", got), qt.IsTrue)
		})
	}
}

// Guards against calls that a leaving peer drops, or runs although it has refused them.
func TestGoAwayLosesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var ran atomic.Int64
		l := newLink(c, func(ex *Exchange) {
			ran.Add(1)
			time.Sleep(time.Second)
			echo(ex)
		})
		defer l.close()
		results := make(chan error, 60)
		for i := range 60 {
			go func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				_, _, err := l.do("a")
				results <- err
			}()
		}
		time.Sleep(305 * time.Millisecond)
		c.Check(l.server.Shutdown(t.Context()), qt.IsNil)
		answered := int64(0)
		for range 60 {
			err := <-results
			if err == nil {
				answered++
				continue
			}
			c.Check(err, qt.ErrorAs, new(*UnsentError))
		}
		c.Check(answered, qt.Equals, ran.Load())
		c.Check(answered, qt.Equals, int64(31))
	})
}

// Guards against a peer that stops reading and holds its callers beyond their deadlines.
func TestPeerThatStopsReadingHoldsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLink(c, echo)
		defer l.close()
		l.client.cfg.Dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, accepted)
			}()
			return near, nil
		}
		for i := range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			start := time.Now()
			_, _, err := l.client.Do(ctx, "peer", request(), make([]byte, maxInline), nil, maxInline)
			c.Check(time.Since(start), qt.Equals, 100*time.Millisecond)
			c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
			// The first was handed to a write; the others were not.
			c.Check(errors.As(err, new(*UnsentError)), qt.Equals, i > 0)
			cancel()
		}
		time.Sleep(2 * stallTimeout)
		c.Check(l.client.Stats().Conns.Load(), qt.Equals, int64(0))
	})
}

// Guards against a connection that dies without a packet and keeps its calls for ever.
func TestSilentPeerEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLink(c, func(ex *Exchange) { <-ex.Done() })
		defer l.close()
		l.client.cfg.Dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, accepted)
				_, _ = io.Copy(io.Discard, far)
			}()
			return near, nil
		}
		start := time.Now()
		_, _, err := l.do("")
		c.Check(err, qt.ErrorAs, new(*SilentError))
		c.Check(time.Since(start) <= silenceTimeout+checkInterval, qt.IsTrue)
	})
}

// Guards against a call that takes long on a connection that was idle before, and is taken
// for silence.
func TestLongCallIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLink(c, func(ex *Exchange) {
			time.Sleep(30 * time.Second)
			echo(ex)
		})
		defer l.close()
		for range 2 {
			_, _, err := l.do("a")
			c.Check(err, qt.IsNil)
			time.Sleep(20 * time.Second)
		}
		c.Check(l.client.Stats().Opened.Load(), qt.Equals, int64(1))
		time.Sleep(2 * idleTimeout)
		c.Check(l.client.Stats().Conns.Load(), qt.Equals, int64(0))
	})
}

// Guards against an older peer that is asked for the upgrade by each call, or never again.
func TestPeerWithoutTheProtocolIsAskedEvery30Seconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLink(c, echo)
		defer l.close()
		asked := 0
		l.client.cfg.Dial = func(context.Context, string) (net.Conn, error) {
			asked++
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			}()
			return near, nil
		}
		for range 35 {
			_, _, err := l.do("")
			c.Check(err, qt.ErrorAs, new(*NotOfferedError))
			time.Sleep(time.Second)
		}
		c.Check(asked, qt.Equals, 2)
	})
}

// Guards against a peer whose malformed frame ends more than its own connection.
func TestMalformedFrameEndsOneConnection(t *testing.T) {
	c := qt.New(t)
	l := newLink(c, echo)
	defer l.close()
	_, _, err := l.do("a")
	c.Assert(err, qt.IsNil)
	first := l.dialed
	near, far := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		l.server.Serve(far, nil, nil)
	}()
	_, err = io.ReadFull(near, make([]byte, len(accepted)))
	c.Assert(err, qt.IsNil)
	_, err = near.Write([]byte{0, 0, 0, 0, 99, 0, 0, 0, 0, 1})
	c.Assert(err, qt.IsNil)
	<-served
	c.Check(l.server.Stats().Malformed.Load(), qt.Equals, int64(1))
	_, _, err = l.do("a")
	c.Check(err, qt.IsNil)
	c.Check(l.dialed == first, qt.IsTrue)
}

// Guards against a request whose head is longer than the peer allows and ends the calls
// beside it.
func TestTooLongHeadIsRefused(t *testing.T) {
	c := qt.New(t)
	l := newLink(c, echo)
	defer l.close()
	r := request()
	r.Header.Set("X-Long", strings.Repeat("x", 100<<10))
	_, _, err := l.client.Do(t.Context(), "peer", r, nil, nil, 0)
	c.Check(err, qt.ErrorAs, new(*UnsentError))
	c.Check(err, qt.ErrorAs, new(*RefusedError))
	_, _, err = l.do("a")
	c.Check(err, qt.IsNil)
	c.Check(l.ended.Load(), qt.Equals, int64(0))
}

// Guards against a handler that gives up without an answer and leaves its caller waiting.
func TestHandlerWithoutResponseIsAnError(t *testing.T) {
	c := qt.New(t)
	l := newLink(c, func(*Exchange) {})
	defer l.close()
	_, _, err := l.do("a")
	c.Check(err, qt.ErrorAs, new(*AbortedError))
}

// Guards against a call that costs a goroutine, a timer or a growing number of allocations.
func TestAllocationsOfACallAreBounded(t *testing.T) {
	c := qt.New(t)
	l := newLink(c, func(ex *Exchange) {
		body, _ := ex.Whole()
		_ = ex.Respond(&Response{Report: call.Report{Outcome: call.Complete, Hop: "deep"}, Status: 200, Header: ex.Request.Header}, body, true)
	})
	defer l.close()
	l.overTCP()
	body := make([]byte, 200)
	r := request()
	allocs := testing.AllocsPerRun(200, func() {
		_, b, err := l.client.Do(context.Background(), "peer", r, body, nil, 200)
		if err != nil {
			t.Fatal(err)
		}
		_ = b.Close()
	})
	t.Logf("%v allocations", allocs)
	c.Check(allocs <= 24, qt.IsTrue, qt.Commentf("%v allocations", allocs))
}

// Guards against a shutdown that waits for a peer which is lost, or fails because of it.
func TestShutdownDoesNotWaitForALostPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLink(c, echo)
		defer l.close()
		near, far := net.Pipe()
		go l.server.Serve(far, nil, nil)
		go func() { _, _ = io.Copy(io.Discard, near) }()
		time.Sleep(time.Second)
		start := time.Now()
		c.Check(l.server.Shutdown(t.Context()), qt.IsNil)
		c.Check(time.Since(start) <= closeGrace+shutdownPoll, qt.IsTrue)
		c.Check(l.server.Stats().Conns.Load(), qt.Equals, int64(0))
	})
}

// Guards against connections of lost machines that stay open for ever at the serving side.
func TestServerClosesConnectionsOfLostPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLink(c, echo)
		defer l.close()
		near, far := net.Pipe()
		go l.server.Serve(far, nil, nil)
		go func() { _, _ = io.Copy(io.Discard, near) }()
		time.Sleep(serverIdleTimeout - time.Second)
		c.Check(l.server.Stats().Conns.Load(), qt.Equals, int64(1))
		time.Sleep(serverIdleTimeout)
		c.Check(l.server.Stats().Conns.Load(), qt.Equals, int64(0))
	})
}

// Guards against a body that is kept in the connection's read buffer, which the next frames
// overwrite: callers would get, and upstreams would run, requests with other bytes.
func TestBodyIsKeptOutsideOfTheReadBuffer(t *testing.T) {
	for _, length := range []int{0, 1} {
		buffer := []byte("0123456789abcdef")
		var body inbound
		body.first(buffer[:length], false)
		qt.Assert(t, body.add([]byte("request"), true), qt.IsTrue)
		copy(buffer, "xxxxxxxxxxxxxxxx")
		got := make([]byte, 16)
		n, _, err := body.take(got)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got[:n]), qt.Equals, "0"[:length]+"request")
	}
}
