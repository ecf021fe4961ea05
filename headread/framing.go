package headread

import (
	"bytes"
	"net/textproto"
	"strconv"
)

// framing is how the end of a body is found.
type framing struct {
	chunked bool
	// length is the length of a body that is not chunked, in bytes.
	length int64
}

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

// chunkPart is what a bodyScanner expects next in a chunked body.
type chunkPart uint8

const (
	chunkSize chunkPart = iota
	// chunkExtension is the rest of the line that states the size of a chunk.
	chunkExtension
	chunkData
	trailers
)

// bodyScanner finds the end of a body.
type bodyScanner struct {
	framing
	part chunkPart
	// left is how many bytes of the chunk and its line end have not been received.
	left int64
	// digits counts the digits of a chunk's size, and lineLength the bytes of a trailer.
	digits, lineLength int
	// carriage is set if the last byte of a trailer was a carriage return.
	carriage bool
	// malformed is set once a trailer has a line end without a carriage return. net/http does
	// not find the end of such trailers reliably.
	malformed bool
}

// open reports whether the body has bytes that have not been received.
func (s *bodyScanner) open() bool { return s.chunked || s.length > 0 }

// skip returns how many of the first bytes of b belong to the body. It stops at a byte that makes
// the body malformed.
func (s *bodyScanner) skip(b []byte) int {
	if !s.chunked {
		n := min(s.length, int64(len(b)))
		s.length -= n
		return int(n)
	}
	for at := 0; at < len(b); {
		if s.part == chunkData {
			n := min(s.left, int64(len(b)-at))
			s.left -= n
			at += int(n)
			if s.left == 0 {
				s.part = chunkSize
			}
			continue
		}
		ended := s.chunkByte(b[at])
		if s.malformed {
			return at
		}
		at++
		if ended {
			*s = bodyScanner{}
			return at
		}
	}
	return len(b)
}

// lineEndLength is the length of the line end behind a chunk, in bytes.
const lineEndLength = 2

// chunkByte accounts for one byte outside the data of chunks, and reports whether the body ends
// with it.
func (s *bodyScanner) chunkByte(c byte) bool {
	switch {
	case s.part == trailers:
		return s.trailerByte(c)
	case c == '\n' && s.left == 0:
		s.part = trailers
	case c == '\n':
		s.part = chunkData
		s.left += lineEndLength
		s.digits = 0
	case s.part == chunkSize:
		digit := hexDigit(c)
		if digit < 0 || s.digits == maxSizeDigits {
			s.part = chunkExtension
			return false
		}
		s.digits++
		s.left = s.left<<4 | digit
	}
	return false
}

// trailerByte accounts for one byte of a trailer, and reports whether it ends the empty line
// behind the last one.
func (s *bodyScanner) trailerByte(c byte) bool {
	carriage := s.carriage
	s.carriage = c == '\r'
	switch {
	case c == '\n' && !carriage:
		s.malformed = true
	case c == '\n':
		ended := s.lineLength == 0
		s.lineLength = 0
		return ended
	case c != '\r':
		s.lineLength++
	}
	return false
}

// maxSizeDigits is how many digits of a chunk's size are read. net/http refuses longer ones.
const maxSizeDigits = 15

// hexDigit returns the value of a hexadecimal digit, -1 for any other byte.
func hexDigit(c byte) int64 {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0')
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10
	}
	return -1
}
