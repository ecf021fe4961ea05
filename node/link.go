package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"

	"pollengauge.dev/call"
	"pollengauge.dev/headread"
	"pollengauge.dev/observe"
	"pollengauge.dev/peerlink"
)

// PeerProtocol is how a node sends calls to the upstreams beside other nodes.
type PeerProtocol string

const (
	// PeerAuto uses shared connections (package peerlink) with each node that offers them.
	PeerAuto PeerProtocol = "auto"
	// PeerHTTP1 uses HTTP/1.1 with all nodes, and offers nothing else.
	PeerHTTP1 PeerProtocol = "http1"
)

// buildLinks creates both sides of the shared connections, unless the settings forbid them.
// The transport's own resending, which an ablation enables, exists with HTTP/1.1 only.
func (n *Node) buildLinks() {
	if n.settings.PeerProtocol == PeerHTTP1 || n.settings.Ablate.TransportReplays {
		return
	}
	n.links = peerlink.NewClient(peerlink.ClientConfig{
		Dial: n.peerNetwork.Dial,
		FellBack: func(addr string, err error) {
			n.log.Emit(observe.PeerlinkNotOffered, observe.Str("addr", addr), observe.Err(err))
		},
		Ended: n.noteLinkEnded,
	})
	n.linkServer = peerlink.NewServer(peerlink.ServerConfig{
		Handler: n.serveLink,
		MaxHead: n.settings.MaxHeaderBytes + 2*nodeHeaderBytes,
		Ended:   n.noteLinkEnded,
	})
}

// noteLinkEnded logs the end of a shared connection, unless it ended as agreed.
func (n *Node) noteLinkEnded(addr string, err error, calls int) {
	event := observe.PeerlinkLost
	switch {
	case errors.As(err, new(*peerlink.FrameError)):
		event = observe.PeerlinkMalformed
	case errors.As(err, new(*peerlink.StalledError)):
		event = observe.PeerlinkStalled
	case errors.As(err, new(*peerlink.SilentError)):
		event = observe.PeerlinkSilent
	case calls == 0:
		return
	}
	n.log.Emit(event, observe.Str("addr", addr), observe.Int("calls", calls), observe.Err(err))
}

// updateLinkMetrics exports the totals of the shared connections.
func (n *Node) updateLinkMetrics() {
	if n.links == nil {
		return
	}
	m := &n.metrics.Peerlink
	for direction, stats := range map[string]*peerlink.Stats{observe.DirectionOutbound: n.links.Stats(), observe.DirectionInbound: n.linkServer.Stats()} {
		m.Conns.With(direction).Update(stats.Conns.Load())
		m.Streams.With(direction).Update(stats.Streams.Load())
		setCounter(m.Calls.With(direction), uint64(stats.Calls.Load()))
		setCounter(m.Bytes.With(direction), uint64(stats.BytesIn.Load()+stats.BytesOut.Load()))
		setCounter(m.Writes.With(direction), uint64(stats.Writes.Load()))
		setCounter(m.Malformed.With(direction), uint64(stats.Malformed.Load()))
	}
	setCounter(m.Fallbacks, uint64(n.links.Stats().Fallbacks.Load()))
}

func (n *Node) closeLinks() {
	if n.links != nil {
		n.links.Close()
		n.linkServer.Close()
	}
}

// upgradeLinks serves the requests of the peer listener that ask for a shared connection. It
// leaves all others to next.
func (n *Node) upgradeLinks(listener Listener, next http.Handler) http.Handler {
	if listener != PeerListener || n.linkServer == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !peerlink.Offered(r) {
			next.ServeHTTP(w, r)
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			n.log.Emit(observe.NodeFailed, observe.Str("listener", string(listener)), observe.Err(err))
			return
		}
		first, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
		first = append([]byte(nil), first...)
		if guarded, ok := headread.Unwrap(conn); ok {
			raw, held := guarded.Detach()
			conn, first = raw, append(first, held...)
		}
		// Not in this goroutine: it refers to the buffers of net/http.
		go n.serveLinkConn(conn, first)
	})
}

func (n *Node) serveLinkConn(conn net.Conn, first []byte) {
	n.conns[PeerListener].Add(1)
	defer n.conns[PeerListener].Add(-1)
	n.linkServer.Serve(conn, kernelConn(conn), first)
}

// kernelConn returns the connection of the kernel that an accepted connection writes to, nil
// if there is none or it is encrypted.
func kernelConn(conn net.Conn) syscall.RawConn {
	reset, ok := conn.(*resetConn)
	if !ok {
		return nil
	}
	kernel, ok := reset.raw.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := kernel.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// attemptLink sends the call over a shared connection. It returns nil if the call can only be
// sent over HTTP/1.1. release is called when the call has ended.
func (n *Node) attemptLink(ctx context.Context, release context.CancelFunc, addr string, req *request, lent int, home string, heard call.UpstreamNotice) *answer {
	out := peerlink.Request{
		Context: n.peerContext(req, lent, heard),
		Method:  req.method,
		Target:  req.url.RequestURI(),
		Service: req.service,
		Header:  req.header,
		Omit:    omittedOnLinks,
		Trailer: req.trailer,
	}
	if len(req.header["Connection"]) > 0 {
		out.Header = copyHeader(req.header, 0)
	}
	var extra [3]peerlink.Pair
	out.Extra = append(extra[:0], peerlink.Pair{Name: call.HeaderTraceParent, Value: req.span.String()})
	if req.key != "" {
		out.Extra = append(out.Extra, peerlink.Pair{Name: call.HeaderIdempotencyKey, Value: req.key})
	}
	if home != "" {
		out.Extra = append(out.Extra, peerlink.Pair{Name: call.HeaderHome, Value: home})
	}
	body, length := req.body.head, int64(len(req.body.head))
	var stream io.Reader
	if !req.body.inMemory() {
		stream, length = req.body.open()
		body = nil
	}
	if len(req.trailer) > 0 {
		length = -1
	}
	resp, respBody, err := n.links.Do(ctx, addr, &out, body, stream, length)
	if err != nil {
		return n.linkFailed(ctx, release, req, lent, err)
	}
	return n.linkAnswered(release, resp, respBody)
}

// omittedOnLinks reports the fields of a request that are not sent on: those of one
// connection, the length, which the frame has, and Expect, since this node has read the body
// already.
func omittedOnLinks(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	default:
		return false
	}
}

// linkFailed returns the answer for a call without a response, nil if it can only be sent
// over HTTP/1.1.
func (n *Node) linkFailed(ctx context.Context, release context.CancelFunc, req *request, lent int, err error) *answer {
	if errors.As(err, new(*peerlink.NotOfferedError)) || errors.As(err, new(*peerlink.EncodeError)) {
		return nil
	}
	defer release()
	unsent := errors.As(err, new(*peerlink.UnsentError)) || n.settings.Ablate.NoSealing
	a := n.peerFailed(ctx, req, unsent, lent, err)
	if a.report.Reason != call.ReasonConnect {
		return a
	}
	switch {
	case errors.As(err, new(*peerlink.FullError)):
		a.report.Reason = call.ReasonPeerFull
	case errors.As(err, new(*peerlink.GoneError)):
		a.report.Reason = call.ReasonDraining
	default:
		return a
	}
	a.refusal.reason = a.report.Reason
	return a
}

// linkAnswered returns the answer of a response on a shared connection.
func (n *Node) linkAnswered(release context.CancelFunc, resp *peerlink.Response, body *peerlink.Body) *answer {
	header := resp.Header
	after := parseRetryAfter(header)
	stale := header.Get(call.HeaderStale)
	stripHop(header)
	n.stripReservedHeaders(header)
	a := &answer{report: resp.Report, reported: true, status: resp.Status, header: header, body: body, trailer: resp.Trailer, stale: stale}
	if body.Whole() {
		release()
	} else {
		a.body = &cancelBody{readCloser: body, cancel: sync.OnceFunc(release)}
	}
	if resp.Report.Outcome != call.Complete {
		a.refusal = &refusal{outcome: resp.Report.Outcome, reason: resp.Report.Reason, after: after}
	}
	return a
}

// answerExtra returns the field of an answer that is not in its header.
func answerExtra(a *answer) []peerlink.Pair {
	if a.stale == "" {
		return nil
	}
	return []peerlink.Pair{{Name: call.HeaderStale, Value: a.stale}}
}

// answerLength returns the length of an answer's body that its header states, -1 if it
// states none.
func answerLength(a *answer) int64 {
	values := a.header["Content-Length"]
	if len(values) != 1 {
		return -1
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || length < 0 {
		return -1
	}
	return length
}
