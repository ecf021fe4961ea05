package peerlink

import (
	"context"
	"net/http"
	"time"
)

// outbound is the sending half of a stream. The mutex of its connection guards it.
type outbound struct {
	c      *conn
	stream uint32
	// credit is how many more bytes of the body the peer takes.
	credit int
	// sent is set once the last frame of the body was added; stop is set once no more may be.
	sent, stop bool
	// granted has an element when credit has grown or the stream has stopped.
	granted chan struct{}
}

func (o *outbound) notify() {
	if o.granted == nil {
		return
	}
	select {
	case o.granted <- struct{}{}:
	default:
	}
}

// grant lets the stream send more. c.mu is held.
func (o *outbound) grant(n uint32) bool {
	if uint64(o.credit)+uint64(n) > streamWindow {
		return false
	}
	o.credit += int(n)
	o.notify()
	return true
}

// halt ends the stream. c.mu is held.
func (o *outbound) halt() {
	o.stop = true
	o.notify()
}

// write sends a part of a body and waits while the peer doesn't take more, until done closes
// or the deadline is reached. c.mu is not held.
func (o *outbound) write(done <-chan struct{}, deadline time.Time, p []byte) error {
	for len(p) > 0 {
		n, wait := o.writeSome(p)
		p = p[n:]
		if n > 0 {
			continue
		}
		if err := o.wait(done, deadline, wait); err != nil {
			return err
		}
	}
	return nil
}

// writeSome sends what the peer takes now. If that is nothing, wait is what closes when the
// connection can take more, nil if the stream lacks credit.
func (o *outbound) writeSome(p []byte) (n int, wait <-chan struct{}) {
	o.c.mu.Lock()
	defer o.c.mu.Unlock()
	if o.stop || o.c.err != nil {
		return 0, nil
	}
	if room := o.c.stalled(); room != nil {
		return 0, room
	}
	n = min(len(p), o.credit)
	if n == 0 {
		if o.granted == nil {
			o.granted = make(chan struct{}, 1)
		}
		return 0, nil
	}
	o.credit -= n
	o.c.pending = appendData(o.c.pending, o.stream, p[:n], false)
	o.c.flush()
	return n, nil
}

// wait waits until the stream may send more.
func (o *outbound) wait(done <-chan struct{}, deadline time.Time, room <-chan struct{}) error {
	o.c.mu.Lock()
	granted, stop, err := o.granted, o.stop, o.c.err
	o.c.mu.Unlock()
	if err != nil {
		return err
	}
	if stop {
		return &AbortedError{}
	}
	expired, release := waitUntil(deadline)
	defer release()
	select {
	case <-granted:
	case <-room:
	case <-done:
		return context.Canceled
	case <-expired:
		return &TimeoutError{}
	}
	return nil
}

// end sends the end of the body and its trailers.
func (o *outbound) end(trailer http.Header) error {
	o.c.mu.Lock()
	defer o.c.mu.Unlock()
	switch {
	case o.c.err != nil:
		return o.c.err
	case o.stop:
		return &AbortedError{}
	}
	o.sent = true
	if len(trailer) == 0 {
		o.c.pending = appendFrame(o.c.pending, frameData, flagEnd, o.stream, nil)
		o.c.flush()
		return nil
	}
	start := len(o.c.pending)
	b, err := appendFields(beginFrame(o.c.pending, frameTrailer, o.stream), trailer, nil, nil)
	if err != nil || len(b)-start > maxPayload {
		o.c.pending = b[:start]
		return &EncodeError{Part: "trailer", Cause: err}
	}
	endFrame(b, start, flagEnd)
	o.c.pending = b
	o.c.flush()
	return nil
}
