package peerlink

import (
	"io"
	"net/http"
	"time"
)

// inbound is the part of a body that has arrived and is not read. The mutex of its connection
// guards it.
type inbound struct {
	buf []byte
	off int
	// credit is how many more bytes the peer may send; read is how many were read since the
	// peer was last told.
	credit, read int
	// end is set once the whole body has arrived; err is why no more will.
	end     bool
	err     error
	trailer http.Header
	// ready has an element when something has changed since the reader last looked.
	ready chan struct{}
}

// first sets the part of the body that came with the head. It copies the part: an empty part
// of the connection's read buffer would also let add append to that buffer.
func (b *inbound) first(part []byte, end bool) {
	b.buf, b.end, b.credit = nil, end, streamWindow
	if len(part) > 0 {
		b.buf = append(make([]byte, 0, len(part)), part...)
	}
}

// add adds a part that has arrived. It returns false if the peer had no credit for it.
func (b *inbound) add(part []byte, end bool) bool {
	if len(part) > b.credit || b.end {
		return false
	}
	b.credit -= len(part)
	if unread := len(b.buf) - b.off; unread <= b.off {
		b.buf, b.off = b.buf[:copy(b.buf, b.buf[b.off:])], 0
	}
	b.buf = append(b.buf, part...)
	b.end = end
	b.notify()
	return true
}

// fail ends a body that is not complete.
func (b *inbound) fail(err error) {
	if !b.end && b.err == nil {
		b.err = err
		b.notify()
	}
}

func (b *inbound) notify() {
	if b.ready == nil {
		return
	}
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take reads what has arrived. It returns 0 and no error if the reader must wait. grant is
// how many more bytes the peer may be allowed to send, 0 for none yet.
func (b *inbound) take(p []byte) (n int, grant uint32, err error) {
	if b.off < len(b.buf) {
		n = copy(p, b.buf[b.off:])
		b.off += n
		if b.off == len(b.buf) {
			b.buf, b.off = nil, 0
		}
		b.read += n
		if b.read >= streamWindow/2 && !b.end {
			grant = uint32(min(b.read, streamWindow-b.credit))
			b.credit += int(grant)
			b.read = 0
		}
		return n, grant, nil
	}
	switch {
	case b.err != nil:
		return 0, 0, b.err
	case b.end:
		return 0, 0, io.EOF
	}
	return 0, 0, nil
}

// waitUntil returns a channel that fires at a deadline, nil without one, and a function that
// releases it.
func waitUntil(deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, func() { timer.Stop() }
}
