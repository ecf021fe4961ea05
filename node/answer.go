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

// answer is the result of one attempt or of a whole dispatch.
type answer struct {
	report  call.Report
	status  int
	header  http.Header
	body    io.ReadCloser
	trailer http.Header
	// resp supplies trailers that are known only after the body.
	resp *http.Response
	// refusal has the outcome, the reason and the Retry-After of a call that has no
	// complete answer.
	refusal *refusal
	target  string
	// owner is the incarnation to which a keyed call was, or was to be, forwarded.
	owner string
	// decision is set if the recorded decision is neither admitted nor refused.
	decision observe.Decision
	// toCaller is set for an answer that leaves the system. Its caller gets the outcome
	// and the reason, but not the data that nodes exchange.
	toCaller bool
	// withoutReport is set for an answer whose headers carry no report, because a dialect
	// has its own headers.
	withoutReport bool
	// reported is set if a node's own report came with the answer. Its CreditLeft can
	// then be trusted even if the outcome is unknown.
	reported bool
	// retryStop is the reason why no further attempt followed the last one.
	retryStop retry.VerdictReason
	// stale is the age in seconds of a stored answer.
	stale string
}

// trailers returns the trailers. Their values are available after the end of the body.
func (a *answer) trailers() http.Header {
	source := a.trailer
	if a.resp != nil {
		source = a.resp.Trailer
	}
	stripNodeHeaders(source)
	return source
}

// trailerNames returns the names of the trailers that are announced before the body.
func (a *answer) trailerNames() []string {
	source := a.trailers()
	names := make([]string, 0, len(source))
	for name := range source {
		names = append(names, name)
	}
	return names
}

// close closes the answer's body, if it has one.
func (a *answer) close() {
	if a.body != nil {
		_ = a.body.Close()
	}
}

// copyBufferSize is the number of bytes of a body that are copied at once.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeAnswer streams a to w. After an error the connection is broken, so that a
// truncated answer can't be taken for a complete one: the receiver sees an unfinished
// chunk or fewer bytes than Content-Length.
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
	case a.withoutReport:
	case a.toCaller:
		writePublicReport(h, a.report)
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
			// net/http sends an unannounced trailer only under a name with this
			// prefix.
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
	return nil
}

// stream copies src to w and flushes after each read that doesn't fill the buffer. A body
// in memory is complete, so net/http sends it in one piece with the head when the handler
// returns.
func stream(w http.ResponseWriter, src io.Reader) error {
	if memory, ok := src.(io.WriterTo); ok {
		if _, err := memory.WriteTo(w); err != nil {
			return &WriteError{Cause: err}
		}
		return nil
	}
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
