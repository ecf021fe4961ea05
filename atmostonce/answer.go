package atmostonce

import (
	"net/http"
	"time"
)

// Answer is the complete HTTP response of an upstream, stored for later
// presentations of the key. Body is shared and must not be modified.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
	// At is when the response was complete.
	At time.Time
}

// headerOverhead is the estimated memory in bytes per header name or value, and
// per answer, beyond the text itself.
const headerOverhead = 32

// size estimates the memory use of a in bytes.
func (a *Answer) size() int64 {
	if a == nil {
		return 0
	}
	return int64(len(a.Body)) + headerSize(a.Header) + headerSize(a.Trailer) + headerOverhead
}

func headerSize(h http.Header) int64 {
	var n int64
	for name, values := range h {
		n += int64(len(name)) + headerOverhead
		for _, value := range values {
			n += int64(len(value)) + headerOverhead
		}
	}
	return n
}

// clone copies the headers and trailers, which a caller may modify. The body is
// shared.
func (a *Answer) clone() Answer {
	c := *a
	c.Header = a.Header.Clone()
	c.Trailer = a.Trailer.Clone()
	return c
}
