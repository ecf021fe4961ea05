package node

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
)

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

// close lets go of the answer's body.
func (a *answer) close() {
	if a.body != nil {
		_ = a.body.Close()
	}
}

// copyBufferSize is how much of a body is copied at once, in bytes.
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
