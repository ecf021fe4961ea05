package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// workTime is how long the upstreams of these tests work on a request.
const workTime = 300 * time.Millisecond

// sendPipelined pipelines requests to paths, with ids r0, r1 and so on, and returns the
// connection.
func (f *fleet) sendPipelined(n *Node, paths ...string) net.Conn {
	conn := f.dialFromOutside(n, OutboundListener)
	for i, path := range paths {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: desk.example\r\nX-Id: r"+strconv.Itoa(i)+"\r\n\r\n")
		f.c.Assert(err, qt.IsNil)
	}
	return conn
}

// expectInOrder reads the answers to r0, r1 and so on.
func (f *fleet) expectInOrder(answers *bufio.Reader, count int) {
	for i := range count {
		resp, err := http.ReadResponse(answers, nil)
		f.c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		f.c.Assert(err, qt.IsNil)
		f.c.Check(string(body), qt.Equals, "answer to r"+strconv.Itoa(i))
	}
}

// A caller pipelines five searches on one connection before the first is answered.
// Served one after another, the last took five times as long as one search and was
// late, although upstreams had free capacity. The searches have to run concurrently,
// and their answers must arrive in the order of the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			id := r.Header.Get("X-Id")
			if id != "r3" {
				time.Sleep(workTime) // r3 is ready first, and its answer has to wait
			}
			echo(w, r, call)
		})
		f.settle()
		began := time.Now()
		conn := f.sendPipelined(n, "/browse/a", "/browse/b", "/browse/c", "/browse/d", "/browse/e")
		defer conn.Close()
		f.expectInOrder(bufio.NewReader(conn), 5)
		took := time.Since(began)
		f.c.Check(took < 2*workTime, qt.IsTrue, qt.Commentf("took %s", took))
		f.c.Check(n.earlyRuns.Load(), qt.Equals, int64(0))
	})
}

// Guards against discarding the run of a request that was started early because the
// node has since removed headers from it: its customer key, and headers that callers
// forge.
func TestPipelinedRequestsRunOnceWhateverTheirHeaders(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var runs atomic.Int64
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			runs.Add(1)
			time.Sleep(workTime)
			echo(w, r, call)
		})
		f.settle()
		f.c.Assert(n.OfferConfig(withCustomers(f.c, routedSet, 2)), qt.IsNil)
		conn := f.dialFromOutside(n, OutboundListener)
		defer conn.Close()
		const count = 4
		for i := range count {
			_, err := io.WriteString(conn, "GET /browse/x HTTP/1.1\r\nHost: desk.example\r\nX-Id: r"+strconv.Itoa(i)+"\r\nX-Key: key-one\r\nX-Customer: forged\r\nPollengauge-Credit: 9\r\n\r\n")
			f.c.Assert(err, qt.IsNil)
		}
		f.expectInOrder(bufio.NewReader(conn), count)
		f.c.Check(runs.Load(), qt.Equals, int64(count))
	})
}

// A filing is queued behind two searches and before two others. If it were started
// before its turn, it could run and its caller could then find the connection closed
// before the answer. It has to wait until everything before it is answered. Searches
// behind it may run concurrently with it.
func TestUnrepeatableRequestsWaitForTheirTurn(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var before, early atomic.Int64
		before.Store(2)
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			if r.URL.Path == "/file/c" {
				early.Store(before.Load())
			}
			time.Sleep(workTime)
			before.Add(-1)
			echo(w, r, call)
		})
		f.settle()
		conn := f.sendPipelined(n, "/browse/a", "/browse/b", "/file/c", "/browse/d", "/browse/e")
		defer conn.Close()
		began := time.Now()
		f.expectInOrder(bufio.NewReader(conn), 5)
		f.c.Check(early.Load(), qt.Equals, int64(0), qt.Commentf("requests before the filing that were still running"))
		f.c.Check(time.Since(began) < 3*workTime, qt.IsTrue, qt.Commentf("requests behind the filing did not run concurrently with it"))
	})
}

// A caller leaves while several of its pipelined searches run. All of them have to
// stop. The node used to notice the end of the connection only for the first one.
func TestCallersThatLeaveStopAllPipelinedRequests(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var stopped, ended sync.WaitGroup
		stopped.Add(4)
		ended.Add(4)
		n := f.addRouted("a", "desk", 10, func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			stopped.Done()
			<-r.Context().Done()
			ended.Done()
		})
		f.settle()
		conn := f.sendPipelined(n, "/browse/a", "/browse/b", "/browse/c", "/browse/d")
		stopped.Wait()
		began := time.Now()
		_ = conn.Close()
		ended.Wait()
		f.c.Check(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		time.Sleep(time.Second)
		f.c.Check(n.active.Load(), qt.Equals, int64(0))
		f.c.Check(n.earlyRuns.Load(), qt.Equals, int64(0))
	})
}

// A node starts to shut down while pipelined searches run. If it closed the connection
// with the first answer, the others would be lost although their work is done. The
// last of them has to close the connection.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			time.Sleep(workTime)
			echo(w, r, call)
		})
		f.settle()
		conn := f.sendPipelined(n, "/browse/a", "/browse/b", "/browse/c")
		defer conn.Close()
		time.Sleep(workTime / 2)
		n.ending.Store(true)
		answers := bufio.NewReader(conn)
		for i := range 3 {
			resp, err := http.ReadResponse(answers, nil)
			f.c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			f.c.Assert(err, qt.IsNil)
			f.c.Check(resp.Close, qt.Equals, i == 2, qt.Commentf("answer %d", i))
		}
		_, err := answers.ReadByte()
		f.c.Check(err, qt.IsNotNil)
	})
}

// More requests are pipelined than a connection may start early. The rest are started
// as the first are answered, and none is lost.
func TestPipelinedRequestsAboveTheEarlyLimitAreAnswered(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 100, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			time.Sleep(workTime)
			echo(w, r, call)
		})
		f.settle()
		paths := make([]string, 50)
		for i := range paths {
			paths[i] = "/browse/x"
		}
		conn := f.sendPipelined(n, paths...)
		defer conn.Close()
		f.expectInOrder(bufio.NewReader(conn), len(paths))
		_, err := io.WriteString(conn, "GET /browse/x HTTP/1.1\r\nHost: desk.example\r\nX-Id: r0\r\n\r\n")
		f.c.Assert(err, qt.IsNil)
		f.expectInOrder(bufio.NewReader(conn), 1)
	})
}

// A search is started early behind another one. Before its turn, operators lower the
// limit on heads below its own, which was within the limit when it was read. It has to be served,
// and its run released: counted as in flight for ever, it kept the node from shutting down before
// the end of its grace period. The next head as long as it has to be refused.
func TestPipelinedRequestsOutliveALoweredLimit(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			time.Sleep(workTime)
			echo(w, r, call)
		})
		f.settle()
		conn := f.sendPipelined(n, "/browse/a")
		defer conn.Close()
		long := "GET /browse/b HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\nX-Long: " + strings.Repeat("x", 2*config.MinHeaderBytes) + "\r\n\r\n"
		_, err := io.WriteString(conn, long)
		f.c.Assert(err, qt.IsNil)
		time.Sleep(workTime / 2)
		f.c.Check(n.earlyRuns.Load(), qt.Equals, int64(1))
		f.offerLimits(n, 2, config.Limits{RetryRatio: config.DefaultRetryRatio, HeaderBytes: config.MinHeaderBytes})
		answers := bufio.NewReader(conn)
		f.expectInOrder(answers, 1)
		resp, err := http.ReadResponse(answers, nil)
		f.c.Assert(err, qt.IsNil)
		f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		f.c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		f.c.Check(n.earlyRuns.Load(), qt.Equals, int64(0))
		f.c.Check(n.active.Load(), qt.Equals, int64(0))
		_, err = io.WriteString(conn, long)
		f.c.Assert(err, qt.IsNil)
		resp, err = http.ReadResponse(answers, nil)
		f.c.Assert(err, qt.IsNil)
		f.c.Check(resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		_, err = io.Copy(io.Discard, resp.Body)
		f.c.Assert(err, qt.IsNil)
		_, err = answers.ReadByte()
		f.c.Check(err, qt.Equals, io.EOF)
	})
}

// A caller posts a change and pipelines a read behind it. If both ran concurrently,
// the read could miss the change that its caller made first.
func TestReadsBehindAChangeWaitForIt(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var changed, early atomic.Bool
		n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			if r.Method == http.MethodPost {
				time.Sleep(workTime)
				changed.Store(true)
			} else if !changed.Load() {
				early.Store(true)
			}
			echo(w, r, call)
		})
		f.settle()
		conn := f.dialFromOutside(n, OutboundListener)
		defer conn.Close()
		_, err := io.WriteString(conn, "POST /file/a HTTP/1.1\r\nHost: desk.example\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nhi"+
			"GET /browse/b HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\n\r\n")
		f.c.Assert(err, qt.IsNil)
		f.expectInOrder(bufio.NewReader(conn), 2)
		f.c.Check(early.Load(), qt.IsFalse)
	})
}

// Guards against a warning about a wait that was short for the caller, and against an objective
// that counts late answers: the deadline is 2 s, the target 1 s.
func TestLateTurnsAndAnswersInTargetAreCounted(t *testing.T) {
	for _, test := range []struct {
		work            time.Duration
		warned          bool
		answersInTarget int64
	}{
		{600 * time.Millisecond, false, 2},
		{1200 * time.Millisecond, true, 1},
	} {
		t.Run(test.work.String(), func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				emitted := &events{}
				n := f.addRouted("a", "desk", 10, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
					if r.Header.Get("X-Id") == "r0" {
						time.Sleep(test.work)
					}
					echo(w, r, call)
				}, logged(f.c, emitted))
				f.settle()
				conn := f.sendPipelined(n, "/browse/a", "/browse/b")
				defer conn.Close()
				f.expectInOrder(bufio.NewReader(conn), 2)
				f.c.Check(emitted.has("turn-awaited"), qt.Equals, test.warned)
				f.c.Check(n.metrics.Profile("read").InTarget.Count(), qt.Equals, test.answersInTarget)
			})
		})
	}
}
