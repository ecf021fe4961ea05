package respread

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// ended is a connection whose stream has a part of a response and then ends.
type ended struct {
	net.Conn
	text     string
	writeErr error
}

func (e *ended) Read(p []byte) (int, error) {
	if e.text == "" {
		return 0, io.EOF
	}
	n := copy(p, e.text)
	e.text = e.text[n:]
	return n, nil
}

func (e *ended) Write(p []byte) (int, error) { return len(p), e.writeErr }
func (e *ended) Close() error                { return nil }

// readEnd reads a part of a response and then the end of the stream.
func readEnd(c *Conn) error {
	p := make([]byte, 10)
	if n, err := c.Read(p); n == 0 || err != nil {
		return errors.Join(errNothing, err)
	}
	_, err := c.Read(p)
	return err
}

var errNothing error = &MalformedError{What: "test", Value: "nothing read"}

// Guards against a part of a response that counts as all of it because the error of the reset went
// to a write.
func TestEndBehindAFailedWriteIsNoEnd(t *testing.T) {
	c := qt.New(t)
	conn := NewConn(&ended{text: "part", writeErr: net.ErrClosed})
	conn.Begin()
	_, _ = conn.Write([]byte("request"))
	c.Check(readEnd(conn), qt.ErrorAs, new(*InterruptedError))
}

// Guards against a part of a response that counts as all of it before the write has found the
// connection reset, and against a whole one that is refused while its server reads on.
func TestEndWaitsForTheRequest(t *testing.T) {
	for _, failure := range []error{nil, net.ErrClosed} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			conn := NewConn(&ended{text: "part"})
			conn.Begin()
			go func() {
				time.Sleep(time.Second)
				conn.Written(failure)
			}()
			begun := time.Now()
			err := readEnd(conn)
			c.Check(time.Since(begun), qt.Equals, time.Second)
			c.Check(errors.As(err, new(*InterruptedError)), qt.Equals, failure != nil, qt.Commentf("%v", err))
		})
	}
}

// Guards against a read that waits for ever for a request whose connection was given up, and
// against one that waits though no response has begun.
func TestEndOfAClosedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		conn := NewConn(&ended{text: "part"})
		conn.Begin()
		go func() {
			time.Sleep(time.Second)
			_ = conn.Close()
		}()
		c.Check(readEnd(conn), qt.ErrorAs, new(*InterruptedError))
		idle := NewConn(&ended{})
		idle.Begin()
		_, err := idle.Read(make([]byte, 1))
		c.Check(err, qt.Equals, io.EOF)
	})
}

// A strict reader of the head of a response, after RFC 9112. It accepts what net/http also
// accepts beside it: line feeds alone, and folded fields behind the first one.
var (
	strictStatus = regexp.MustCompile(`^HTTP/1\.[0-9] ([2-5][0-9][0-9])( |$)`)
	strictField  = regexp.MustCompile(`^[!#$%&'*+.^_\x60|~0-9A-Za-z-]+:[\t\x20-\x7e\x{80}-\x{ff}]*$`)
	strictFold   = regexp.MustCompile(`^[ \t][\t\x20-\x7e\x{80}-\x{ff}]*$`)
)

// latin1 returns a text with a rune for each byte, as regular expressions need it.
func latin1(s string) string {
	var runes []rune
	for _, b := range []byte(s) {
		runes = append(runes, rune(b))
	}
	return string(runes)
}

func strictHead(text []byte) bool {
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(text)))
	line, err := lines.ReadLine()
	if err != nil || !strictStatus.MatchString(line) {
		return false
	}
	for fields := 0; ; fields++ {
		raw, err := lines.ReadLine()
		line := latin1(raw)
		switch {
		case err != nil:
			return false
		case line == "":
			return true
		case !strictField.MatchString(line) && (fields == 0 || !strictFold.MatchString(line)):
			return false
		}
	}
}

// What net/http and Check accept must be what a strict reader accepts.
func FuzzCheck(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 700 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\n X: 5\r\n\r\n", "HTTP/2.0 200 OK\n\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n", "HTTP/1.0 404\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil || Check(resp) != nil {
			return
		}
		if !strictHead(text) {
			t.Errorf("accepted %q", text)
		}
	})
}

// Guards against a malformed trailer behind a body, which would be passed on.
func TestMalformedTrailerEndsTheBody(t *testing.T) {
	c := qt.New(t)
	for name, malformed := range map[string]bool{"X-Y": false, "X Y": true, "X-Y ": true} {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + name + ": 1\r\n\r\n"
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(Check(resp), qt.IsNil)
		_, err = io.ReadAll(resp.Body)
		c.Check(errors.As(err, new(*MalformedError)), qt.Equals, malformed, qt.Commentf("%q: %v", name, err))
	}
}

// Guards against a Transport whose reads are not checked.
func TestTransportChecksResponses(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+strings.TrimPrefix(r.URL.Path, "/")+" X\r\n\r\nhello")
			}
			_ = conn.Close()
		}
	}()
	base := &http.Transport{DialContext: new(net.Dialer).DialContext}
	client := &http.Client{Transport: Transport(base)}
	defer client.CloseIdleConnections()
	for path, accepted := range map[string]bool{"/200": true, "/000": false, "/600": false} {
		resp, err := client.Get("http://" + listener.Addr().String() + path)
		c.Assert(err == nil, qt.Equals, accepted, qt.Commentf("%s: %v", path, err))
		if err != nil {
			c.Check(err, qt.ErrorAs, new(*MalformedError))
			continue
		}
		body, err := io.ReadAll(resp.Body)
		c.Check(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "hello")
		_ = resp.Body.Close()
	}
}
