package pipelining

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
)

// maxPending bounds the bytes of a connection that are looked at, in bytes: a
// dozen heads, and more than a caller's head may have.
const maxPending = 32 << 10

// splitter finds where requests begin and end in what a connection receives.
// It does no I/O.
//
// Where a boundary isn't certain it gives up for the rest of the connection.
// The failure: a boundary in the wrong place makes a part of a body look like a
// request, which would run though no caller sent it.
type splitter struct {
	// pending starts at the first request that is not accounted for. While
	// chunked is set, that is the one being served.
	pending []byte
	// base is the offset in the stream at which pending starts.
	base int64
	// skip counts the bytes before base that are still to come: the rest of a
	// body.
	skip int64
	// chunked tells that the request being served has a chunked body whose end
	// is not found yet.
	chunked bool
	lost    bool
}

// add takes bytes that were received.
func (s *splitter) add(p []byte) {
	if s.lost {
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
}

// giveUp ends the search for the rest of the connection.
func (s *splitter) giveUp() {
	s.lost = true
	s.pending = nil
}

// behind tells whether bytes were received that are not accounted for.
func (s *splitter) behind() bool { return !s.lost && !s.chunked && len(s.pending) > 0 }

// serve accounts for r, which net/http has just read from the start of pending,
// and returns the offset of its end, -1 where that isn't known (yet).
func (s *splitter) serve(r *http.Request) int64 {
	// After a request that ends the connection nothing is read any more.
	if !s.lost && (endsConnection(r) || !s.settleChunked() || s.skip > 0 || !s.startsWith(r)) {
		s.giveUp()
	}
	if s.lost {
		return -1
	}
	if r.ContentLength < 0 {
		s.chunked = true
		if !s.settleChunked() {
			return -1
		}
		return s.base
	}
	s.drop(int64(headEnd(s.pending)) + r.ContentLength)
	return s.base
}

// startsWith tells whether pending starts with the head of r. Line ends before a
// request line, which net/http forgives at times, are not understood here.
func (s *splitter) startsWith(r *http.Request) bool {
	line := r.Method + " " + r.RequestURI + " "
	return headEnd(s.pending) > 0 && bytes.HasPrefix(s.pending, []byte(line))
}

// drop accounts for the next n bytes of the stream, received or not.
func (s *splitter) drop(n int64) {
	here := min(n, int64(len(s.pending)))
	s.skip = n - here
	s.base += n
	s.pending = append(s.pending[:0], s.pending[here:]...)
}

// settleChunked looks for the end of a chunked body, and reports whether none is
// open any more.
func (s *splitter) settleChunked() bool {
	if !s.chunked {
		return true
	}
	source := bytes.NewReader(s.pending)
	buffered := bufio.NewReader(source)
	r, err := http.ReadRequest(buffered)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return false // more is to come
	case err != nil:
		s.giveUp()
		return false
	}
	s.chunked = false
	s.drop(int64(len(s.pending) - source.Len() - buffered.Buffered()))
	return true
}

// next returns the request at the start of pending if it may begin before its
// turn, and its length. It returns nil where there is none, or it isn't whole
// yet, or has to wait. drop takes it out.
func (s *splitter) next() (*http.Request, int64) {
	if s.lost || s.skip > 0 || !s.settleChunked() {
		return nil, 0
	}
	end := headEnd(s.pending)
	if end <= 0 || !plain(s.pending[:end]) {
		return nil, 0
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(s.pending[:end])))
	if err != nil || !mayBegin(r) {
		return nil, 0
	}
	return r, int64(end)
}

// headEnd returns the length of the head at the start of b up to and with its
// empty line, -1 if that isn't there. Lines end with \n or \r\n, as in net/http.
func headEnd(b []byte) int {
	end := -1
	for _, empty := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b, []byte(empty)); i >= 0 && (end < 0 || i+len(empty) < end) {
			end = i + len(empty)
		}
	}
	return end
}

// plain tells whether net/http is sure to take a head: it has one Host, and
// nothing but printable characters.
func plain(head []byte) bool {
	for _, b := range head {
		if (b < ' ' && b != '\r' && b != '\n' && b != '\t') || b >= 0x7f {
			return false
		}
	}
	const host = "\nhost:"
	return bytes.Count(bytes.ToLower(head), []byte(host)) == 1
}

// mayBegin tells whether a request can be begun from its head alone and leaves
// the connection open.
func mayBegin(r *http.Request) bool {
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

// endsConnection tells whether net/http may end the connection with the answer to r.
// It takes "close" between blanks for the token too, which Request.Close does not,
// and refuses a protocol of another major version.
func endsConnection(r *http.Request) bool {
	if r.Close || r.ProtoMajor != 1 || r.ProtoMinor < 1 {
		return true
	}
	return slices.ContainsFunc(r.Header["Connection"], func(value string) bool {
		return strings.Contains(strings.ToLower(value), "close")
	})
}

// plainHost tells whether net/http is sure to take a Host: it refuses some characters.
func plainHost(host string) bool { return only(host, ".-_:[]") }

// plainName is the same for the name of a field.
func plainName(name string) bool { return only(name, "-_") }

// only tells whether s has letters, digits and others alone.
func only(s, others string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune(others, r)
	})
}

// safeMethod tells the methods of the reads that callers send behind one another.
func safeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }
