package membership

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Transport sends one request to a peer and returns the reply.
type Transport interface {
	// Exchange must return soon after ctx ends. The caller validates the reply.
	Exchange(ctx context.Context, addr string, m *Message) (*Message, error)
	// Close ends all exchanges.
	Close() error
}

// rpcMethod is short because it is sent with each request.
const (
	rpcService = "G"
	rpcMethod  = rpcService + ".Exchange"
)

// maxPending bounds the unanswered calls of one connection. The peer handles perConn
// calls at a time; further ones would only wait.
const maxPending = 4 * perConn

// dialTimeout bounds the opening of a connection. It is far above the time that a caller
// waits: an abandoned dial has cost nearly as much as a completed one, and in an overload
// all dials would be abandoned and repeated for ever.
const dialTimeout = 5 * time.Second

// rpcTransport calls peers by net/rpc over a bounded cache of open connections.
type rpcTransport struct {
	cfg   *Config
	stats *stats
	// ctx cancels the dials.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	clients *lru.Cache[string, *peerClient]
	dialing map[string]*dialing
	closed  bool
}

// dialing is a connection that is being opened, shared by all callers that wait for it.
type dialing struct {
	done   chan struct{}
	client *peerClient
	err    error
}

// peerClient is one open connection.
type peerClient struct {
	client *rpc.Client
	conn   *limitedConn
	// pending counts the unanswered calls, including those that the caller gave up.
	pending atomic.Int32
}

func newRPCTransport(cfg *Config, s *stats) *rpcTransport {
	t := &rpcTransport{cfg: cfg, stats: s, dialing: map[string]*dialing{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	// NewWithEvict fails only for a size below one, which Config validation excludes.
	t.clients, _ = lru.NewWithEvict(cfg.MaxClients, func(_ string, c *peerClient) { go c.client.Close() })
	return t
}

// Exchange implements Transport. The peer may have closed a pooled connection since its
// last use, so a call that fails on one is repeated once on a new one. The repetition is
// safe because applying a message twice changes nothing.
func (t *rpcTransport) Exchange(ctx context.Context, addr string, m *Message) (*Message, error) {
	client, pooled, err := t.client(ctx, addr)
	if err != nil {
		return nil, err
	}
	reply, err := t.call(ctx, addr, client, m)
	if err == nil || !pooled || ctx.Err() != nil || isRejection(err) {
		return reply, err
	}
	if client, _, err = t.client(ctx, addr); err != nil {
		return nil, err
	}
	return t.call(ctx, addr, client, m)
}

// isRejection reports whether the peer itself rejected the call, or the call was not sent
// because the peer already has too many to answer.
func isRejection(err error) bool {
	failure, ok := err.(*TransportError)
	if !ok {
		return false
	}
	switch failure.Err.(type) {
	case rpc.ServerError, *BusyError:
		return true
	}
	return false
}

// call makes one call. net/rpc supports neither deadlines nor cancellation: a peer that
// never answers would block the caller, and occupy its connection, for ever. When ctx
// ends, call therefore closes the connection, which also frees the call's state, unless
// data arrived on it during the call. Closing it for a single late answer made all other
// calls on it fail, dial and be repeated.
func (t *rpcTransport) call(ctx context.Context, addr string, c *peerClient, m *Message) (*Message, error) {
	if c.pending.Add(1) > maxPending {
		c.pending.Add(-1)
		return nil, &TransportError{Addr: addr, Stage: "call", Err: &BusyError{Pending: maxPending}}
	}
	reply := new(Message)
	readsBefore := c.conn.reads.Load()
	c.conn.grant(t.cfg.maxReplyBytes())
	call := c.client.Go(rpcMethod, m, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.pending.Add(-1)
		if call.Error == nil {
			return reply, nil
		}
		if _, answered := call.Error.(rpc.ServerError); !answered {
			t.drop(addr, c)
		}
		return nil, &TransportError{Addr: addr, Stage: "call", Err: call.Error}
	case <-ctx.Done():
		// The rest of an abandoned payload would take bandwidth from the next transfer.
		if m.Kind == KindPull || c.conn.reads.Load() == readsBefore {
			t.drop(addr, c)
		}
		go func() {
			<-call.Done
			c.pending.Add(-1)
		}()
		return nil, &TransportError{Addr: addr, Stage: "call", Err: ctx.Err()}
	}
}

// client returns an open connection, and whether it was opened before this call.
// Concurrent callers that need a connection to the same peer share one dial.
func (t *rpcTransport) client(ctx context.Context, addr string) (*peerClient, bool, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, false, &ClosedError{}
	}
	if c, ok := t.clients.Get(addr); ok {
		t.mu.Unlock()
		return c, true, nil
	}
	d := t.dialing[addr]
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		t.dialing[addr] = d
		go t.open(addr, d)
	}
	t.mu.Unlock()
	select {
	case <-d.done:
		return d.client, false, d.err
	case <-ctx.Done():
		return nil, false, &TransportError{Addr: addr, Stage: "dial", Err: ctx.Err()}
	}
}

// open dials a connection. The dial has its own timeout, because its waiters may have
// arrived late or may give up sooner.
func (t *rpcTransport) open(addr string, d *dialing) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	conn, err := t.dial(ctx, addr)
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(d.done)
	delete(t.dialing, addr)
	if err != nil {
		d.err = &TransportError{Addr: addr, Stage: "dial", Err: err}
		return
	}
	t.stats.dials.Add(1)
	if t.closed {
		conn.Close()
		d.err = &ClosedError{}
		return
	}
	limited := newLimitedConn(conn, t.cfg, t.stats, t.cfg.maxReplyBytes())
	d.client = &peerClient{client: rpc.NewClient(limited), conn: limited}
	t.clients.Add(addr, d.client)
}

func (t *rpcTransport) dial(ctx context.Context, addr string) (net.Conn, error) {
	if t.cfg.Dial != nil {
		return t.cfg.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// drop closes a failed connection and removes it from the cache.
func (t *rpcTransport) drop(addr string, c *peerClient) {
	t.mu.Lock()
	if current, ok := t.clients.Peek(addr); ok && current == c {
		t.clients.Remove(addr)
	}
	t.mu.Unlock()
	c.client.Close()
}

// Close implements Transport.
func (t *rpcTransport) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.cancel()
	t.clients.Purge()
	return nil
}

// limitedConn bounds the bytes that a peer can make this process read, and the time for
// which a write may block. Without the first bound, one length prefix could make the
// decoder allocate a gigabyte; without the second, a peer that stops reading would block
// every goroutine that writes to it.
type limitedConn struct {
	net.Conn
	writeTimeout time.Duration
	stats        *stats

	max int
	// reads counts the reads that returned data.
	reads atomic.Uint64

	mu        sync.Mutex
	remaining int
}

func newLimitedConn(conn net.Conn, cfg *Config, s *stats, limit int) *limitedConn {
	return &limitedConn{Conn: conn, writeTimeout: cfg.ProbeTimeout, stats: s, remaining: limit, max: limit}
}

// grant allows another n bytes to be read, with at most 2n unread bytes allowed in total.
func (c *limitedConn) grant(n int) {
	c.mu.Lock()
	c.remaining = min(c.remaining+n, 2*n)
	c.mu.Unlock()
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	left := c.remaining
	c.mu.Unlock()
	if left <= 0 {
		return 0, &OversizeError{Limit: c.max}
	}
	n, err := c.Conn.Read(p[:min(len(p), left)])
	c.mu.Lock()
	c.remaining -= n
	c.mu.Unlock()
	if n > 0 {
		c.reads.Add(1)
	}
	c.stats.bytesIn.Add(uint64(n))
	return n, err
}

// writeChunkBytes is the number of bytes that must be written within one write timeout.
const writeChunkBytes = 16 << 10

// Write implements net.Conn. Each part has its own write timeout, so a peer that stops
// reading is detected as early as with a single timeout, and a long payload on a narrow
// link is not aborted.
func (c *limitedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeChunkBytes, len(p))])
		c.stats.bytesOut.Add(uint64(n))
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
