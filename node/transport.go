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
	"pollengauge.dev/respread"
)

const (
	idleConnTimeout = 60 * time.Second
	transportBuffer = 8 << 10
	// maxResponseHeader bounds the head of an answer, in bytes. No rule limits what
	// upstreams may send, and each attempt at a request whose answer exceeds this
	// bound ends as unknown. The bound is therefore the highest that operators can
	// allow callers.
	maxResponseHeader = config.MaxHeaderBytes
)

// newTransport returns a transport that never resends a request on its own.
//
// http.Transport resends a request on a new connection when a reused one breaks, if
// the method is idempotent or an Idempotency-Key header is present and the body can be
// rewound. Such an attempt is charged to no credit, and a filing would run twice. A
// request without GetBody and with a Body that is neither nil nor http.NoBody is never
// resent. Every request that goes through roundTrip below has such a body.
func newTransport(network Network, maxConns int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			conn, err := network.Dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return &sealConn{Conn: respread.NewConn(conn)}, nil
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

// memoryBody returns a body that can't be rewound. Empty requests use one too, for the
// reason given at newTransport. The transport recognizes that this type is in memory,
// and sends it in one packet with the header.
func memoryBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// identityEncoding is the transfer encoding of a body that is sent unchanged. On a request
// whose method usually has no body it prevents the transport from starting a goroutine
// that checks whether an empty body is empty. It adds nothing to the bytes sent.
var identityEncoding = []string{"identity"}

// usuallyWithoutBody reports whether method is one whose empty body the transport
// checks in a goroutine. An empty body of any other method is announced as chunked.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// sendState records how far a round trip got.
type sendState struct {
	// gotConnection is set once the request has a connection. If that connection can't be
	// sealed, conn is nil, and whether the request was sent is unknown.
	gotConnection bool
	exchange
	trace httptrace.ClientTrace
}

func newSendState() *sendState {
	s := &sendState{}
	s.trace.GotConn = s.gotConn
	s.trace.WroteRequest = s.wroteRequest
	return s
}

func (s *sendState) wroteRequest(info httptrace.WroteRequestInfo) {
	if s.conn != nil {
		s.conn.Written(info.Err)
	}
}

func (s *sendState) gotConn(info httptrace.GotConnInfo) {
	s.gotConnection = true
	conn, ok := unwrapSealConn(info.Conn)
	s.exchange = exchange{conn: conn}
	if ok {
		s.number = conn.arm()
	}
}

func unwrapSealConn(conn net.Conn) (*sealConn, bool) {
	switch c := conn.(type) {
	case *sealConn:
		return c, true
	case interface{ NetConn() net.Conn }:
		return unwrapSealConn(c.NetConn())
	default:
		return nil, false
	}
}

// provedUnsent reports whether the request never left this process: it got no
// connection, or its connection was sealed before the first byte.
func (s *sendState) provedUnsent() bool { return !s.gotConnection || (s.conn != nil && s.conn.seal()) }

// roundTrip sends req once. On an error, unsent reports whether the request was
// provably not sent.
func roundTrip(ctx context.Context, transport http.RoundTripper, req *http.Request) (resp *http.Response, unsent bool, err error) {
	resp, _, unsent, err = roundTripOn(ctx, transport, req)
	return resp, unsent, err
}

// roundTripOn is roundTrip with the exchange on the connection of the response.
func roundTripOn(ctx context.Context, transport http.RoundTripper, req *http.Request) (resp *http.Response, on exchange, unsent bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = memoryBody(nil)
	}
	req.GetBody = nil
	s := newSendState()
	resp, err = transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, &s.trace)))
	if err != nil {
		return nil, exchange{}, s.provedUnsent(), err
	}
	if err := respread.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, exchange{}, false, err
	}
	return resp, s.exchange, false, nil
}

// roundTrip calls the function roundTrip, unless an ablation enables the transport's
// own resending.
func (n *Node) roundTrip(ctx context.Context, transport http.RoundTripper, req *http.Request) (resp *http.Response, unsent bool, err error) {
	resp, _, unsent, err = n.roundTripOn(ctx, transport, req)
	return resp, unsent, err
}

// roundTripOn is roundTrip with the exchange on the connection of the response.
func (n *Node) roundTripOn(ctx context.Context, transport http.RoundTripper, req *http.Request) (resp *http.Response, on exchange, unsent bool, err error) {
	if !n.settings.Ablate.TransportReplays || req.Body == nil {
		return roundTripOn(ctx, transport, req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, exchange{}, false, err
	}
	req.GetBody = func() (io.ReadCloser, error) { return memoryBody(body), nil }
	req.Body = memoryBody(body)
	resp, err = transport.RoundTrip(req.WithContext(ctx))
	return resp, exchange{}, false, err
}
