package respread

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports a response that is not one of HTTP/1.1, or not one that can end an
// exchange.
type MalformedError struct {
	// What is the part that is malformed, and Value what it is.
	What, Value string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed response: " + e.What + " " + strconv.Quote(e.Value)
}

// The range of status codes of responses that end an exchange (RFC 9110, 15).
const (
	lowestStatus  = http.StatusOK
	highestStatus = 599
)

// Check returns a *MalformedError if the head of a response is malformed. Otherwise the body of
// the response ends with such an error if its trailer is malformed.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &MalformedError{What: "version", Value: resp.Proto}
	}
	if resp.StatusCode < lowestStatus || resp.StatusCode > highestStatus {
		return &MalformedError{What: "status", Value: resp.Status}
	}
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// checkNames checks the names of fields. net/http checks their values.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{What: "field name", Value: name}
		}
	}
	return nil
}

// checkedBody checks the trailer at the end of a body.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
