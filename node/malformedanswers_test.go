package node

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rawAnswer returns a handler that writes text as its response, with %s for the request's id, and
// closes the connection.
func rawAnswer(text string) handler {
	return func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", r.Header.Get("X-Id")))
		_ = conn.Close()
	}
}

// Guards against a response that is not one of HTTP/1.1 and reaches the caller: its status or a
// field's name is none, or net/http reads another body than its sender meant.
func TestMalformedAnswersDoNotReachCallers(t *testing.T) {
	const end = "X-Echo: %s\r\n\r\nhello"
	malformed := map[string]string{
		"name with a blank":        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Y: 5\r\n" + end,
		"blank before the colon":   "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + end,
		"blank before the framing": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + end,
		"leading blank":            "HTTP/1.1 200 OK\r\n X: 5\r\nContent-Length: 5\r\n" + end,
		"control byte in a name":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\x01Y: 5\r\n" + end,
		"empty name":               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n: 5\r\n" + end,
		"control byte in a value":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: a\x01b\r\n" + end,
		"NUL in a value":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: a\x00b\r\n" + end,
		"carriage return":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: a\rb\r\n" + end,
		"version 2":                "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n" + end,
		"trailer with a blank":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Echo: %s\r\n\r\n5\r\nhello\r\n0\r\nX Y: 5\r\n\r\n",
		"trailer, blank at end":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Echo: %s\r\n\r\n5\r\nhello\r\n0\r\nX-Y : 5\r\n\r\n",
	}
	for _, status := range []string{"000", "001", "099", "+20", "-20", "101", "600", "700", "999", "20", "2000", "2x0"} {
		malformed["status "+status] = "HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n" + end
	}
	for what, text := range malformed {
		t.Run(what, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				front := f.addRouted("front", "front", 10, echo)
				beside := f.addRouted("desk", "desk", 10, rawAnswer(text))
				f.settle()
				for _, n := range []*Node{front, beside} {
					for _, path := range []string{"/browse/x", "/file/x"} {
						got := f.askRouted(n, path, "id-"+path[1:5]+n.settings.Service)
						if got.err != nil {
							continue // broken off
						}
						f.c.Check(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s %s: %q", n.settings.Service, path, got.body))
						f.c.Check(strings.Contains(got.body, "hel"), qt.IsFalse, qt.Commentf("%s %s: %q", n.settings.Service, path, got.body))
					}
				}
			})
		})
	}
}

// Guards against checks of responses that refuse proper ones: unusual reasons, versions, fields
// and framings.
func TestUnusualAnswersReachCallers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 \r\nContent-Length: 5\r\nX-Echo: %s\r\n\r\nhello",
		"HTTP/1.0 200 Fine\r\nX-Echo: %s\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Echo: %s\r\nx!#$%&'*+-.^_`|~1: \xe9\t\"\r\n\r\nhello",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Echo: %s\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Echo: %s\r\n\r\n5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n",
	} {
		inFleet(t, func(f *fleet) {
			front := f.addRouted("front", "front", 10, echo)
			f.addRouted("desk", "desk", 10, rawAnswer(text))
			f.settle()
			got := f.askRouted(front, "/file/x", "id-1")
			f.c.Check(got.err, qt.IsNil, qt.Commentf("%q", text))
			f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", text))
			f.c.Check(got.body, qt.Equals, "hello", qt.Commentf("%q", text))
		})
	}
}
