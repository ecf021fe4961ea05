package headread

// framing is how the end of a body is found.
type framing struct {
	chunked bool
	// length is the length of a body that is not chunked, in bytes.
	length int64
}

// bodyScanner finds the end of a body.
type bodyScanner struct {
	framing
	chunks ChunkScanner
}

// open reports whether the body has bytes that have not been received.
func (s *bodyScanner) open() bool { return s.chunked || s.length > 0 }

// skip returns how many of the first bytes of b belong to the body.
func (s *bodyScanner) skip(b []byte) (int, Refusal) {
	if !s.chunked {
		n := min(s.length, int64(len(b)))
		s.length -= n
		return int(n), nil
	}
	n, ended, refusal := s.chunks.Skip(b)
	if ended {
		*s = bodyScanner{}
	}
	return n, refusal
}

// chunkPart is what a ChunkScanner expects next.
type chunkPart uint8

const (
	chunkSize chunkPart = iota
	// sizeBlank is blanks behind the size of a chunk.
	sizeBlank
	chunkExtension
	// sizeEnd is the line feed behind the size of a chunk.
	sizeEnd
	chunkData
	// dataReturn and dataEnd are the line end behind a chunk.
	dataReturn
	dataEnd
	// trailerStart is the first byte of a line behind the last chunk.
	trailerStart
	trailerLine
	// trailerEnd is the line feed of a trailer, and bodyEnd that of the empty line.
	trailerEnd
	bodyEnd
)

// ChunkScanner finds the end of a chunked body (RFC 9112, 7.1). The zero value expects the start of
// a body. It accepts no more than net/http does, which would read on elsewhere.
type ChunkScanner struct {
	part chunkPart
	// left is how many bytes of the chunk have not been received, or its size so far.
	left int64
	// digits counts the digits of a chunk's size.
	digits int
}

// maxSizeDigits is how many digits the size of a chunk may have.
const maxSizeDigits = 15

// Skip returns how many of the first bytes of b, which continue the body, belong to it, and whether
// it ends with them. The refusal is set if the byte behind them makes the body malformed.
func (s *ChunkScanner) Skip(b []byte) (n int, ended bool, refusal Refusal) {
	for n < len(b) {
		if s.part == chunkData {
			data := min(s.left, int64(len(b)-n))
			s.left -= data
			n += int(data)
			if s.left == 0 {
				s.part = dataReturn
			}
			continue
		}
		next, ok := s.next(b[n])
		if !ok {
			return n, false, &MalformedError{What: "a chunked body"}
		}
		n++
		if s.part == bodyEnd && next == chunkSize {
			*s = ChunkScanner{}
			return n, true, nil
		}
		s.part = next
	}
	return n, false, nil
}

// next returns what is expected behind a byte outside the data of chunks. It returns false for a
// byte that may not stand there.
func (s *ChunkScanner) next(c byte) (chunkPart, bool) {
	switch s.part {
	case chunkSize:
		return s.sizeByte(c)
	case sizeBlank:
		if c == ' ' || c == '\t' {
			return sizeBlank, true
		}
		return sizeEnd, c == '\r'
	case chunkExtension:
		if c == '\r' {
			return sizeEnd, true
		}
		return chunkExtension, c != '\n'
	case sizeEnd:
		s.digits = 0
		if s.left == 0 {
			return trailerStart, c == '\n'
		}
		return chunkData, c == '\n'
	case dataReturn:
		return dataEnd, c == '\r'
	case dataEnd:
		return chunkSize, c == '\n'
	case trailerStart:
		if c == '\r' {
			return bodyEnd, true
		}
		return trailerLine, c != '\n'
	case trailerLine:
		if c == '\r' {
			return trailerEnd, true
		}
		return trailerLine, c != '\n'
	case trailerEnd:
		return trailerStart, c == '\n'
	case bodyEnd:
		return chunkSize, c == '\n'
	}
	return s.part, false
}

// sizeByte accounts for a byte of the size of a chunk or behind it.
func (s *ChunkScanner) sizeByte(c byte) (chunkPart, bool) {
	if digit := hexDigit(c); digit >= 0 {
		s.left = s.left<<4 | digit
		s.digits++
		return chunkSize, s.digits <= maxSizeDigits
	}
	if s.digits == 0 {
		return chunkSize, false
	}
	switch c {
	case '\r':
		return sizeEnd, true
	case ';':
		return chunkExtension, true
	}
	return sizeBlank, c == ' ' || c == '\t'
}

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
