package pipelining

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"

	"pollengauge.dev/headread"
)

// maxPending is the maximum number of bytes of a connection that are inspected ahead:
// a dozen heads, and more than the head of a caller may have.
const maxPending = 32 << 10

// splitter finds the boundaries between the requests of a connection in the received
// bytes. It does no I/O.
//
// Where a boundary is uncertain, it gives up for the rest of the connection. A
// boundary in the wrong place would make part of a body look like a request, which
// would run although no caller sent it.
type splitter struct {
	// pending holds the received bytes from the first unaccounted request on.
	pending []byte
	// base is the stream offset at which pending starts.
	base int64
	// skip counts the bytes before base that have not been received yet: the rest of
	// a body.
	skip int64
	// chunked is set while the request being served has a chunked body whose end has
	// not been found.
	chunked bool
	chunks  headread.ChunkScanner
	gaveUp  bool
}

// add appends received bytes.
func (s *splitter) add(p []byte) {
	if s.gaveUp {
		return
	}
	if s.skip > 0 {
		skipped := min(s.skip, int64(len(p)))
		s.skip -= skipped
		p = p[skipped:]
	}
	if len(s.pending)+len(p) > maxPending {
		s.giveUp()
		return
	}
	s.pending = append(s.pending, p...)
	// The part of a chunked body that has been received is not kept.
	s.finishChunked()
}

// giveUp stops the search for boundaries for the rest of the connection.
func (s *splitter) giveUp() {
	s.gaveUp = true
	s.pending = nil
}

// hasUnaccounted reports whether unaccounted bytes were received.
func (s *splitter) hasUnaccounted() bool { return !s.gaveUp && !s.chunked && len(s.pending) > 0 }

// serve accounts for r, which net/http has just read from the start of pending. It
// returns the stream offset of the end of r, -1 if that is not known, or not yet.
func (s *splitter) serve(r *http.Request) int64 {
	// After a request that ends the connection, net/http reads nothing more.
	head := 0
	if !s.gaveUp && !endsConnection(r) && s.finishChunked() && s.skip == 0 {
		head = s.headLength(r)
	}
	if head == 0 {
		s.giveUp()
		return -1
	}
	if r.ContentLength < 0 {
		s.consume(int64(head))
		s.chunked = true
		if !s.finishChunked() {
			return -1
		}
		return s.base
	}
	s.consume(int64(head) + r.ContentLength)
	return s.base
}

// headLength returns the length of the head of r, with which pending starts, or 0 if it
// does not start with the complete head of r. Empty lines before a request line, which
// net/http sometimes accepts, are not supported here.
func (s *splitter) headLength(r *http.Request) int {
	line := s.pending
	for _, part := range [...]string{r.Method, " ", r.RequestURI, " "} {
		if len(line) < len(part) || string(line[:len(part)]) != part {
			return 0
		}
		line = line[len(part):]
	}
	return max(headEnd(s.pending), 0)
}

// consume accounts for the next n bytes of the stream, whether received or not.
func (s *splitter) consume(n int64) {
	here := min(n, int64(len(s.pending)))
	s.skip = n - here
	s.base += n
	s.pending = append(s.pending[:0], s.pending[here:]...)
}

// finishChunked searches for the end of an open chunked body, and reports whether no
// chunked body is open any more.
func (s *splitter) finishChunked() bool {
	if !s.chunked {
		return true
	}
	length, ended, refusal := s.chunks.Skip(s.pending)
	if refusal != nil {
		s.giveUp()
		return false
	}
	s.consume(int64(length))
	s.chunked = !ended
	return ended
}

// next returns the request at the start of pending, and its length, if it may start
// early. It returns nil if there is no complete request or the request has to wait
// for its turn. consume removes it from pending.
func (s *splitter) next() (*http.Request, int64) {
	if s.gaveUp || s.skip > 0 || !s.finishChunked() {
		return nil, 0
	}
	end := headEnd(s.pending)
	if end <= 0 || !isPlainHead(s.pending[:end]) {
		return nil, 0
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(s.pending[:end])))
	if err != nil || !mayStartEarly(r) {
		return nil, 0
	}
	return r, int64(end)
}

// headEnd returns the length of the head at the start of b including its empty line,
// or -1 if b contains no empty line. Lines end with \n or \r\n, as in net/http.
func headEnd(b []byte) int {
	for at := 0; ; {
		line := bytes.IndexByte(b[at:], '\n')
		if line < 0 {
			return -1
		}
		at += line + 1
		switch rest := b[at:]; {
		case len(rest) >= 1 && rest[0] == '\n':
			return at + 1
		case len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// isPlainHead reports whether net/http is certain to accept a head: it has exactly
// one Host field and only printable ASCII characters.
func isPlainHead(head []byte) bool {
	for _, b := range head {
		if (b < ' ' && b != '\r' && b != '\n' && b != '\t') || b >= 0x7f {
			return false
		}
	}
	const host = "\nhost:"
	return bytes.Count(bytes.ToLower(head), []byte(host)) == 1
}

// mayStartEarly reports whether a request can be started from its head alone and
// leaves the connection open.
func mayStartEarly(r *http.Request) bool {
	if !safeMethod(r.Method) || endsConnection(r) || !plainHost(r.Host) {
		return false
	}
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		return false
	}
	for name := range r.Header {
		if !plainName(name) {
			return false
		}
	}
	for _, name := range []string{"Expect", "Upgrade", "Trailer", "Content-Length"} {
		if _, has := r.Header[name]; has {
			return false
		}
	}
	return true
}

// endsConnection reports whether net/http may close the connection with the response
// to r. Unlike Request.Close, net/http also takes "close" between blanks for the
// token, and it refuses a protocol of another major version.
func endsConnection(r *http.Request) bool {
	if r.Close || r.ProtoMajor != 1 || r.ProtoMinor < 1 {
		return true
	}
	return slices.ContainsFunc(r.Header["Connection"], func(value string) bool {
		return strings.Contains(strings.ToLower(value), "close")
	})
}

// plainHost reports whether net/http is certain to accept a Host: it refuses some
// characters.
func plainHost(host string) bool { return containsOnly(host, ".-_:[]") }

// plainName reports whether net/http is certain to accept a field name.
func plainName(name string) bool { return containsOnly(name, "-_") }

// containsOnly reports whether s is not empty and all its characters are letters,
// digits or in others.
func containsOnly(s, others string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune(others, r)
	})
}

// safeMethod reports whether method is one of the safe methods that callers pipeline.
func safeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }
