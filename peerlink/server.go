package peerlink

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Path and Protocol are the target and the protocol of the HTTP/1.1 request that opens a
// connection.
const (
	Path     = "/peerlink"
	Protocol = "pollengauge-peerlink/1"
)

const (
	// maxStreams is the maximum number of calls on a connection. With maxConns it is twice
	// the usual limit of calls to one node.
	maxStreams = 128
	// maxHandlers bounds the calls of a connection whose handlers have not returned. A call
	// that its sender has given up counts here and not in maxStreams.
	maxHandlers = 4 * maxStreams
	// serverIdleTimeout is how long a connection without calls stays open at the serving
	// side. The calling side closes it sooner, unless its machine is lost.
	serverIdleTimeout = 2 * idleTimeout
	// closeGrace is how long a server that shuts down waits for its peers to close, once it
	// has answered all calls; shutdownPoll is the time between two checks.
	closeGrace   = 300 * time.Millisecond
	shutdownPoll = 10 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Handler serves a call. When it returns without having ended the response, the
	// response is broken off. It must not panic.
	Handler func(*Exchange)
	// MaxHead bounds the payload of a request frame without its body, in bytes. A longer
	// request is refused.
	MaxHead int
	// Ended is called when a connection has ended, with the reason and the number of calls
	// that were in progress. It must not block.
	Ended func(remote string, err error, calls int)
}

// Server serves the calls of other nodes.
type Server struct {
	cfg     ServerConfig
	stats   Stats
	workers workers
	closing sync.Once

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool
	// ended is closed by Close. checking is set while a goroutine checks the connections.
	ended    chan struct{}
	checking bool
	// empty is closed when a server that shuts down has no connection left.
	empty chan struct{}
}

// NewServer returns a server without connections.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, conns: make(map[*serverConn]struct{}), ended: make(chan struct{})}
	s.workers.init(cfg.Handler)
	return s
}

// Stats returns the totals of the server.
func (s *Server) Stats() *Stats { return &s.stats }

// Offered reports whether an HTTP/1.1 request asks for a connection of this protocol.
func Offered(r *http.Request) bool {
	return r.URL.Path == Path && r.Method == http.MethodGet &&
		strings.EqualFold(r.Header.Get("Connection"), "upgrade") && r.Header.Get("Upgrade") == Protocol
}

const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"

// Serve accepts the upgrade on a connection, and serves its calls until the connection ends.
// kernel is the connection of the kernel under nc, nil if there is none or nc changes the
// bytes. first is what was read after the request.
func (s *Server) Serve(nc net.Conn, kernel syscall.RawConn, first []byte) {
	c := &serverConn{server: s, exchanges: make(map[uint32]*Exchange)}
	if !s.add(c, nc, kernel) {
		_ = nc.Close()
		return
	}
	_ = nc.SetDeadline(time.Time{})
	c.mu.Lock()
	c.pending = append(c.pending, accepted...)
	c.flush()
	c.mu.Unlock()
	c.failNow(c.read(first, c.handle))
	s.remove(c)
}

func (s *Server) add(c *serverConn, nc net.Conn, kernel syscall.RawConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	c.init(nc, kernel, &s.stats, c.ended)
	s.conns[c] = struct{}{}
	if !s.checking {
		s.checking = true
		go s.check()
	}
	return true
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
}

func (s *Server) open() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// GoAway accepts no further calls on the connections that are open. The calls accepted
// before are served.
func (s *Server) GoAway() {
	for _, c := range s.open() {
		c.goAway()
	}
}

// Shutdown accepts no further connections and calls, and returns when the calls accepted
// before have been answered and the peers have closed their connections. The error is that of
// ctx if it ends before all calls are answered.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	empty := make(chan struct{})
	if len(s.conns) == 0 {
		close(empty)
	} else {
		s.empty = empty
	}
	s.mu.Unlock()
	s.GoAway()
	tick := time.NewTicker(shutdownPoll)
	defer tick.Stop()
	for idle := time.Duration(0); idle < closeGrace; {
		select {
		case <-empty:
			return nil
		case <-ctx.Done():
			if s.stats.Streams.Load() > 0 {
				return ctx.Err()
			}
			idle = closeGrace
		case <-tick.C:
			if idle += shutdownPoll; s.stats.Streams.Load() > 0 {
				idle = 0
			}
		}
	}
	// What is left belongs to peers that don't answer.
	s.closeAll()
	return nil
}

// check closes the connections that have been idle for too long, until there are none left.
func (s *Server) check() {
	tick := time.NewTicker(serverIdleTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-s.ended:
			return
		case now := <-tick.C:
			if !s.checkAll(now) {
				return
			}
		}
	}
}

// checkAll checks all connections. It returns false if there are none.
func (s *Server) checkAll(now time.Time) bool {
	open := s.open()
	for _, c := range open {
		c.closeIdle(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = len(s.conns) > 0
	return s.checking
}

func (s *Server) closeAll() {
	for _, c := range s.open() {
		c.failNow(&ClosedError{})
	}
}

// Close ends all connections. The contexts of the calls in progress end.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeAll()
	s.closing.Do(func() {
		close(s.ended)
		s.workers.close()
	})
}

// serverConn is the serving side of a connection.
type serverConn struct {
	conn
	server *Server
	// exchanges are the calls whose handlers have not returned; live is how many of them
	// their sender still waits for. last is the highest stream accepted.
	exchanges map[uint32]*Exchange
	live      int
	last      uint32
	// leaving is set once no further call is accepted.
	leaving bool
}

// ended implements conn.ended.
func (c *serverConn) ended(err error) {
	live := c.live
	for _, ex := range c.exchanges {
		ex.giveUp(err)
	}
	if c.server.cfg.Ended != nil {
		c.server.cfg.Ended(c.nc.RemoteAddr().String(), err, live)
	}
}

func (c *serverConn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.exchanges) == 0 && now.Sub(time.Unix(0, c.lastRead.Load())) >= serverIdleTimeout {
		c.fail(&ClosedError{})
	}
}

func (c *serverConn) goAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leaving {
		c.leaving = true
		c.add(frameGoAway, 0, numberPayload(c.last))
	}
}

// handle handles a frame.
func (c *serverConn) handle(h header, b []byte) error {
	switch h.typ {
	case frameRequest:
		return c.request(h, b)
	case frameData, frameTrailer, frameWindow, frameCancel:
		return c.forExchange(h, b)
	case framePing:
		c.send(framePong, 0, nil)
		return nil
	case framePong, frameVoid:
		return nil
	default:
		return &FrameError{Frame: h.typ.String(), Want: "one that a calling node sends"}
	}
}

// request accepts a call.
func (c *serverConn) request(h header, b []byte) error {
	if h.length > c.server.cfg.MaxHead+maxInline {
		return c.accept(h.stream, nil)
	}
	req, body, length, err := readRequest(b, h.flags)
	if err != nil {
		return err
	}
	if len(body) > maxInline {
		return &FrameError{Frame: h.typ.String(), Want: "a body of at most 16 KiB"}
	}
	ex := &Exchange{Request: req, Length: length, c: c, id: h.stream}
	ex.in.first(body, h.flags&flagEnd != 0)
	ex.out = outbound{c: &c.conn, stream: h.stream, credit: streamWindow}
	return c.accept(h.stream, ex)
}

// accept starts the handler of a call. ex is nil for a call that is refused.
func (c *serverConn) accept(stream uint32, ex *Exchange) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.leaving {
		return nil // the peer learns from go-away that the call was not accepted
	}
	if stream <= c.last {
		return &FrameError{Frame: frameRequest.String(), Want: "a stream above the last one"}
	}
	c.last = stream
	if ex == nil || len(c.exchanges) >= maxHandlers {
		c.add(frameRefused, stream, nil)
		return nil
	}
	if c.live >= maxStreams {
		return &FrameError{Frame: frameRequest.String(), Want: "at most 128 calls"}
	}
	c.live++
	c.exchanges[stream] = ex
	c.server.stats.Streams.Add(1)
	c.server.stats.Calls.Add(1)
	c.server.workers.run(ex)
	return nil
}

// forExchange handles a frame of a call. The call may have ended, and a request that was
// void may be followed by its body.
func (c *serverConn) forExchange(h header, b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ex := c.exchanges[h.stream]
	if ex == nil {
		return nil
	}
	switch h.typ {
	case frameCancel:
		ex.giveUp(context.Canceled)
		return nil
	case frameWindow:
		return grantWindow(&ex.out, h, b)
	default:
		return receive(&ex.in, h, b)
	}
}

func grantWindow(o *outbound, h header, b []byte) error {
	n, err := readNumber(h, b)
	if err != nil {
		return err
	}
	if !o.grant(n) {
		return &FrameError{Frame: h.typ.String(), Want: "at most the window"}
	}
	return nil
}

// receive adds a data or trailer frame to a body.
func receive(in *inbound, h header, b []byte) error {
	if h.typ == frameTrailer {
		trailer, err := readTrailer(b)
		if err != nil {
			return err
		}
		in.trailer = trailer
		b = nil
	}
	end := h.flags&flagEnd != 0 || h.typ == frameTrailer
	if in.err == nil && !in.add(b, end) {
		return &FrameError{Frame: h.typ.String(), Want: "a body within its window"}
	}
	return nil
}

// finish ends a call whose handler has returned.
func (c *serverConn) finish(ex *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.exchanges, ex.id)
	c.server.stats.Streams.Add(-1)
	broken := ex.ctxErr == nil && !ex.out.sent
	ex.giveUp(context.Canceled)
	if broken {
		c.add(frameCancel, ex.id, nil)
	}
}
