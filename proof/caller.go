package proof

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"pollengauge.dev/call"
	"pollengauge.dev/node"
)

// clientHost is the host that all external callers run on.
const clientHost = "client"

// Present sends a request for an operation and waits for the answer. The caller
// disconnects when ctx is done.
func (c *Cluster) Present(ctx context.Context, p Presentation) Reply {
	m := c.Member(p.Host)
	if m == nil {
		return Reply{Err: &UnknownMemberError{Host: p.Host}}
	}
	return c.PresentTo(ctx, m, p)
}

// PresentTo is like Present, but sends to a member that was looked up before. A
// caller that started while the member was running still reaches it if the
// member has begun to exit before the caller's goroutine runs.
func (c *Cluster) PresentTo(ctx context.Context, m *Member, p Presentation) Reply {
	o := c.Ledger.operation(p.Operation)
	sent := c.Ledger.recordSent(p)
	header := http.Header{}
	header.Set(headerOperation, o.ID)
	header.Set(headerPresentation, sent.ID)
	header.Set(headerStep, rootStep)
	header.Set("X-Request-Id", sent.ID)
	if p.Key != "" {
		header.Set(call.HeaderIdempotencyKey, p.Key)
	}
	reply := c.send(ctx, m.Node, o.Root.Method, o.Root.Path, o.request(o.Root, rootStep), header)
	c.Ledger.recordReply(sent, reply, ctx.Err() != nil)
	return reply
}

// Mint requests an idempotency key from a host's node. It returns "" if that
// fails.
func (c *Cluster) Mint(ctx context.Context, host string) string {
	m := c.Member(host)
	if m == nil {
		return ""
	}
	reply := c.send(ctx, m.Node, http.MethodPost, node.KeyPath, "", http.Header{})
	if reply.Err != nil || reply.Status != http.StatusOK {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(reply.Body, `{"key":"`), "\"}\n")
}

// send makes one request on a connection used for this request alone.
func (c *Cluster) send(ctx context.Context, to *node.Node, method, path, body string, header http.Header) Reply {
	host := c.Net.Host(clientHost)
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return host.Dial(ctx, addr) },
	}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Addr("edge")+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Header = header
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	reply := Reply{
		Status:  resp.StatusCode,
		Outcome: resp.Header.Get(call.HeaderOutcome),
		Reason:  resp.Header.Get(call.HeaderReason),
		Hop:     resp.Header.Get(call.HeaderHop),
		Key:     resp.Header.Get(call.HeaderIdempotencyKey),
		Body:    string(answer),
		Trailer: resp.Trailer.Get("X-End"),
	}
	if err != nil {
		reply.Err = &UnfinishedError{Cause: err}
	}
	return reply
}
