package peerlink

import (
	"context"
	"io"
	"maps"
	"math"
	"net/http"
	"sync/atomic"
	"time"
)

// clientConn is the calling side of a connection.
type clientConn struct {
	conn
	client *Client
	addr   string
	// streams are the calls in progress; last is the stream of the latest.
	streams map[uint32]*stream
	last    uint32
	// leaving is set once the peer takes no further calls, or the streams are used up.
	leaving bool
	// load is the number of calls in progress. It is at least the length of streams.
	load atomic.Int32
	// idleSince is when the last call ended, in nanoseconds of the Unix epoch.
	idleSince atomic.Int64
	// busySince is when the connection last got a call while it had none.
	busySince atomic.Int64
	// unfit is set while the connection gets no new calls.
	unfit atomic.Bool
	// pinged is set while a ping has no answer. Only the checking goroutine uses it.
	pinged bool
}

// stream is a call in progress. The mutex of the connection guards it.
type stream struct {
	c  *clientConn
	id uint32
	// begin is the place of the request frame among the bytes of the connection; size is its
	// length.
	begin uint64
	size  int
	resp  *Response
	err   error
	in    inbound
	out   outbound
	// ready is in.ready.
	ready chan struct{}
	// closed is closed when the call has ended, nil unless a goroutine sends the body.
	closed chan struct{}
}

// usable reports whether the connection gets new calls.
func (c *clientConn) usable() bool {
	return !c.unfit.Load() && c.backlog.Load() <= stalledPending
}

// start sends the request of a call. It returns nil if the connection takes no calls, and an
// *EncodeError if the request can't be encoded. Nothing was sent in either case.
func (c *clientConn) start(r *Request, body []byte, source io.Reader, length int64) (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.leaving || len(c.streams) >= maxStreams {
		return nil, nil
	}
	s := c.client.newStream()
	s.c, s.id = c, c.last+1
	begin := len(c.pending)
	b, err := appendRequest(beginFrame(c.pending, frameRequest, s.id), r, length)
	if err != nil {
		c.pending = b[:begin]
		c.client.free.Put(s)
		return nil, err
	}
	inline := body[:min(len(body), maxInline)]
	whole := source == nil && len(inline) == len(body) && len(r.Trailer) == 0
	flags := byte(0)
	if whole {
		flags |= flagEnd
	}
	if len(r.Trailer) > 0 {
		flags |= flagTrailers
	}
	c.pending = append(b, inline...)
	endFrame(c.pending, begin, flags)
	s.begin, s.size = c.taken+uint64(begin), len(c.pending)-begin
	s.in = inbound{ready: s.ready, credit: streamWindow}
	s.out = outbound{c: &c.conn, stream: s.id, credit: streamWindow, sent: whole}
	c.last = s.id
	if c.last == math.MaxInt32 {
		c.leaving = true
		c.unfit.Store(true)
	}
	c.streams[s.id] = s
	if c.load.Add(1) == 1 {
		c.busySince.Store(time.Now().UnixNano())
	}
	c.client.stats.Streams.Add(1)
	c.client.stats.Calls.Add(1)
	if !whole {
		s.closed = make(chan struct{})
		go s.sendBody(body[len(inline):], source, r.Trailer)
	}
	c.flush()
	return s, nil
}

// sendBody sends the rest of a body.
func (s *stream) sendBody(rest []byte, source io.Reader, trailer http.Header) {
	closed, out := s.closed, &s.out
	if out.write(closed, time.Time{}, rest) != nil {
		return
	}
	if source != nil && !s.copyBody(source) {
		return
	}
	_ = out.end(trailer)
}

// copyBody sends what it reads. It returns false if the body is not complete: the peer must
// not take it for one that is.
func (s *stream) copyBody(source io.Reader) bool {
	buf := make([]byte, maxInline)
	for {
		n, err := source.Read(buf)
		if n > 0 && s.out.write(s.closed, time.Time{}, buf[:n]) != nil {
			return false
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			s.c.mu.Lock()
			s.abandon(err)
			s.c.mu.Unlock()
			return false
		}
	}
}

// abandon gives the call up and tells the peer. c.mu is held.
func (s *stream) abandon(err error) {
	if s.c.streams[s.id] != s {
		return
	}
	s.out.sent = true
	s.finish(err)
	s.c.add(frameCancel, s.id, nil)
}

// finish ends the call. err is nil if its response is complete. c.mu is held.
func (s *stream) finish(err error) {
	c := s.c
	if c.streams[s.id] != s {
		return
	}
	delete(c.streams, s.id)
	c.client.stats.Streams.Add(-1)
	if c.load.Add(-1) == 0 {
		c.idleSince.Store(time.Now().UnixNano())
	}
	if s.resp == nil && s.err == nil {
		s.err = err
	}
	if err != nil {
		s.in.fail(err)
	}
	s.out.halt()
	if s.closed != nil {
		close(s.closed)
	}
	s.in.notify()
	if c.leaving && len(c.streams) == 0 {
		c.fail(&GoneError{})
	}
	if err == nil && !s.out.sent {
		// The peer has answered without the rest of the body. This comes last, since c.mu is
		// released during a write.
		c.add(frameCancel, s.id, nil)
	}
}

// await waits for the head of the response.
func (s *stream) await(ctx context.Context) (*Response, *Body, error) {
	select {
	case <-s.ready:
	case <-ctx.Done():
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.resp == nil && s.err == nil {
		s.giveUp(ctx.Err())
	}
	if s.err != nil {
		return nil, nil, s.err
	}
	resp := s.resp
	if s.in.end && s.in.trailer == nil && s.closed == nil {
		// The call has ended, so nothing refers to s any more.
		body := &Body{whole: s.in.buf}
		s.recycle()
		return resp, body, nil
	}
	if resp.Trailer == nil {
		resp.Trailer = make(http.Header)
	}
	return resp, &Body{s: s, ctx: ctx, trailer: resp.Trailer}, nil
}

// recycle keeps a call that has ended for reuse. c.mu is held.
func (s *stream) recycle() {
	ready := s.ready
	select {
	case <-ready:
	default:
	}
	free := &s.c.client.free
	*s = stream{ready: ready}
	free.Put(s)
}

// giveUp ends the wait for a response. A request of which no byte was handed to a write is
// made void. c.mu is held.
func (s *stream) giveUp(err error) {
	c := s.c
	if c.err != nil || s.begin < c.taken {
		s.abandon(err)
		return
	}
	at := int(s.begin - c.taken)
	c.pending[at+4] = byte(frameVoid)
	s.out.sent = true // nothing of this stream is sent any more
	s.finish(&UnsentError{Cause: err})
}

// ended implements conn.ended.
func (c *clientConn) ended(err error) {
	c.unfit.Store(true)
	calls := len(c.streams)
	for _, s := range c.streams {
		cause := err
		if s.begin >= c.taken {
			cause = &UnsentError{Cause: err}
		}
		s.finish(cause)
	}
	if c.client.cfg.Ended != nil {
		c.client.cfg.Ended(c.addr, err, calls)
	}
}

// check pings or closes a connection that is silent or idle.
func (c *clientConn) check(now time.Time) {
	silent := now.Sub(time.Unix(0, max(c.lastRead.Load(), c.busySince.Load())))
	if c.load.Load() == 0 {
		if now.Sub(time.Unix(0, c.idleSince.Load())) >= idleTimeout {
			c.closeIdle()
		}
		return
	}
	if silent < pingAfter {
		if c.pinged {
			c.pinged = false
			c.mu.Lock()
			c.unfit.Store(c.leaving || c.err != nil)
			c.mu.Unlock()
		}
		return
	}
	if silent >= silenceTimeout {
		c.failNow(&SilentError{After: silenceTimeout})
		return
	}
	if !c.pinged {
		c.pinged = true
		c.send(framePing, 0, nil)
		return
	}
	// The ping has had checkInterval.
	c.unfit.Store(true)
}

func (c *clientConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) == 0 {
		c.fail(&ClosedError{})
	}
}

// handle handles a frame.
func (c *clientConn) handle(h header, b []byte) error {
	switch h.typ {
	case frameResponse:
		return c.response(h, b)
	case frameData, frameTrailer, frameWindow, frameCancel, frameRefused:
		return c.forStream(h, b)
	case framePing:
		c.send(framePong, 0, nil)
		return nil
	case framePong, frameVoid:
		return nil
	case frameGoAway:
		return c.goneAway(h, b)
	default:
		return &FrameError{Frame: h.typ.String(), Want: "one that a serving node sends"}
	}
}

// response handles the head of a response.
func (c *clientConn) response(h header, b []byte) error {
	resp, body, err := readResponse(b, h.flags)
	if err != nil {
		return err
	}
	if len(body) > maxInline {
		return &FrameError{Frame: h.typ.String(), Want: "a body of at most 16 KiB"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.find(h)
	if s == nil {
		return err
	}
	if s.resp != nil {
		return &FrameError{Frame: h.typ.String(), Want: "one response for each call"}
	}
	s.resp = resp
	s.in.first(body, h.flags&flagEnd != 0)
	if s.in.end {
		s.finish(nil)
		return nil
	}
	s.in.notify()
	return nil
}

// find returns the call of a frame, nil if it has ended. c.mu is held.
func (c *clientConn) find(h header) (*stream, error) {
	if h.stream == 0 || h.stream > c.last {
		return nil, &FrameError{Frame: h.typ.String(), Want: "the stream of a call"}
	}
	return c.streams[h.stream], nil
}

// forStream handles a frame of a call other than the head of its response.
func (c *clientConn) forStream(h header, b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.find(h)
	if s == nil {
		return err
	}
	switch h.typ {
	case frameRefused:
		if s.resp != nil {
			return &FrameError{Frame: h.typ.String(), Want: "no refusal after a response"}
		}
		s.out.sent = true
		s.finish(&UnsentError{Cause: &RefusedError{}})
		return nil
	case frameCancel:
		s.out.sent = true
		s.finish(&AbortedError{})
		return nil
	case frameWindow:
		return grantWindow(&s.out, h, b)
	}
	if s.resp == nil {
		return &FrameError{Frame: h.typ.String(), Want: "a response before its body"}
	}
	if err := receive(&s.in, h, b); err != nil {
		return err
	}
	if s.in.end {
		s.finish(nil)
	}
	return nil
}

// goneAway handles the end of a peer: the calls that it did not accept were not run.
func (c *clientConn) goneAway(h header, b []byte) error {
	accepted, err := readNumber(h, b)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.unfit.Store(true)
	for id, s := range c.streams {
		if id <= accepted {
			continue
		}
		if s.resp != nil {
			return &FrameError{Frame: h.typ.String(), Want: "no response to a call that was not accepted"}
		}
		s.out.sent = true
		s.finish(&UnsentError{Cause: &GoneError{}})
	}
	if len(c.streams) == 0 {
		c.fail(&GoneError{})
	}
	return nil
}

// Body is the body of a response.
type Body struct {
	whole []byte
	off   int
	// s is nil for a body that came with the head.
	s       *stream
	ctx     context.Context
	trailer http.Header
	done    bool
}

// Whole reports whether the body came with the head. Such a body needs no Close.
func (b *Body) Whole() bool { return b.s == nil }

// Read implements io.Reader. A body that breaks off ends with an error other than io.EOF.
func (b *Body) Read(p []byte) (int, error) {
	if b.s == nil {
		if b.off == len(b.whole) {
			return 0, io.EOF
		}
		n := copy(p, b.whole[b.off:])
		b.off += n
		return n, nil
	}
	for {
		n, err := b.take(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		select {
		case <-b.s.ready:
		case <-b.ctx.Done():
			b.s.c.mu.Lock()
			b.s.abandon(b.ctx.Err())
			b.s.c.mu.Unlock()
		}
	}
}

func (b *Body) take(p []byte) (int, error) {
	s := b.s
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	n, grant, err := s.in.take(p)
	if grant > 0 && s.c.streams[s.id] == s {
		s.c.add(frameWindow, s.id, numberPayload(grant))
	}
	if err == io.EOF && s.in.trailer != nil && !b.done {
		b.done = true
		maps.Copy(b.trailer, s.in.trailer)
	}
	return n, err
}

// Close implements io.Closer. A call whose body is closed before its end is given up.
func (b *Body) Close() error {
	if b.s == nil {
		return nil
	}
	b.s.c.mu.Lock()
	defer b.s.c.mu.Unlock()
	b.s.abandon(context.Canceled)
	return nil
}
