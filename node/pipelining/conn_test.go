package pipelining

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// search is a request that may be started early.
const search = "GET /search HTTP/1.1\r\nHost: x\r\n\r\n"

// early is an answer that records whether it was dropped.
type early struct{ dropped bool }

func (e *early) Drop() { e.dropped = true }

// pipelinedSearches is a connection on which a caller has pipelined searches.
type pipelinedSearches struct {
	conn   *Conn
	caller net.Conn
	read   *bufio.Reader
	begun  []*early
	// earlyCtx is the context of the requests that were started early.
	earlyCtx context.Context
}

// withPipelinedSearches runs f on a connection with count searches, the first of
// which is being served.
func withPipelinedSearches(t *testing.T, count int, f func(c *qt.C, turns *pipelinedSearches)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		caller, socket := net.Pipe()
		turns := &pipelinedSearches{caller: caller}
		turns.conn = New(socket, Handlers{Begin: func(ctx context.Context, _ *http.Request) Answer {
			one := &early{}
			turns.begun = append(turns.begun, one)
			turns.earlyCtx = ctx
			return one
		}})
		defer turns.conn.Close()
		defer caller.Close()
		turns.read = bufio.NewReader(turns.conn)
		go func() { _, _ = io.WriteString(caller, strings.Repeat(search, count)) }()
		turns.conn.Serve(turns.next(c))
		synctest.Wait()
		c.Assert(turns.begun, qt.HasLen, count-1)
		f(c, turns)
	})
}

// next reads a request as net/http does.
func (turns *pipelinedSearches) next(c *qt.C) *http.Request {
	r, err := http.ReadRequest(turns.read)
	c.Assert(err, qt.IsNil)
	return r
}

// A limit is lowered while a search that was started early runs. Its handler refuses
// it and never takes the answer. If the answer were not dropped, the run would count
// as in flight for as long as the node runs.
func TestUntakenAnswerIsDropped(t *testing.T) {
	withPipelinedSearches(t, 3, func(c *qt.C, turns *pipelinedSearches) {
		turns.conn.Done()
		turns.conn.Serve(turns.next(c))
		turns.conn.Done()
		c.Check(turns.begun[0].dropped, qt.IsTrue)
		c.Check(turns.begun[1].dropped, qt.IsFalse)
		turns.conn.Serve(turns.next(c))
		c.Check(turns.conn.Take(), qt.Equals, Answer(turns.begun[1]))
		turns.conn.Done()
		c.Check(turns.begun[1].dropped, qt.IsFalse, qt.Commentf("the caller of Take releases the answer"))
	})
}

// net/http reads a different request than the one that was started early. With the
// answer that is ready, a caller would get the response to another request. All
// requests that were started early must be dropped, and no more may be started early
// on the connection.
func TestNoEarlyStartAfterParseMismatch(t *testing.T) {
	withPipelinedSearches(t, 3, func(c *qt.C, turns *pipelinedSearches) {
		turns.conn.Done()
		other := turns.next(c)
		other.RequestURI = "/other"
		turns.conn.Serve(other)
		c.Check(turns.conn.Take(), qt.IsNil)
		c.Check(turns.begun[0].dropped && turns.begun[1].dropped, qt.IsTrue)
		c.Check(turns.earlyCtx.Err(), qt.IsNotNil)
		go func() { _, _ = io.WriteString(turns.caller, search) }()
		turns.next(c)
		synctest.Wait()
		c.Check(turns.begun, qt.HasLen, 2)
	})
}

// A node that shuts down closes a connection with its next response. Searches queued
// behind it have been started: their caller would take them for unread and send them
// again, and their work would be lost. Only the last response may close the
// connection.
func TestConnectionClosesOnlyAfterEarlyRequests(t *testing.T) {
	withPipelinedSearches(t, 2, func(c *qt.C, turns *pipelinedSearches) {
		c.Check(turns.conn.MayClose(), qt.IsFalse)
		turns.conn.Done()
		turns.conn.Serve(turns.next(c))
		c.Check(turns.conn.MayClose(), qt.IsTrue)
	})
}

// Guards against a response that closes the connection while a request that has to wait
// for its turn, or the first part of one, was received behind it.
func TestConnectionStaysOpenForReceivedRequests(t *testing.T) {
	for _, behind := range []string{search, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1", "G"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			caller, socket := net.Pipe()
			conn := New(socket, Handlers{Begin: func(context.Context, *http.Request) Answer { return nil }})
			defer conn.Close()
			defer caller.Close()
			go func() { _, _ = io.WriteString(caller, search+behind) }()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			c.Assert(err, qt.IsNil)
			conn.Serve(r)
			synctest.Wait()
			c.Check(conn.MayClose(), qt.IsFalse)
		})
	}
}

// A caller sends no request after its last one, and net/http waits for the next under
// its idle timeout. While a goroutine reads the socket, the socket's own deadline is
// not in force; if Read were not woken, the connection would stay open for ever.
func TestReadEndsAtItsDeadline(t *testing.T) {
	withPipelinedSearches(t, 2, func(c *qt.C, turns *pipelinedSearches) {
		turns.conn.Done()
		turns.conn.Serve(turns.next(c))
		turns.conn.Done()
		c.Assert(turns.conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, err := turns.read.ReadByte()
		c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// A caller disconnects while its pipelined searches run. Nobody waits for them any
// more, so all must stop.
func TestCallerDisconnectStopsEarlyRequests(t *testing.T) {
	withPipelinedSearches(t, 3, func(c *qt.C, turns *pipelinedSearches) {
		c.Assert(turns.earlyCtx.Err(), qt.IsNil)
		c.Assert(turns.caller.Close(), qt.IsNil)
		synctest.Wait()
		c.Check(turns.earlyCtx.Err(), qt.IsNotNil)
		c.Check(turns.begun[0].dropped && turns.begun[1].dropped, qt.IsTrue)
	})
}

// expiringConn is a connection whose idle close ends its reads at once.
type expiringConn struct{ net.Conn }

// ExpireIdle implements IdleConn.
func (c expiringConn) ExpireIdle() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// Guards against an idle close that cuts a request which net/http has begun to read.
func TestIdleCloseSparesARequestThatBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		caller, socket := net.Pipe()
		conn := New(expiringConn{socket}, Handlers{})
		defer conn.Close()
		defer caller.Close()
		go func() { _, _ = io.WriteString(caller, "G") }()
		p := make([]byte, 1)
		_, err := conn.Read(p)
		c.Assert(err, qt.IsNil)
		conn.ExpireIdle()
		go func() {
			time.Sleep(time.Second)
			_, _ = io.WriteString(caller, "E")
		}()
		_, err = conn.Read(p)
		c.Assert(err, qt.IsNil)
		c.Check(string(p), qt.Equals, "E")
	})
}

// Guards against the memory of requests that wait on many connections, and against requests that
// are lost or stop once a connection may hold no more.
func TestConnectionsShareTheReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		caller, socket := net.Pipe()
		shared := NewReadAhead(0)
		conn := New(socket, Handlers{ReadAhead: shared, Begin: func(context.Context, *http.Request) Answer { return nil }})
		const count = 2000
		go func() { _, _ = io.WriteString(caller, strings.Repeat(search, count)) }()
		read := bufio.NewReader(conn)
		for range count {
			r, err := http.ReadRequest(read)
			c.Assert(err, qt.IsNil)
			conn.Serve(r)
			synctest.Wait()
			c.Assert(shared.held.Load() <= 2*readSize, qt.IsTrue, qt.Commentf("%d bytes", shared.held.Load()))
			conn.Done()
		}
		_ = conn.Close()
		_ = caller.Close()
		synctest.Wait()
		c.Check(shared.held.Load(), qt.Equals, int64(0))
	})
}
