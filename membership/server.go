package membership

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// perConn bounds the concurrently handled requests of one connection.
	perConn = 4
	// idleTimeout is the time after which unused inbound connections are closed. A
	// neighbour uses its connection every few seconds.
	idleTimeout = 2 * time.Minute
	// acceptRetry is the wait after a failed accept (for example, too many open files).
	acceptRetry = 50 * time.Millisecond
)

// server accepts connections and serves the exchanges of peers.
type server struct {
	g   *Gossip
	rpc *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
	group sync.WaitGroup
}

// endpoint is the receiver that net/rpc calls.
type endpoint struct{ g *Gossip }

// Exchange answers one request.
func (e *endpoint) Exchange(request, reply *Message) error {
	ctx, cancel := context.WithTimeout(e.g.ctx, pullTimeout)
	defer cancel()
	answer, err := e.g.Handle(ctx, request)
	if err != nil {
		return err
	}
	*reply = *answer
	return nil
}

func newServer(g *Gossip) *server {
	s := &server{g: g, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	// RegisterName fails only for a receiver without suitable methods.
	_ = s.rpc.RegisterName(rpcService, &endpoint{g: g})
	return s
}

// serve accepts connections until close is called.
func (s *server) serve() {
	for {
		conn, err := s.g.cfg.Listener.Accept()
		if err == nil {
			s.admit(conn)
			continue
		}
		select {
		case <-s.g.ctx.Done():
			s.group.Wait()
			return
		case <-time.After(acceptRetry):
		}
	}
}

// admit serves a connection, or closes it if there are too many or the server is closed.
func (s *server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || len(s.conns) >= s.g.cfg.MaxInbound {
		s.g.stats.inboundRefused.Add(1)
		conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.group.Go(func() {
		s.rpc.ServeCodec(newServerCodec(s.g, conn))
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	})
}

// close closes the listener and all connections.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.g.cfg.Listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
}

// serverCodec is net/rpc's gob codec with bounds on the length of a request, on the time
// it may take to arrive, and on the number of concurrently handled requests. net/rpc
// itself starts a goroutine for each request that it can read.
type serverCodec struct {
	cfg   *Config
	conn  *limitedConn
	dec   *gob.Decoder
	enc   *gob.Encoder
	out   *bufio.Writer
	slots chan struct{}
	once  sync.Once
}

func newServerCodec(g *Gossip, conn net.Conn) *serverCodec {
	limited := newLimitedConn(conn, &g.cfg, &g.stats, g.cfg.MaxMessageBytes)
	out := bufio.NewWriter(limited)
	return &serverCodec{
		cfg: &g.cfg, conn: limited, out: out,
		dec: gob.NewDecoder(bufio.NewReader(limited)), enc: gob.NewEncoder(out),
		slots: make(chan struct{}, perConn),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	c.conn.grant(c.cfg.MaxMessageBytes)
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	return c.dec.Decode(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(pullTimeout)); err != nil {
		return err
	}
	return c.dec.Decode(body)
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once per request.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		// A partly written response can't be repaired, and the peer would wait for the
		// rest.
		c.Close()
	}
	return err
}

// Close implements rpc.ServerCodec. net/rpc may call it more than once.
func (c *serverCodec) Close() error {
	err := io.ErrClosedPipe
	c.once.Do(func() { err = c.conn.Close() })
	return err
}
