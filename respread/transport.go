package respread

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Dial is a function that opens connections, as in http.Transport.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Transport returns a transport like base whose responses are well-formed and whole. It changes
// the DialContext of base, which must be set.
func Transport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &transport{base: base}
}

type transport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *Conn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn = unwrap(info.Conn); conn != nil {
				conn.Begin()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if conn != nil {
				conn.Written(info.Err)
			}
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// unwrap returns the Conn that conn is or wraps, nil if there is none.
func unwrap(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}
