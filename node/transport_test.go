package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An upstream learns only from the header whether a request has a body. Many refuse a
// GET that announces one; some refuse a POST without one for lacking a length; a body
// sent in a packet of its own costs the upstream another wake-up. The bytes sent must
// therefore not depend on how the node stores a body.
func TestBodyOnTheWire(t *testing.T) {
	for _, test := range []struct {
		method, body string
		want         string // end of the header, and the body
		not          []string
	}{
		{"GET", "", "\r\n\r\n", []string{"Content-Length", "Transfer-Encoding"}},
		{"HEAD", "", "\r\n\r\n", []string{"Content-Length", "Transfer-Encoding"}},
		{"DELETE", "", "\r\n\r\n", []string{"Content-Length", "Transfer-Encoding"}},
		{"POST", "", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []string{"Content-Length"}},
		{"GET", "query", "Content-Length: 5\r\n\r\nquery", []string{"Transfer-Encoding"}},
		{"POST", "filing", "Content-Length: 6\r\n\r\nfiling", []string{"Transfer-Encoding"}},
	} {
		c := qt.New(t)
		wire := &recordedNetwork{}
		transport := newTransport(wire, 1)
		req := &request{method: test.method, url: &url.URL{Path: "/x"}, header: http.Header{}, body: &replayBody{head: []byte(test.body)}}
		resp, _, err := roundTrip(t.Context(), transport, outgoing("upstream:80", req, 0))
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		transport.CloseIdleConnections()
		about := qt.Commentf("%s %q", test.method, test.body)
		c.Assert(wire.writes, qt.HasLen, 1, about)
		c.Check(strings.HasSuffix(wire.writes[0], test.want), qt.IsTrue, qt.Commentf("%v: %q", about, wire.writes[0]))
		for _, header := range test.not {
			c.Check(strings.Contains(wire.writes[0], header), qt.IsFalse, qt.Commentf("%v: %q", about, wire.writes[0]))
		}
	}
}

// recordedNetwork answers every request with 204 and records the writes.
type recordedNetwork struct {
	tcpNetwork
	mu     sync.Mutex
	writes []string
}

func (n *recordedNetwork) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		r := bufio.NewReader(server)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(server, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}()
	return &recordedConn{Conn: client, network: n}, nil
}

type recordedConn struct {
	net.Conn
	network *recordedNetwork
}

func (c *recordedConn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	c.network.writes = append(c.network.writes, string(p))
	c.network.mu.Unlock()
	return c.Conn.Write(p)
}
