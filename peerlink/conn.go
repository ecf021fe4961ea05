package peerlink

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxPending is how many unwritten bytes a connection may have. A peer that sends pings
	// and doesn't read could otherwise fill the memory.
	maxPending = 1 << 20
	// stalledPending is the number of unwritten bytes above which bodies wait and new calls
	// go to another connection.
	stalledPending = 32 << 10
	// stallTimeout is how long a write may take before the connection ends. It is as long
	// as the least time that a node gives a caller to read a response.
	stallTimeout = 5 * time.Second
	// readBuffer is the size of the buffer of a connection. It holds several usual frames,
	// so that one system call reads all that have arrived.
	readBuffer = 16 << 10
	// keptBuffer is the longest write buffer that a connection keeps for reuse.
	keptBuffer = 64 << 10
)

// Stats are the totals of all connections of a Client or a Server.
type Stats struct {
	// Conns and Streams are the numbers of open connections and calls in progress.
	Conns, Streams atomic.Int64
	// Opened counts connections, Calls calls.
	Opened, Calls atomic.Int64
	// BytesIn and BytesOut count the bytes of frames, Writes the writes that sent them.
	BytesIn, BytesOut, Writes atomic.Int64
	// Fallbacks counts the upgrades that a peer did not accept, Malformed the connections
	// that ended with a *FrameError.
	Fallbacks, Malformed atomic.Int64
}

// conn is the part of a connection that both sides share.
type conn struct {
	nc    net.Conn
	stats *Stats
	// raw allows a write that does not wait; nil if the connection has none.
	raw syscall.RawConn
	// attempt is the write in progress on raw.
	attempt struct {
		data []byte
		n    int
		err  error
		do   func(fd uintptr) bool
	}

	mu sync.Mutex
	// pending is what has not been handed to a write; spare is a buffer to replace it.
	// taken is how many bytes have been handed to writes. writing is set while a goroutine
	// writes.
	pending, spare []byte
	taken          uint64
	writing        bool
	// err is why the connection ended.
	err error
	// room is closed when the pending bytes were written, nil if nobody waits for it.
	room chan struct{}
	// backlog is the length of pending while a write waits for the peer.
	backlog atomic.Int64
	// lastRead is when bytes arrived last, in nanoseconds of the Unix epoch.
	lastRead atomic.Int64
	// ended is called once with mu held, when the connection ends.
	ended func(err error)
}

// init prepares a connection. raw may be nil.
func (c *conn) init(nc net.Conn, raw syscall.RawConn, stats *Stats, ended func(error)) {
	c.nc, c.raw, c.stats, c.ended = nc, raw, stats, ended
	c.attempt.do = func(fd uintptr) bool {
		for c.attempt.n < len(c.attempt.data) {
			n, err := syscall.Write(int(fd), c.attempt.data[c.attempt.n:])
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				if !errors.Is(err, syscall.EAGAIN) {
					c.attempt.err = err
				}
				return true
			}
			c.attempt.n += n
		}
		return true
	}
	c.lastRead.Store(time.Now().UnixNano())
	stats.Conns.Add(1)
	stats.Opened.Add(1)
}

// rawConnOf returns what allows writes on a connection that don't wait, nil if the bytes
// written are not those that the kernel sends (TLS) or it is no connection of the kernel.
func rawConnOf(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// flush writes what is pending, unless another goroutine does. c.mu is held.
//
// The caller does not wait for the peer: what the kernel doesn't take at once is left to a
// goroutine of its own.
func (c *conn) flush() {
	if c.writing {
		if len(c.pending) > maxPending {
			c.fail(&StalledError{})
		}
		return
	}
	if c.raw == nil {
		if len(c.pending) > 0 && c.err == nil {
			c.writing = true
			go c.flushWaiting(nil)
		}
		return
	}
	c.writing = true
	for len(c.pending) > 0 && c.err == nil {
		batch := c.takePending()
		c.mu.Unlock()
		n, err := c.tryWrite(batch)
		c.mu.Lock()
		if err != nil {
			c.fail(err)
			break
		}
		if n < len(batch) {
			c.backlog.Store(int64(len(batch) - n))
			go c.flushWaiting(batch[n:])
			return
		}
		c.keep(batch)
	}
	c.writing = false
}

// takePending takes what is pending for a write. c.mu is held.
func (c *conn) takePending() []byte {
	batch := c.pending
	c.pending, c.spare = c.spare[:0], nil
	c.taken += uint64(len(batch))
	c.wakeWriters()
	return batch
}

// keep keeps a buffer that was written. c.mu is held.
func (c *conn) keep(batch []byte) {
	if cap(batch) <= keptBuffer {
		c.spare = batch
	}
}

// tryWrite writes what the kernel takes at once.
func (c *conn) tryWrite(b []byte) (int, error) {
	c.attempt.data, c.attempt.n, c.attempt.err = b, 0, nil
	err := c.raw.Write(c.attempt.do)
	if err == nil {
		err = c.attempt.err
	}
	c.attempt.data = nil
	c.count(c.attempt.n)
	return c.attempt.n, err
}

func (c *conn) count(written int) {
	c.stats.Writes.Add(1)
	c.stats.BytesOut.Add(int64(written))
}

// flushWaiting writes the rest of a batch and all that becomes pending meanwhile, and waits
// for the peer to take it. c.writing is set.
func (c *conn) flushWaiting(rest []byte) {
	for {
		if len(rest) > 0 {
			_ = c.nc.SetWriteDeadline(time.Now().Add(stallTimeout))
			n, err := c.nc.Write(rest)
			c.count(n)
			_ = c.nc.SetWriteDeadline(time.Time{})
			if err != nil {
				var timeout net.Error
				if errors.As(err, &timeout) && timeout.Timeout() {
					err = &StalledError{After: stallTimeout}
				}
				c.mu.Lock()
				c.fail(err)
				c.writing = false
				c.mu.Unlock()
				return
			}
		}
		c.mu.Lock()
		if rest != nil {
			c.keep(rest[:0])
		}
		if len(c.pending) == 0 || c.err != nil {
			c.writing = false
			c.backlog.Store(0)
			c.mu.Unlock()
			return
		}
		rest = c.takePending()
		c.backlog.Store(int64(len(rest)))
		c.mu.Unlock()
	}
}

// wakeWriters wakes those who wait for room. c.mu is held.
func (c *conn) wakeWriters() {
	if c.room != nil {
		close(c.room)
		c.room = nil
	}
}

// stalled returns a channel that closes when there is room for a part of a body, nil if
// there is room. c.mu is held.
func (c *conn) stalled() <-chan struct{} {
	if len(c.pending) <= stalledPending || c.err != nil {
		return nil
	}
	if c.room == nil {
		c.room = make(chan struct{})
	}
	return c.room
}

// fail ends the connection. Only the first call has an effect. c.mu is held.
func (c *conn) fail(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	c.stats.Conns.Add(-1)
	if errors.As(err, new(*FrameError)) {
		c.stats.Malformed.Add(1)
	}
	c.wakeWriters()
	if c.raw != nil {
		_ = c.nc.Close()
	} else {
		// A TLS connection waits for its peer to take the end.
		go func() { _ = c.nc.Close() }()
	}
	c.ended(err)
}

// failNow is fail for a caller that does not hold c.mu.
func (c *conn) failNow(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
}

// send appends a frame and writes it.
func (c *conn) send(typ frameType, stream uint32, payload []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(typ, stream, payload)
}

// add is send with c.mu held.
func (c *conn) add(typ frameType, stream uint32, payload []byte) {
	if c.err != nil {
		return
	}
	c.pending = appendFrame(c.pending, typ, 0, stream, payload)
	c.flush()
}

// numberPayload is the payload of a window or go-away frame.
func numberPayload(v uint32) []byte {
	return []byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)}
}

// read reads frames until the connection ends, and passes each to handle with a payload that
// is valid during the call. first is what was read before. It returns why it ended.
func (c *conn) read(first []byte, handle func(h header, payload []byte) error) error {
	buf := make([]byte, max(readBuffer, len(first)))
	end := copy(buf, first)
	c.stats.BytesIn.Add(int64(end))
	for {
		used, err := handleFrames(buf[:end], handle)
		if err != nil {
			return err
		}
		end = copy(buf, buf[used:end])
		if buf, err = fit(buf, end); err != nil {
			return err
		}
		n, err := c.nc.Read(buf[end:])
		if n > 0 {
			c.lastRead.Store(time.Now().UnixNano())
			c.stats.BytesIn.Add(int64(n))
			end += n
		}
		if err != nil {
			// What was read with the error still counts.
			if _, ferr := handleFrames(buf[:end], handle); ferr != nil {
				return ferr
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // io.EOF would be the end of a body
			}
			return err
		}
	}
}

// handleFrames handles the complete frames at the start of b and returns their size.
func handleFrames(b []byte, handle func(h header, payload []byte) error) (used int, err error) {
	for len(b)-used >= headerSize {
		h, err := readHeader(b[used:])
		if err != nil {
			return used, err
		}
		size := headerSize + h.length
		if len(b)-used < size {
			break
		}
		if err := handle(h, b[used+headerSize:used+size]); err != nil {
			return used, err
		}
		used += size
	}
	return used, nil
}

// fit returns a buffer with the first end bytes of buf and room for the rest of the frame
// that begins there. A buffer that was enlarged for one frame is given up after it.
func fit(buf []byte, end int) ([]byte, error) {
	need := readBuffer
	if end >= headerSize {
		h, err := readHeader(buf)
		if err != nil {
			return nil, err
		}
		need = max(need, headerSize+h.length)
	}
	if need <= len(buf) && (len(buf) == readBuffer || need > readBuffer || end > 0) {
		return buf, nil
	}
	fitting := make([]byte, need)
	copy(fitting, buf[:end])
	return fitting, nil
}
