package peerlink

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// Exchange is a call that is being served. It is also the context of the call, which ends
// when the caller gives the call up, when its connection ends and when the handler has
// returned. Except as a context, it must not be used after that.
type Exchange struct {
	Request *Request
	// Length is the length of the body, -1 if it is not known.
	Length int64

	c  *serverConn
	id uint32

	// The mutex of the connection guards the rest.
	in      inbound
	out     outbound
	started bool
	// ctxErr is why the context has ended, nil before.
	ctxErr error
	done   chan struct{}
	after  []*afterFunc
	// readBy and writeBy are the deadlines, zero if there is none.
	readBy, writeBy time.Time
}

type afterFunc struct{ f func() }

// Deadline implements context.Context. An Exchange has none.
func (*Exchange) Deadline() (time.Time, bool) { return time.Time{}, false }

// Value implements context.Context.
func (*Exchange) Value(any) any { return nil }

// Done implements context.Context.
func (e *Exchange) Done() <-chan struct{} {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	if e.done == nil {
		e.done = make(chan struct{})
		if e.ctxErr != nil {
			close(e.done)
		}
	}
	return e.done
}

// Err implements context.Context.
func (e *Exchange) Err() error {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.ctxErr
}

// AfterFunc calls f in a goroutine of its own once the context has ended, unless stop is
// called before. Package context uses it where it would otherwise start a goroutine for
// each context that is derived from this one.
func (e *Exchange) AfterFunc(f func()) (stop func() bool) {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	entry := &afterFunc{f: f}
	if e.ctxErr != nil {
		go f()
		return func() bool { return false }
	}
	e.after = append(e.after, entry)
	return func() bool {
		e.c.mu.Lock()
		defer e.c.mu.Unlock()
		i := slices.Index(e.after, entry)
		if i < 0 {
			return false
		}
		e.after = slices.Delete(e.after, i, i+1)
		return true
	}
}

// giveUp ends the context and both halves of the stream. c.mu is held.
func (e *Exchange) giveUp(err error) {
	if e.ctxErr != nil {
		return
	}
	e.c.live--
	e.ctxErr = context.Canceled
	if e.done != nil {
		close(e.done)
	}
	for _, entry := range e.after {
		go entry.f()
	}
	e.after = nil
	e.in.fail(err)
	e.out.halt()
}

// Whole returns the body if all of it came with the head.
func (e *Exchange) Whole() ([]byte, bool) {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	if !e.in.end || e.in.off > 0 || e.in.trailer != nil || len(e.in.buf) > maxInline {
		return nil, false
	}
	return e.in.buf, true
}

// SetReadDeadline bounds the reading of the body. The zero time removes the bound.
func (e *Exchange) SetReadDeadline(t time.Time) error {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	e.readBy = t
	e.in.notify()
	return nil
}

// SetWriteDeadline bounds the writing of the response.
func (e *Exchange) SetWriteDeadline(t time.Time) {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	e.writeBy = t
}

// Read reads the body.
func (e *Exchange) Read(p []byte) (int, error) {
	for {
		e.c.mu.Lock()
		if e.in.ready == nil {
			e.in.ready = make(chan struct{}, 1)
		}
		n, grant, err := e.in.take(p)
		if grant > 0 {
			e.c.add(frameWindow, e.id, numberPayload(grant))
		}
		readBy := e.readBy
		if e.in.end {
			for name, values := range e.in.trailer {
				if e.Request.Trailer == nil {
					e.Request.Trailer = make(http.Header)
				}
				e.Request.Trailer[name] = values
			}
		}
		e.c.mu.Unlock()
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if !readBy.IsZero() && !time.Now().Before(readBy) {
			return 0, &TimeoutError{}
		}
		expired, release := waitUntil(readBy)
		select {
		case <-e.in.ready:
		case <-expired:
		}
		release()
	}
}

// Respond sends the head of the response and the first part of its body, which may be all
// of it. An *EncodeError means that nothing was sent.
func (e *Exchange) Respond(r *Response, body []byte, end bool) error {
	inline := body[:min(len(body), maxInline)]
	if err := e.respond(r, inline, end && len(inline) == len(body)); err != nil {
		return err
	}
	if len(inline) == len(body) {
		return nil
	}
	if _, err := e.Write(body[len(inline):]); err != nil || !end {
		return err
	}
	return e.End(nil)
}

func (e *Exchange) respond(r *Response, body []byte, end bool) error {
	c := e.c
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return c.err
	case e.ctxErr != nil:
		return e.ctxErr
	}
	start := len(c.pending)
	b, err := appendResponse(beginFrame(c.pending, frameResponse, e.id), r)
	if err != nil {
		c.pending = b[:start]
		return err
	}
	c.pending = append(b, body...)
	flags := byte(0)
	if len(r.Trailer) > 0 {
		flags |= flagTrailers
	}
	if end {
		flags |= flagEnd
		e.out.sent = true
	}
	e.started = true
	endFrame(c.pending, start, flags)
	c.flush()
	return nil
}

// Started reports whether the head of the response was sent.
func (e *Exchange) Started() bool {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.started
}

// Write sends a part of the body. It waits while the caller doesn't read.
func (e *Exchange) Write(p []byte) (int, error) {
	e.c.mu.Lock()
	writeBy := e.writeBy
	e.c.mu.Unlock()
	if err := e.out.write(e.Done(), writeBy, p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// End sends the end of the body and its trailers.
func (e *Exchange) End(trailer http.Header) error { return e.out.end(trailer) }

// GoAway makes the connection of the call accept no further calls.
func (e *Exchange) GoAway() { e.c.goAway() }
