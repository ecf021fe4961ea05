package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// replayBody is a request body that is buffered in memory up to a limit, so that
// another attempt can follow one that provably did not run. A longer body is streamed
// once. It can't be retried after its first byte beyond the limit was sent.
//
// An attempt may be given up before it has sent a byte. The next one may then begin while
// the transport's write loop of the first still reads the body into its buffer. Both
// would read from the stream in turn, and the upstream would receive a request that looks
// complete but lacks pieces. An attempt therefore loses the stream in the same step that
// finds the stream unused.
type replayBody struct {
	head []byte
	rest io.Reader
	// end is called when rest has been read to its end.
	end func()

	// shared lets every attempt read the stream (Ablation.SharedStream).
	shared bool

	mu sync.Mutex
	// reader is the only reader that may use rest; used is set once it has begun to
	// read.
	reader *restReader
	used   bool
}

// firstBodyBytes is the size of the first buffer for a body, and bodyGrowth the factor by which it
// grows. What a sender announces takes no memory before it arrives.
const (
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
)

// readBody reads up to limit bytes of r into memory. The rest of r is streamed.
func readBody(r io.Reader, length int64, limit int) (*replayBody, error) {
	if r == nil || r == http.NoBody || length == 0 {
		return &replayBody{}, nil
	}
	// One byte more shows whether there is a rest, or the end.
	most := limit + 1
	size := min(firstBodyBytes, most)
	if length > 0 && length < int64(size) {
		size = int(length) + 1
	}
	head := make([]byte, 0, size)
	for len(head) < most {
		if len(head) == cap(head) {
			head = append(make([]byte, 0, min(bodyGrowth*cap(head), most)), head...)
		}
		count, err := r.Read(head[len(head):cap(head)])
		head = head[:len(head)+count]
		if isEOF(err) {
			return &replayBody{head: head}, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return &replayBody{head: head, rest: r}, nil
}

// rewind takes the body from the previous attempt, and reports whether it can be sent
// again.
func (b *replayBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
	return !b.used || b.shared
}

// inMemory reports whether the complete body is in memory.
func (b *replayBody) inMemory() bool { return b.rest == nil }

// onEnd registers a function to be called once the body has been read to its end. If the
// complete body is in memory, onEnd calls the function at once.
func (b *replayBody) onEnd(end func()) {
	if b.inMemory() {
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

// claim reports whether reader may use rest, and if so marks rest as used.
func (b *replayBody) claim(reader *restReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != reader && !b.shared {
		return false
	}
	b.used = true
	return true
}

// restReader reads the streamed part of a body for one attempt.
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

// inMemory reports whether the body of an answer is in memory. Only such bodies write
// themselves.
func inMemory(body io.Reader) bool {
	_, ok := body.(io.WriterTo)
	return ok
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
