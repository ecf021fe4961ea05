package node

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a part of a response that counts as all of it: the upstream answers an upload
// at once without a length, sends a part and resets the connection while the upload is being
// written. The write may get the error of the reset, and the next read then finds the end of the
// stream, which is the end of such a response.
func TestResetDuringAnUploadBreaksTheAnswerOff(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAndReset(conn.(*net.TCPConn))
		}
	}()
	transport := newTransport(newTCPNetwork(), 10)
	defer transport.CloseIdleConnections()
	for i := range 300 {
		body := io.MultiReader(strings.NewReader(strings.Repeat("u", 1<<20)))
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/", body)
		c.Assert(err, qt.IsNil)
		resp, _, err := roundTrip(t.Context(), transport, req)
		if err != nil {
			continue
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.Assert(err, qt.IsNotNil, qt.Commentf("upload %d: %d bytes count as the whole response", i, len(got)))
	}
}

// answerAndReset answers a request without reading its body, and resets the connection.
func answerAndReset(conn *net.TCPConn) {
	p := make([]byte, 4<<10)
	if _, err := conn.Read(p); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Part: 1\r\n\r\n"+strings.Repeat("a", 1000))
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against a response without a length that is refused though its upstream has read the whole
// request, or reads on after it has ended the response.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	const length = 4 << 20
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhello")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.CopyN(io.Discard, buffered, r.ContentLength)
		_ = conn.Close()
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	transport := newTransport(newTCPNetwork(), 10)
	defer transport.CloseIdleConnections()
	for i := range 20 {
		for _, size := range []int{0, 1, length} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/"+strconv.Itoa(i), strings.NewReader(strings.Repeat("u", size)))
			c.Assert(err, qt.IsNil)
			resp, _, err := roundTrip(t.Context(), transport, req)
			c.Assert(err, qt.IsNil)
			got, err := io.ReadAll(resp.Body)
			c.Check(err, qt.IsNil, qt.Commentf("%d bytes", size))
			c.Check(string(got), qt.Equals, "hello")
			_ = resp.Body.Close()
		}
	}
}
