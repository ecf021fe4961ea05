package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
)

// hopHeaders belong to one connection and are never passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader returns a copy of h that stripHop has been applied to, with room
// for what the node adds. The values are shared: they are replaced, never
// written to.
func copyHeader(h http.Header, room int) http.Header {
	out := make(http.Header, len(h)+room)
	for name, values := range h {
		out[name] = slices.Clip(values)
	}
	stripHop(out)
	return out
}

// stripHop removes hop headers from h, those that Connection names included.
func stripHop(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// field is a header with one value. The name is in canonical form.
type field struct{ name, value string }

// setFields sets headers, replacing what was there.
func setFields(h http.Header, fields ...field) {
	values := make([]string, len(fields))
	for i, f := range fields {
		values[i] = f.value
		h[f.name] = values[i : i+1 : i+1]
	}
}

// answer is what one attempt, or a whole dispatch, came back with.
type answer struct {
	report  call.Report
	status  int
	header  http.Header
	body    io.ReadCloser
	trailer http.Header
	// resp supplies trailers that are known only after the body.
	resp *http.Response
	// retryAfter accompanies refusals.
	refusal *refusal
	target  string
	// home is the incarnation that a keyed call was passed on to, or sought.
	home string
	// decision is set where it is neither admitted nor refused.
	decision observe.Decision
	// outside is true for an answer that leaves the system: callers get the
	// outcome and the reason, not what nodes tell each other.
	outside bool
	// plain is true for an answer of which no report is told, as a dialect has
	// its own words.
	plain bool
	// reported is true when a node's own report came with the answer; its
	// CreditLeft can be trusted even when the outcome is unknown.
	reported bool
	// ended is why no further attempt followed the last one.
	ended retry.Why
	// stale is the age in seconds of a stored answer.
	stale string
}

// trailers returns the trailers; their values are there once the body has
// ended.
func (a *answer) trailers() http.Header {
	source := a.trailer
	if a.resp != nil {
		source = a.resp.Trailer
	}
	stripOwn(source)
	return source
}

// trailerNames returns the names announced before the body.
func (a *answer) trailerNames() []string {
	source := a.trailers()
	names := make([]string, 0, len(source))
	for name := range source {
		names = append(names, name)
	}
	return names
}

func (a *answer) close() {
	if a.body != nil {
		_ = a.body.Close()
	}
}

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeAnswer streams a to w. When the source breaks midway the connection is
// torn down, so that a truncated answer can't pass for a complete one: the
// receiver sees an unfinished chunk or a short Content-Length.
func writeAnswer(w http.ResponseWriter, a *answer) error {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	announced := a.trailerNames()
	for _, name := range announced {
		h.Add("Trailer", name)
	}
	switch {
	case a.plain:
	case a.outside:
		tellOutside(h, a.report)
	default:
		a.report.Inject(h)
	}
	if a.stale != "" {
		h.Set(call.HeaderStale, a.stale)
	}
	w.WriteHeader(a.status)
	if a.body == nil {
		return nil
	}
	if err := stream(w, a.body); err != nil {
		return err
	}
	for name, values := range a.trailers() {
		if !slices.Contains(announced, name) {
			// net/http sends a trailer that was not announced under this name.
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
	return nil
}

// insideHeaders are what only nodes tell each other.
var insideHeaders = []string{call.HeaderWorst, call.HeaderCreditLeft, call.HeaderLoad, call.HeaderPressure, call.HeaderWork}

// tellOutside writes the part of a report that callers may know.
func tellOutside(h http.Header, r call.Report) {
	for _, name := range insideHeaders {
		delete(h, name)
	}
	h.Set(call.HeaderOutcome, r.Outcome.String())
	if r.Reason != call.ReasonNone {
		h.Set(call.HeaderReason, string(r.Reason))
	}
	if r.Hop != "" {
		h.Set(call.HeaderHop, r.Hop)
	}
}

// stream copies src to w, flushing whenever the source pauses.
func stream(w http.ResponseWriter, src io.Reader) error {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	flusher := http.NewResponseController(w)
	for {
		n, err := src.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return &WriteError{Cause: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &TruncatedError{Cause: err}
		}
		if n < len(buf) {
			if ferr := flusher.Flush(); ferr != nil {
				return &WriteError{Cause: ferr}
			}
		}
	}
}

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
