package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// replayBody is a request body held in memory as far as its bound, so that an
// attempt proved not-run can be followed by another. A longer body is streamed
// once and can't be retried after its first byte beyond the bound left.
//
// The failure: an attempt is given up before it sent a byte, and the next one
// begins, while the transport's write loop of the first still reads the body
// into its buffer. Both would take turns with the stream, and the upstream
// would get a request with pieces missing that looks whole. An attempt
// therefore loses the stream in the same step in which it is found unused.
type replayBody struct {
	head []byte
	rest io.Reader
	// end is called when rest has ended.
	end func()

	// shared lets every attempt have the stream (Ablation.SharedStream).
	shared bool

	mu sync.Mutex
	// reader is the one that may use rest, used tells that it has begun to.
	reader *restReader
	used   bool
}

// readBody reads up to limit bytes of r into memory.
func readBody(r io.Reader, length int64, limit int) (*replayBody, error) {
	if r == nil || r == http.NoBody || length == 0 {
		return &replayBody{}, nil
	}
	var buf bytes.Buffer
	if length > 0 && length <= int64(limit) {
		buf.Grow(int(length))
	}
	_, err := io.CopyN(&buf, r, int64(limit)+1)
	if errors.Is(err, io.EOF) {
		return &replayBody{head: buf.Bytes()}, nil
	}
	if err != nil {
		return nil, err
	}
	return &replayBody{head: buf.Bytes(), rest: r}, nil
}

// rewind takes the body back from the attempt before, and reports whether it
// can be sent again.
func (b *replayBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
	return !b.used || b.shared
}

// whole reports whether the body is all in memory.
func (b *replayBody) whole() bool { return b.rest == nil }

// onEnd has end called once the body has been read to its end, at once if it
// has already.
func (b *replayBody) onEnd(end func()) {
	if b.whole() {
		end()
		return
	}
	b.end = end
}

// open returns the body for one attempt and its length, -1 if unknown.
func (b *replayBody) open() (io.ReadCloser, int64) {
	if b.rest == nil {
		return memoryBody(b.head), int64(len(b.head))
	}
	reader := &restReader{body: b}
	b.mu.Lock()
	b.reader = reader
	b.mu.Unlock()
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), reader)), -1
}

// claim reports whether reader may use rest.
func (b *replayBody) claim(reader *restReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != reader && !b.shared {
		return false
	}
	b.used = true
	return true
}

// restReader reads the streamed part for one attempt.
type restReader struct{ body *replayBody }

func (r *restReader) Read(p []byte) (int, error) {
	if !r.body.claim(r) {
		return 0, &SealedError{}
	}
	count, err := r.body.rest.Read(p)
	if isEOF(err) && r.body.end != nil {
		r.body.end()
	}
	return count, err
}

// joinedBody reads from Reader and closes source.
type joinedBody struct {
	io.Reader
	source io.Closer
}

// Close implements io.Closer.
func (b *joinedBody) Close() error { return b.source.Close() }

// readBounded reads at most limit bytes of r and closes it.
func readBounded(r io.ReadCloser, limit int64) ([]byte, error) {
	defer func() { _ = r.Close() }()
	return io.ReadAll(io.LimitReader(r, limit))
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
