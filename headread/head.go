package headread

import (
	"bytes"
	"net/textproto"
	"strconv"
)

// headScanner finds the end of a head, and the framing of the body behind it. It looks at each
// byte once, however the head is divided into reads.
type headScanner struct {
	// line is the offset of the line that is being received, and searched the offset up to
	// which its end was searched.
	line, searched int
	// fields counts the lines behind the request line.
	fields int
	// begun is set once the request line is complete, and lineLength is its length with
	// what precedes it.
	begun      bool
	lineLength int
	// http10 is set for a request of HTTP/1.0, whose Transfer-Encoding net/http ignores.
	http10 bool
	// framingLine is set if the last field states the framing.
	framingLine bool
	framing     framing
}

// maxLeadingBytes is how many bytes of empty lines may precede a request line. net/http accepts
// as many behind a POST.
const maxLeadingBytes = 4

// scan looks at a head that has been received up to the end of b, which begins with the bytes of
// the previous call. It returns the length of the head, 0 if its end has not been received.
func (s *headScanner) scan(b []byte) (int, Refusal) {
	for {
		i := bytes.IndexByte(b[s.searched:], '\n')
		if i < 0 {
			s.searched = len(b)
			return 0, nil
		}
		end := s.searched + i + 1
		line := bytes.TrimSuffix(b[s.line:end-1], []byte{'\r'})
		s.line, s.searched = end, end
		switch {
		case len(line) == 0 && s.begun:
			if s.http10 {
				s.framing.chunked = false
			}
			return end, nil
		case len(line) == 0:
			if end > maxLeadingBytes {
				return 0, &MalformedError{What: "empty lines in place of a request"}
			}
		case !s.begun:
			s.begun, s.lineLength = true, end
			s.http10 = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		default:
			if refusal := s.field(line); refusal != nil {
				return 0, refusal
			}
		}
	}
}

// measure returns how large the head is of which length bytes have been received: the length of
// its request line or that of its fields, whichever is more.
func (s *headScanner) measure(length int) int { return max(s.lineLength, length-s.lineLength) }

// onlyEmptyLines reports whether nothing but empty lines has been received.
func (s *headScanner) onlyEmptyLines(b []byte) bool {
	return !s.begun && len(bytes.TrimLeft(b, "\r\n")) == 0
}

var (
	nameContentLength    = []byte("content-length")
	nameTransferEncoding = []byte("transfer-encoding")
)

// field looks at a line behind the request line.
func (s *headScanner) field(line []byte) Refusal {
	s.fields++
	if line[0] == ' ' || line[0] == '\t' {
		if s.framingLine {
			return &MalformedError{What: "a folded field that states the length of the body"}
		}
		return nil
	}
	s.framingLine = false
	colon := bytes.IndexByte(line, ':')
	switch {
	case colon == len(nameContentLength) && bytes.EqualFold(line[:colon], nameContentLength):
		s.framingLine = true
		length, err := strconv.ParseInt(string(textproto.TrimBytes(line[colon+1:])), 10, 64)
		if err == nil && length > 0 {
			s.framing.length = length
		}
	case colon == len(nameTransferEncoding) && bytes.EqualFold(line[:colon], nameTransferEncoding):
		s.framingLine = true
		s.framing.chunked = bytes.EqualFold(textproto.TrimBytes(line[colon+1:]), []byte("chunked"))
	}
	return nil
}
