package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"pollengauge.dev/config"
)

const (
	idleConnTimeout = 60 * time.Second
	transportBuffer = 8 << 10
	// maxResponseHeader bounds the head of an answer, in bytes. Nothing tells what
	// upstreams may send, and one that is too long here ends each try of a request
	// as unknown: it is as long as the longest that operators can allow callers.
	maxResponseHeader = config.MaxHeaderBytes
)

// newTransport returns a transport that never replays a request on its own.
//
// The failure: http.Transport resends a request on a fresh connection when a
// reused one breaks, if the method is idempotent or an Idempotency-Key header
// is present and the body can be rewound. Such a resend is an attempt that no
// credit paid for, and for a filing a duplicate. A request without GetBody
// and with a Body that is neither nil nor http.NoBody is never resent; every
// request that goes through roundTrip below has such a body.
func newTransport(network Network, maxConns int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			conn, err := network.Dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return &sealConn{Conn: conn}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        idleConnTimeout,
		WriteBufferSize:        transportBuffer,
		ReadBufferSize:         transportBuffer,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// memoryBody returns a body that can't be rewound. An empty request uses one
// too: see newTransport. The transport knows this type to be in memory, and
// sends it in one packet with the header.
func memoryBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// identity says that a body is sent as it is. On a request whose method
// usually has no body it keeps the transport from starting a goroutine to
// find out whether an empty body is empty; nothing more is sent.
var identity = []string{"identity"}

// usuallyWithoutBody tells the methods whose empty body the transport probes.
// An empty body of any other method is announced, as chunks.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// sent tells how far a round trip got.
type sent struct {
	// got tells that a connection was had. One that can't be sealed proves
	// nothing: conn is nil then, and the fate of its request unknown.
	got   bool
	conn  *sealConn
	trace httptrace.ClientTrace
}

func newSent() *sent {
	s := &sent{}
	s.trace.GotConn = s.gotConn
	return s
}

func (s *sent) gotConn(info httptrace.GotConnInfo) {
	s.got = true
	conn, ok := unwrap(info.Conn)
	s.conn = conn
	if ok {
		conn.arm()
	}
}

func unwrap(conn net.Conn) (*sealConn, bool) {
	switch c := conn.(type) {
	case *sealConn:
		return c, true
	case interface{ NetConn() net.Conn }:
		return unwrap(c.NetConn())
	default:
		return nil, false
	}
}

// provedUnsent reports whether the request never left this process: no
// connection was had for it, or the one that was had is sealed before its
// first byte.
func (s *sent) provedUnsent() bool { return !s.got || (s.conn != nil && s.conn.seal()) }

// roundTrip sends req once. On an error, unsent tells whether the request is
// proved not to have been sent.
func roundTrip(ctx context.Context, transport http.RoundTripper, req *http.Request) (resp *http.Response, unsent bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = memoryBody(nil)
	}
	req.GetBody = nil
	s := newSent()
	resp, err = transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, &s.trace)))
	if err != nil {
		return nil, s.provedUnsent(), err
	}
	if resp.StatusCode < http.StatusContinue {
		// net/http reads such a code, but panics where it is to be written: the
		// caller's connection broke instead of bringing an outcome.
		_ = resp.Body.Close()
		return nil, false, &StatusError{Status: resp.StatusCode}
	}
	return resp, false, nil
}

// roundTrip is roundTrip, unless the transport's own replays are to be shown.
func (n *Node) roundTrip(ctx context.Context, transport http.RoundTripper, req *http.Request) (resp *http.Response, unsent bool, err error) {
	if !n.settings.Ablate.TransportReplays || req.Body == nil {
		return roundTrip(ctx, transport, req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, false, err
	}
	req.GetBody = func() (io.ReadCloser, error) { return memoryBody(body), nil }
	req.Body = memoryBody(body)
	resp, err = transport.RoundTrip(req.WithContext(ctx))
	return resp, false, err
}
