package node

import (
	"bufio"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a node that closes callers' connections and leaves no line with the
// request, the cause and its age.
func TestEachRequestThatIsCutLeavesALine(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n, log := f.addLogged("a", "desk", func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			<-r.Context().Done()
		})
		f.settle()
		conn := f.sendPipelined(n, "/file/a", "/file/b")
		defer conn.Close()
		time.Sleep(time.Second)
		n.Close()
		synctest.Wait()
		f.c.Check(has(log.about("r0"), "name=request-cut", "cause=shutdown", "age=1s"), qt.IsTrue)
		f.c.Check(has(log.about("r1"), "name=request-cut", "cause=pipelined", "age=1s"), qt.IsTrue)
		f.c.Check(n.metrics.RequestsCut.With("shutdown").Count(), qt.Equals, int64(1))
		f.c.Check(n.metrics.RequestsCut.With("pipelined").Count(), qt.Equals, int64(1))
		counts := n.inflight.Counts()
		f.c.Check(counts.Open, qt.Equals, int64(0))
		f.c.Check(counts.Read, qt.Equals, counts.Answered+counts.Cut)
	})
}

// Guards against an exit that can't be told from a kill by the log, and that does not
// account for the requests of the process.
func TestExitAccountsForAllRequests(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n, log := f.addLogged("a", "desk", echo)
		f.settle()
		conn := f.sendPipelined(n, "/browse/a")
		defer conn.Close()
		f.expectInOrder(bufio.NewReader(conn), 1)
		f.c.Assert(n.Drain(f.t.Context()), qt.IsNil)
		lines := log.all()
		f.c.Check(has(lines, "name=shutdown-begun"), qt.IsTrue)
		f.c.Check(has(lines, "name=drain-progress", "open=0"), qt.IsTrue)
		f.c.Check(has(lines[len(lines)-1:], "name=process-ends", "cut=0", "open=0"), qt.IsTrue, qt.Commentf("%q", lines))
	})
}

// Guards against a drain that outlasts its work because of its own log lines.
func TestDrainEndsWithItsWork(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("a", "desk", 10, echo)
		f.settle()
		began := time.Now()
		f.c.Assert(n.Drain(f.t.Context()), qt.IsNil)
		f.c.Check(time.Since(began) < 2500*time.Millisecond+time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	})
}
