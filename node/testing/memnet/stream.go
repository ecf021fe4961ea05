package memnet

import (
	"io"
	"sync"
	"time"
)

// streamBytes is the buffer size of one direction of a connection, in bytes.
const streamBytes = 64 << 10

// stream is one direction of a connection: the pieces in transit, each with its
// arrival time.
type stream struct {
	mu     sync.Mutex
	pieces []piece
	size   int
	// ended: the writer has closed. left: the reader has closed. broken: the
	// connection was reset and its buffered bytes are lost.
	ended, left, broken bool
	changed             chan struct{}
}

// piece is a number of bytes, or the end of the stream if data is empty.
type piece struct {
	data    []byte
	arrives time.Time
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// notify wakes all waiting readers and writers. The caller holds s.mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// readWait describes the events that a blocked reader waits for.
type readWait struct {
	changed <-chan struct{}
	thawed  <-chan struct{}
	arrives time.Time
}

// timer returns a channel that fires when the next piece arrives.
func (w *readWait) timer() (fires <-chan time.Time, stop func()) {
	if w.arrives.IsZero() {
		return nil, func() {}
	}
	// At least a nanosecond, for the reason given in deadline.set.
	timer := time.NewTimer(max(time.Until(w.arrives), 1))
	return timer.C, func() { timer.Stop() }
}

// read returns bytes that have arrived, or what to wait for. thawed is not nil while
// one of the hosts is frozen.
func (s *stream) read(p []byte, thawed <-chan struct{}) (int, *readWait, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broken:
		return 0, nil, opError("read", errReset)
	case thawed != nil, len(s.pieces) == 0:
		return 0, &readWait{changed: s.changed, thawed: thawed}, nil
	}
	first := &s.pieces[0]
	if time.Now().Before(first.arrives) {
		return 0, &readWait{changed: s.changed, arrives: first.arrives}, nil
	}
	if len(first.data) == 0 {
		return 0, nil, io.EOF
	}
	count := copy(p, first.data)
	first.data = first.data[count:]
	s.size -= count
	if len(first.data) == 0 {
		s.pieces = s.pieces[1:]
	}
	s.notify()
	return count, nil, nil
}

// write buffers as many bytes as there is space for. full is not nil if there is
// none; it closes when a retry may succeed.
func (s *stream) write(p []byte, arrives time.Time) (count int, full <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken || s.left || s.ended {
		return 0, nil, errReset
	}
	count = min(len(p), streamBytes-s.size)
	if count == 0 {
		return 0, s.changed, nil
	}
	// A shorter delay must not let later bytes overtake earlier ones.
	if n := len(s.pieces); n > 0 && arrives.Before(s.pieces[n-1].arrives) {
		arrives = s.pieces[n-1].arrives
	}
	s.pieces = append(s.pieces, piece{data: append([]byte(nil), p[:count]...), arrives: arrives})
	s.size += count
	s.notify()
	return count, nil, nil
}

// closeWrite makes the reader receive io.EOF after all bytes.
func (s *stream) closeWrite(arrives time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if n := len(s.pieces); n > 0 && arrives.Before(s.pieces[n-1].arrives) {
		arrives = s.pieces[n-1].arrives
	}
	s.pieces = append(s.pieces, piece{arrives: arrives})
	s.notify()
}

// closeRead makes further writes fail, because the reader has closed.
func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	s.notify()
}

func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.pieces = nil
	s.notify()
}
