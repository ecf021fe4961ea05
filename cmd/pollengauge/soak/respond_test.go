package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// respond sends the response, or misbehaves with the given odds: it closes the
// connection without a response, truncates the body, sends the response twice, or
// sends it without a length.
func (i *incarnation) respond(w http.ResponseWriter, x run, misbehaves *odds) {
	h := w.Header()
	h.Set(headerID, x.id)
	h.Set(headerSignature, x.signature)
	draw := rand.Float64()
	switch {
	case draw < misbehaves.lose:
		panic(http.ErrAbortHandler)
	case draw < misbehaves.lose+misbehaves.truncate:
		h.Set("Content-Length", strconv.Itoa(len(x.answer)+1))
		w.WriteHeader(x.status)
		_, _ = io.WriteString(w, x.answer)
		panic(http.ErrAbortHandler)
	case draw < misbehaves.lose+misbehaves.truncate+misbehaves.extra:
		i.respondTwice(w, x)
		return
	case draw < misbehaves.lose+misbehaves.truncate+misbehaves.extra+misbehaves.unframed:
		i.respondRaw(w, x, "Connection: close\r\n")
		return
	case draw < misbehaves.lose+misbehaves.truncate+misbehaves.extra+misbehaves.unframed+misbehaves.malformed:
		respondMalformed(w, x)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(x.answer)))
	w.WriteHeader(x.status)
	_, _ = io.WriteString(w, x.answer)
}

// lateExtra is the delay before an unsolicited second response.
const lateExtra = 30 * time.Millisecond

// respondTwice sends the response twice, so that the second one arrives where the
// client expects the response to its next request.
func (i *incarnation) respondTwice(w http.ResponseWriter, x run) {
	i.respondRaw(w, x, fmt.Sprintf("Content-Length: %d\r\n", len(x.answer)))
}

// respondRaw writes the response on the hijacked connection. If framing is a
// Content-Length header, the same response follows once more after lateExtra.
func (i *incarnation) respondRaw(w http.ResponseWriter, x run, framing string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	answer := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s", x.status, headerID, x.id, headerSignature, x.signature, framing, x.answer)
	_, _ = io.WriteString(conn, answer)
	if strings.HasPrefix(framing, "Content-Length") {
		time.Sleep(lateExtra)
		_, _ = io.WriteString(conn, answer)
		time.Sleep(lateExtra)
	}
}

// foreignSignature is the signature of responses that must not reach a customer.
const foreignSignature = "malformed"

// malformedHeads are heads, without their last fields, that are none of HTTP/1.1.
var malformedHeads = []string{
	"HTTP/1.1 000 X\r\n", "HTTP/1.1 700 X\r\n", "HTTP/2.0 200 X\r\n",
	"HTTP/1.1 200 X\r\nContent-Length : 3\r\n", "HTTP/1.1 200 X\r\nA B: 1\r\n", "HTTP/1.1 200 X\r\nA\x01: 1\r\n",
}

// respondMalformed writes a malformed response on the hijacked connection.
func respondMalformed(w http.ResponseWriter, x run) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%s%s: %s\r\n%s: %s\r\n\r\n%s", malformedHeads[rand.IntN(len(malformedHeads))], headerID, x.id, headerSignature, foreignSignature, x.answer)
}

// resetUpload responds to a request whose body it does not read with a part of a response that has
// no length, and resets the connection.
func resetUpload(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: %s\r\n\r\npart", headerID, id, headerSignature, foreignSignature)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
