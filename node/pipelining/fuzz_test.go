package pipelining

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/node/testing/memnet"
)

// recorder serves connections and records the requests that its handler and Begin
// received.
type recorder struct {
	mu     sync.Mutex
	served []string
	begun  []*ready
}

// ready is the answer to a request that was started early.
type ready struct{ description string }

func (*ready) Drop() {}

func describe(r *http.Request, body string) string {
	return fmt.Sprintf("%s %s %s %v %q", r.Method, r.RequestURI, r.Host, r.Header, body)
}

func (rec *recorder) begin(_ context.Context, r *http.Request) Answer {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	one := &ready{description: describe(r, "")}
	rec.begun = append(rec.begun, one)
	return one
}

func (rec *recorder) handler(conns bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		note := ""
		if conns {
			conn := r.Context().Value(connKey{}).(*Conn)
			conn.Serve(r)
			defer conn.Done()
			if early, ok := conn.Take().(*ready); ok {
				note = early.description
			}
		}
		time.Sleep(time.Millisecond) // let the rest of the stream arrive
		body, _ := io.ReadAll(r.Body)
		description := describe(r, string(body))
		rec.mu.Lock()
		rec.served = append(rec.served, description)
		if note != "" && note != description {
			rec.served = append(rec.served, "answered with the response to "+note)
		}
		rec.mu.Unlock()
		_, _ = io.WriteString(w, "ok")
	})
}

type connKey struct{}

// play sends the pieces of a stream to a server and returns the server's responses.
func play(t *testing.T, rec *recorder, ahead bool, pieces [][]byte) []byte {
	network := memnet.New()
	inner, err := network.Host("server").Listen("server:1")
	if err != nil {
		t.Fatal(err)
	}
	listener := net.Listener(inner)
	server := &http.Server{
		Handler:     rec.handler(ahead),
		ErrorLog:    log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	if ahead {
		listener = &aheadListener{Listener: inner, begin: rec.begin}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	conn, err := network.Host("client").Dial(t.Context(), "server:1")
	if err != nil {
		t.Fatal(err)
	}
	for _, piece := range pieces {
		if _, err := conn.Write(piece); err != nil {
			break
		}
		time.Sleep(100 * time.Microsecond)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	answers, _ := io.ReadAll(conn)
	_ = conn.Close()
	synctest.Wait()
	_ = server.Close()
	// After the server has refused a body, it keeps the connection open for half a
	// second.
	time.Sleep(time.Second)
	<-done
	return answers
}

type aheadListener struct {
	net.Listener
	begin Begin
}

func (l *aheadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(conn, Handlers{Begin: l.begin}), nil
}

// cut splits a stream into pieces; the length of each piece is one more than a byte
// of cuts, and the last piece is the rest.
func cut(stream, cuts []byte) [][]byte {
	var pieces [][]byte
	for _, length := range cuts {
		n := min(int(length)+1, len(stream))
		if n == 0 {
			break
		}
		pieces = append(pieces, stream[:n])
		stream = stream[n:]
	}
	return append(pieces, stream)
}

// checkSameReading compares a server that reads ahead with net/http alone: the same
// requests must be served in the same order, with the same responses, and the
// requests that were started early must be a subsequence of them.
func checkSameReading(t *testing.T, stream, cuts []byte) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pieces := cut(stream, cuts)
		var plain, ahead recorder
		want := play(t, &plain, false, pieces)
		got := play(t, &ahead, true, pieces)
		c.Assert(ahead.served, qt.DeepEquals, plain.served)
		c.Assert(withoutDates(got), qt.Equals, withoutDates(want))
		rest := plain.served
		for _, one := range ahead.begun {
			for len(rest) > 0 && rest[0] != one.description {
				rest = rest[1:]
			}
			c.Assert(len(rest) > 0, qt.IsTrue, qt.Commentf("started early and never served: %s", one.description))
			rest = rest[1:]
		}
	})
}

// withoutDates removes the Date fields from responses.
func withoutDates(answers []byte) string {
	lines := strings.Split(string(answers), "\r\n")
	kept := lines[:0]
	for _, line := range lines {
		if !strings.HasPrefix(line, "Date: ") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\r\n")
}

// streams contains requests of every form that callers may pipeline.
var streams = []string{
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\nxxxxxGET /b HTTP/1.1\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n23\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\nx\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhiGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\nHost: x\n\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 27\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.0\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n\n\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 27\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nA: b\r\n folded\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nOPTIONS * HTTP/1.1\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nGET /GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nnonsense\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
	"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\nHEAD /b HTTP/1.1\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
}

// Callers pipeline requests of all forms, split into packets anywhere. If the bytes
// were parsed differently than by net/http, part of a body would run as a request
// that nobody sent, or a caller would get the response to another request.
func TestReadAheadMatchesNetHTTP(t *testing.T) {
	for _, stream := range streams {
		for _, size := range []int{1, 2, 3, 7, 19, 64, 255} {
			checkSameReading(t, []byte(stream), bytes.Repeat([]byte{byte(size - 1)}, len(stream)/size))
		}
		for at := 0; at < len(stream); at += 5 {
			checkSameReading(t, []byte(stream), []byte{byte(min(at, 255))})
		}
	}
}

// FuzzReadingAhead makes the same comparison for generated streams.
func FuzzReadingAhead(f *testing.F) {
	for _, stream := range streams {
		f.Add([]byte(stream), []byte{10, 50, 3})
		f.Add([]byte(stream), []byte{})
	}
	f.Fuzz(func(t *testing.T, stream, cuts []byte) {
		if len(stream) > 2*maxPending || len(cuts) > 200 {
			return
		}
		checkSameReading(t, stream, cuts)
	})
}
