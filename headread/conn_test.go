package headread

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/netutil"
)

const (
	limitBytes  = 16 << 10
	headTimeout = 3 * time.Second
)

// refusals collects the reasons of refusals.
type refusals struct {
	mu      sync.Mutex
	reasons []string
}

func (r *refusals) add(refusal Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons = append(r.reasons, refusal.Reason())
}

func newConfig(budget int64) (Config, *refusals) {
	seen := &refusals{}
	return Config{
		Limits:  func() Limits { return Limits{Bytes: limitBytes, Timeout: headTimeout} },
		Budget:  NewBudget(budget),
		Refused: seen.add,
	}, seen
}

// pipeListener accepts the connections of dial.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func newPipeListener() *pipeListener { return &pipeListener{conns: make(chan net.Conn, 100)} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.conns) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs a net/http server over a Listener, within a synctest bubble.
func serve(t *testing.T, cfg Config, limit int, handler http.HandlerFunc) *pipeListener {
	pipes := newPipeListener()
	server := &http.Server{Handler: handler, ConnState: ConnState, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(NewListener(netutil.LimitListener(pipes, limit), limit, cfg)) }()
	t.Cleanup(func() { _ = server.Close() })
	return pipes
}

func echoPath(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
}

// exchange sends text, and returns the responses up to the end of the connection or to the number
// wanted.
func exchange(conn net.Conn, text string, want int) []string {
	go func() { _, _ = io.WriteString(conn, text) }()
	reader := bufio.NewReader(conn)
	var got []string
	for len(got) < want {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return append(got, err.Error())
		}
		body, _ := io.ReadAll(resp.Body)
		got = append(got, fmt.Sprintf("%d %s", resp.StatusCode, body))
	}
	return got
}

func largeHead(path string, fields int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: x\r\n", path)
	for i := range fields {
		fmt.Fprintf(&text, "f%x:1\r\n", i)
	}
	return text.String() + "\r\n"
}

// Guards against requests that are lost, changed or answered out of order on their way through a
// Conn.
func TestRequestsOfAllFramingsAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg, seen := newConfig(1 << 20)
		l := serve(t, cfg, 10, echoPath)
		conn := l.dial()
		defer conn.Close()
		text := "GET /a HTTP/1.1\r\nHost: x\r\n\r\n" +
			"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n12345" +
			"POST /c HTTP/1.1\nHost: x\ntransfer-encoding: chunked\n\n3;ext=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n" +
			"POST /d HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			"\r\n" + largeHead("/e", 1500) +
			"GET /f HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
		c.Check(exchange(conn, text, 7), qt.DeepEquals, []string{"200 GET /a 0", "200 POST /b 5", "200 POST /c 13", "200 POST /d 0", "200 GET /e 0", "200 GET /f 0", "unexpected EOF"})
		c.Check(seen.reasons, qt.HasLen, 0)
	})
}

// Guards against heads without end, of any form, that are read to their end.
func TestHeadsOutsideTheLimitsAreRefused(t *testing.T) {
	begin := "GET / HTTP/1.1\r\nHost: x\r\n"
	for _, refused := range []struct{ name, text, status, reason string }{
		{"fields", begin + strings.Repeat("a:\r\n", limitBytes), "431", "too-large"},
		{"field line", begin + strings.Repeat("a", 2*limitBytes), "431", "too-large"},
		{"request line", strings.Repeat("a", 2*limitBytes), "431", "too-large"},
		{"complete", largeHead("/", limitBytes/4), "431", "too-large"},
		{"empty lines", strings.Repeat("\r\n", 100), "400", "malformed"},
		{"folded length", begin + "Content-Length:\r\n 5\r\n\r\n12345", "400", "malformed"},
		{"late", begin, "408", "slow"},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			cfg, seen := newConfig(1 << 20)
			l := serve(t, cfg, 10, echoPath)
			conn := l.dial()
			defer conn.Close()
			got := exchange(conn, refused.text, 2)
			c.Assert(got, qt.HasLen, 2, qt.Commentf("%s: %v", refused.name, got))
			c.Check(strings.HasPrefix(got[0], refused.status), qt.IsTrue, qt.Commentf("%s: %v", refused.name, got))
			c.Check(seen.reasons, qt.DeepEquals, []string{refused.reason}, qt.Commentf(refused.name))
		})
	}
}

// Guards against a refusal that is sent in place of the response to an earlier request of the
// connection, or that cancels this request.
func TestRefusalFollowsTheResponsesBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg, _ := newConfig(1 << 20)
		l := serve(t, cfg, 10, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Minute):
			}
			_, _ = fmt.Fprint(w, r.Context().Err())
		})
		conn := l.dial()
		defer conn.Close()
		text := "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n" + strings.Repeat("a:\r\n", limitBytes)
		got := exchange(conn, text, 2)
		c.Assert(got, qt.HasLen, 2)
		c.Check(got[0], qt.Equals, "200 <nil>")
		c.Check(strings.HasPrefix(got[1], "400"), qt.IsTrue, qt.Commentf("%v", got))
	})
}

// Guards against the memory of many large heads at once, against an ordinary request that waits
// behind them, and against one that is refused while no other is served.
func TestLargeHeadsShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg, seen := newConfig(16 * smallHead)
		var mu sync.Mutex
		large, most := 0, 0
		l := serve(t, cfg, 100, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/large" {
				return
			}
			mu.Lock()
			large++
			most = max(most, large)
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			large--
			mu.Unlock()
		})
		var clients sync.WaitGroup
		for range 10 {
			clients.Go(func() {
				conn := l.dial()
				defer conn.Close()
				c.Check(exchange(conn, largeHead("/large", 1500), 1), qt.DeepEquals, []string{"200 "})
			})
		}
		time.Sleep(time.Millisecond)
		begun := time.Now()
		conn := l.dial()
		defer conn.Close()
		c.Check(exchange(conn, largeHead("/small", 10), 1), qt.DeepEquals, []string{"200 "})
		c.Check(time.Since(begun), qt.Equals, time.Duration(0))
		clients.Wait()
		c.Check(most, qt.Equals, 1)
		c.Check(seen.reasons, qt.HasLen, 0)
		synctest.Wait()
		c.Check(cfg.Budget.parsed.TryAcquire(cfg.Budget.size), qt.IsTrue)
	})
}

// Guards against a response that is held back while the next request of its connection waits for
// room, and against room that is not returned when a connection closes.
func TestWaitForRoomDoesNotDelayResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg, seen := newConfig(2 * smallHead)
		l := serve(t, cfg, 100, echoPath)
		c.Assert(cfg.Budget.parsed.TryAcquire(cfg.Budget.size), qt.IsTrue)
		conn := l.dial()
		begun := time.Now()
		got := exchange(conn, largeHead("/a", 10)+largeHead("/b", 1500), 1)
		c.Check(got, qt.DeepEquals, []string{"200 GET /a 0"})
		c.Check(time.Since(begun), qt.Equals, time.Duration(0))
		c.Check(exchange(conn, "", 1), qt.DeepEquals, []string{"503 503 Service Unavailable"})
		c.Check(seen.reasons, qt.DeepEquals, []string{"no-memory"})
		conn.Close()
		cfg.Budget.release(cfg.Budget.size)
		synctest.Wait()
		c.Check(cfg.Budget.parsed.TryAcquire(cfg.Budget.size), qt.IsTrue)
		c.Check(cfg.Budget.held.TryAcquire(cfg.Budget.size/heldDivisor), qt.IsTrue)
	})
}

// Guards against ordinary clients that are shut out by clients that only hold connections.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg, _ := newConfig(1 << 20)
		const limit = 10
		l := serve(t, cfg, limit, echoPath)
		kept := l.dial()
		defer kept.Close()
		c.Check(exchange(kept, largeHead("/kept", 1), 1), qt.DeepEquals, []string{"200 GET /kept 0"})
		for range 3 * limit {
			conn := l.dial()
			defer conn.Close()
			time.Sleep(leastWaits[0].least)
		}
		conn := l.dial()
		defer conn.Close()
		c.Check(exchange(conn, largeHead("/new", 1), 1), qt.DeepEquals, []string{"200 GET /new 0"})
		c.Check(exchange(kept, largeHead("/kept", 1), 1), qt.DeepEquals, []string{"200 GET /kept 0"})
	})
}

// Guards against a connection that is closed with its request in progress, and against one that
// waits for ever once the requests of the others have ended.
func TestConnectionsWithRequestsDoNotMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg, _ := newConfig(1 << 20)
		const limit, work = 3, 10 * time.Second
		l := serve(t, cfg, limit, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				time.Sleep(work)
			}
		})
		begun := time.Now()
		var clients sync.WaitGroup
		for range limit {
			clients.Go(func() {
				conn := l.dial()
				defer conn.Close()
				c.Check(exchange(conn, largeHead("/long", 1), 1), qt.DeepEquals, []string{"200 "})
				time.Sleep(time.Minute)
			})
		}
		time.Sleep(time.Second)
		conn := l.dial()
		defer conn.Close()
		c.Check(exchange(conn, largeHead("/short", 1), 1), qt.DeepEquals, []string{"200 "})
		took := time.Since(begun)
		c.Check(took >= work && took <= work+11*time.Second, qt.IsTrue, qt.Commentf("%s", took))
		clients.Wait()
	})
}

// Guards against ordinary clients that are shut out by requests whose bodies never come, and against
// the close of one whose body the handler does not read.
func TestStalledBodiesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg, _ := newConfig(1 << 20)
		const limit = 3
		l := serve(t, cfg, limit, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/unread" {
				time.Sleep(time.Minute)
			}
			_, _ = io.Copy(io.Discard, r.Body)
		})
		body := func(path string) string {
			return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n" + strings.Repeat("b", 5000)
		}
		unread := l.dial()
		defer unread.Close()
		_, err := io.WriteString(unread, body("/unread")[:4000])
		c.Assert(err, qt.IsNil)
		for range limit - 1 {
			conn := l.dial()
			defer conn.Close()
			_, err := io.WriteString(conn, body("/read"))
			c.Assert(err, qt.IsNil)
		}
		begun := time.Now()
		for range limit - 1 {
			conn := l.dial()
			defer conn.Close()
			c.Check(exchange(conn, largeHead("/short", 1), 1), qt.DeepEquals, []string{"200 "})
		}
		c.Check(time.Since(begun) < 10*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begun)))
		got := exchange(unread, strings.Repeat("b", 10000), 1)
		c.Check(got, qt.DeepEquals, []string{"200 "})
	})
}

// Guards against bytes of another protocol that are lost or examined after an upgrade.
func TestDetachedConnReturnsWhatItHolds(t *testing.T) {
	c := qt.New(t)
	cfg, _ := newConfig(1 << 20)
	client, server := net.Pipe()
	defer client.Close()
	conn := New(server, &cfg)
	go func() { _, _ = io.WriteString(client, largeHead("/", 1)+"rest") }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	c.Assert(err, qt.IsNil)
	c.Check(r.URL.Path, qt.Equals, "/")
	raw, held := conn.Detach()
	c.Check(raw, qt.Equals, server)
	c.Check(string(held), qt.Equals, "rest")
}

// scripted is a connection that delivers its pieces one by one.
type scripted struct {
	net.Conn
	pieces [][]byte
}

func (s *scripted) Read(p []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.pieces[0])
	if s.pieces[0] = s.pieces[0][n:]; len(s.pieces[0]) == 0 {
		s.pieces = s.pieces[1:]
	}
	return n, nil
}

func (*scripted) Write(p []byte) (int, error)      { return len(p), nil }
func (*scripted) Close() error                     { return nil }
func (*scripted) SetReadDeadline(time.Time) error  { return nil }
func (*scripted) SetWriteDeadline(time.Time) error { return nil }

// readAll returns what net/http reads of a stream: the requests, up to the first that it refuses.
func readAll(r io.Reader) []string {
	reader := bufio.NewReader(r)
	var got []string
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return got
		}
		body, err := io.ReadAll(req.Body)
		got = append(got, fmt.Sprintf("%s %s %v %q", req.Method, req.RequestURI, req.Header, body))
		if err != nil {
			return got
		}
	}
}

// What net/http reads through a Conn must equal what it reads without one, however the stream is
// divided, unless the Conn refuses a head.
func FuzzConn(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n12345GET /c HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(7))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;a\r\n12345\r\n0\r\nA: b\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(1))
	f.Add([]byte("POST /b HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n12GET /c HTTP/1.1\nHost: x\n\n"), uint8(3))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		cfg, seen := newConfig(1 << 20)
		var pieces [][]byte
		for rest := stream; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		got := readAll(New(&scripted{pieces: pieces}, &cfg))
		want := readAll(bytes.NewReader(stream))
		if len(seen.reasons) > 0 {
			// What follows is malformedRequest.
			length := max(min(len(got)-1, len(want)), 0)
			got, want = got[:min(length, len(got))], want[:length]
		}
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}
