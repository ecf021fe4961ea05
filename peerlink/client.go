package peerlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxConns is the maximum number of connections to a peer.
	maxConns = 4
	// crowded is the number of calls on each connection above which a further one is opened.
	crowded = 16
	// handshakeTimeout bounds the opening of a connection, with TLS. A peer without processor
	// time answers late; a call that waits longer than this had better go to another one.
	handshakeTimeout = 2 * time.Second
	// maxHandshake bounds the answer to the upgrade, in bytes.
	maxHandshake = 64 << 10
	// fallbackTime is how long HTTP/1.1 is used for a peer that did not accept the upgrade.
	fallbackTime = 30 * time.Second
	// idleTimeout is how long a connection without calls stays open.
	idleTimeout = 60 * time.Second
	// checkInterval is the time between two checks of the connections.
	checkInterval = 500 * time.Millisecond
	// pingAfter is how long a connection with calls may be silent before it is pinged, and
	// silenceTimeout how long before it ends. A machine may be without processor time for
	// seconds, and a connection that ends leaves all its calls with an unknown fate.
	pingAfter      = time.Second
	silenceTimeout = 5 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// FellBack is called when a peer has not accepted the upgrade, Ended when a connection
	// has ended, with the number of calls that were in progress. Neither may block.
	FellBack func(addr string, err error)
	Ended    func(addr string, err error, calls int)
}

// Client sends calls to other nodes.
type Client struct {
	cfg   ClientConfig
	stats Stats
	stop  context.CancelFunc
	ctx   context.Context

	// free holds calls that have ended, for reuse.
	free sync.Pool

	mu    sync.Mutex
	peers map[string]*peer
	// checking is set while a goroutine checks the connections.
	checking bool
}

// peer is what a client knows of one address. The client's mutex guards it.
type peer struct {
	conns   []*clientConn
	dialing *dialing
	// plainUntil is the time until which HTTP/1.1 is used.
	plainUntil time.Time
	plain      *NotOfferedError
}

// dialing is a connection that is being opened. err is valid once done is closed.
type dialing struct {
	done chan struct{}
	err  error
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	cl := &Client{cfg: cfg, peers: make(map[string]*peer)}
	cl.ctx, cl.stop = context.WithCancel(context.Background())
	return cl
}

func (cl *Client) newStream() *stream {
	if s, ok := cl.free.Get().(*stream); ok {
		return s
	}
	return &stream{ready: make(chan struct{}, 1)}
}

// Stats returns the totals of the client.
func (cl *Client) Stats() *Stats { return &cl.stats }

// Do sends a call to the node at addr and waits for the head of its response. The body of
// the request is body or, if that is nil, read from stream; length is its length, -1 if it
// is not known.
//
// A *NotOfferedError or an *EncodeError means that the call can only be sent over HTTP/1.1. After an
// *UnsentError the call was provably not run; after any other its fate is not known. The
// caller closes the body of the response.
func (cl *Client) Do(ctx context.Context, addr string, r *Request, body []byte, stream io.Reader, length int64) (*Response, *Body, error) {
	for {
		c, err := cl.connTo(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		s, err := c.start(r, body, stream, length)
		if err != nil {
			return nil, nil, err
		}
		if s != nil {
			return s.await(ctx)
		}
		// The connection has ended or is full since it was chosen.
	}
}

// connTo returns a connection for a call, and opens one if necessary.
func (cl *Client) connTo(ctx context.Context, addr string) (*clientConn, error) {
	for {
		c, d, err := cl.pick(addr)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, &UnsentError{Cause: ctx.Err()}
		}
		if d.err != nil {
			return nil, d.err
		}
	}
}

// pick returns the connection to addr with the fewest calls, or one that is being opened.
func (cl *Client) pick(addr string) (*clientConn, *dialing, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.ctx.Err() != nil {
		return nil, nil, &UnsentError{Cause: &ClosedError{}}
	}
	p := cl.peers[addr]
	if p == nil {
		p = &peer{}
		cl.peers[addr] = p
	}
	if p.plain != nil {
		if time.Now().Before(p.plainUntil) {
			return nil, nil, p.plain
		}
		p.plain = nil
	}
	var best *clientConn
	for _, c := range p.conns {
		if c.usable() && (best == nil || c.load.Load() < best.load.Load()) {
			best = c
		}
	}
	if (best == nil || best.load.Load() >= crowded) && len(p.conns) < maxConns && p.dialing == nil {
		p.dialing = &dialing{done: make(chan struct{})}
		go cl.connect(addr, p, p.dialing)
	}
	switch {
	case best != nil && best.load.Load() < maxStreams:
		return best, nil, nil
	case p.dialing != nil:
		return nil, p.dialing, nil
	default:
		return nil, nil, &UnsentError{Cause: &FullError{}}
	}
}

// connect opens a connection to a peer and reads from it until it ends.
func (cl *Client) connect(addr string, p *peer, d *dialing) {
	c, first, err := cl.handshake(addr)
	cl.mu.Lock()
	p.dialing = nil
	if err == nil && cl.ctx.Err() != nil {
		err = &UnsentError{Cause: &ClosedError{}}
		c.failNow(&ClosedError{})
	}
	notOffered, plain := err.(*NotOfferedError)
	if plain {
		p.plain, p.plainUntil = notOffered, time.Now().Add(fallbackTime)
	}
	if err == nil {
		p.conns = append(p.conns, c)
		if !cl.checking {
			cl.checking = true
			go cl.check()
		}
	}
	if err != nil && !plain && len(p.conns) == 0 {
		delete(cl.peers, addr)
	}
	d.err = err
	close(d.done)
	cl.mu.Unlock()
	if plain {
		cl.stats.Fallbacks.Add(1)
		if cl.cfg.FellBack != nil {
			cl.cfg.FellBack(addr, notOffered)
		}
	}
	if err == nil {
		c.failNow(c.read(first, c.handle))
		cl.forget(addr, p, c)
	}
}

// handshake opens a connection and asks for the upgrade. first is what came after the
// answer.
func (cl *Client) handshake(addr string) (c *clientConn, first []byte, err error) {
	ctx, cancel := context.WithTimeout(cl.ctx, handshakeTimeout)
	defer cancel()
	nc, err := cl.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, nil, &UnsentError{Cause: err}
	}
	defer context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })()
	if _, err := io.WriteString(nc, "GET "+Path+" HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: "+Protocol+"\r\n\r\n"); err != nil {
		_ = nc.Close()
		return nil, nil, &UnsentError{Cause: err}
	}
	reader := bufio.NewReader(io.LimitReader(nc, maxHandshake))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		_ = nc.Close()
		return nil, nil, &UnsentError{Cause: err}
	}
	if resp.StatusCode != http.StatusSwitchingProtocols || resp.Header.Get("Upgrade") != Protocol {
		_ = nc.Close()
		return nil, nil, &NotOfferedError{Status: resp.StatusCode}
	}
	first, _ = reader.Peek(reader.Buffered())
	c = &clientConn{client: cl, addr: addr, streams: make(map[uint32]*stream)}
	c.init(nc, rawConnOf(nc), &cl.stats, c.ended)
	c.idleSince.Store(time.Now().UnixNano())
	return c, first, nil
}

// forget removes a connection that has ended.
func (cl *Client) forget(addr string, p *peer, c *clientConn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for i, other := range p.conns {
		if other == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	if len(p.conns) == 0 && p.dialing == nil && p.plain == nil && cl.peers[addr] == p {
		delete(cl.peers, addr)
	}
}

// check pings silent connections and closes those that are silent for too long or idle,
// until there are none left.
func (cl *Client) check() {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-cl.ctx.Done():
			return
		case now := <-tick.C:
			if !cl.checkAll(now) {
				return
			}
		}
	}
}

// checkAll checks all connections. It returns false if there are none.
func (cl *Client) checkAll(now time.Time) bool {
	cl.mu.Lock()
	var open []*clientConn
	for addr, p := range cl.peers {
		open = append(open, p.conns...)
		if len(p.conns) == 0 && p.dialing == nil && now.After(p.plainUntil) {
			delete(cl.peers, addr)
		}
	}
	cl.checking = len(open) > 0
	cl.mu.Unlock()
	for _, c := range open {
		c.check(now)
	}
	return len(open) > 0
}

// Close ends all connections. The calls in progress end with an unknown fate.
func (cl *Client) Close() {
	cl.stop()
	for _, c := range cl.open() {
		c.failNow(&ClosedError{})
	}
}

// CloseIdle ends the connections without calls.
func (cl *Client) CloseIdle() {
	for _, c := range cl.open() {
		c.closeIdle()
	}
}

// open returns the open connections.
func (cl *Client) open() []*clientConn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var open []*clientConn
	for _, p := range cl.peers {
		open = append(open, p.conns...)
	}
	return open
}
