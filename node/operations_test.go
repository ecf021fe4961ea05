package node

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/observe"
)

// logBuffer collects a node's log.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

// all returns all lines.
func (b *logBuffer) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(strings.Lines(b.bytes.String()))
}

// about returns the lines that name a request.
func (b *logBuffer) about(id string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.bytes.String()) {
		if strings.Contains(line, "request="+id+" ") {
			found = append(found, line)
		}
	}
	return found
}

// addLogged is addRouted with a log that the test can read.
func (f *fleet) addLogged(name, service string, h handler, adjust ...func(*Settings)) (*Node, *logBuffer) {
	out := &logBuffer{}
	log, err := observe.NewLogger(observe.LoggerConfig{Output: out})
	f.c.Assert(err, qt.IsNil)
	n := f.addRouted(name, service, 10, h, append(adjust, func(s *Settings) { s.Log = log })...)
	return n, out
}

// has reports whether one line contains all of the words.
func has(lines []string, words ...string) bool {
	for _, line := range lines {
		all := true
		for _, word := range words {
			all = all && strings.Contains(line, word)
		}
		if all {
			return true
		}
	}
	return false
}

// Guards against logs that can't explain a failed request. Three customers complain,
// each with the id of a request that failed: one was refused before it ran, one ran but
// its answer was lost, and one timed out in a slow upstream. The lines that
// docs/OPERATIONS.md names must be in the logs of the nodes on the request's path, or
// nobody can tell the three apart.
func TestFailedRequestsCanBeExplainedFromLogs(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front, frontLog := f.addLogged("front", "front", echo)
		_, deskLog := f.addLogged("desk", "desk", func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			switch r.Header.Get("X-Id") {
			case "lost":
				panic(http.ErrAbortHandler)
			case "slow":
				time.Sleep(5 * time.Second)
			}
			echo(w, r, c)
		})
		f.settle()

		for range 200 {
			front.shedder.ObservePressure("read", 0.97, front.now())
		}
		for range 40 {
			f.askRouted(front, "/browse/x", "crowd")
		}
		// The refused level is recomputed four times a second. A level computed from the
		// first few of the crowd alone may be one below which hardly any request falls.
		time.Sleep(300 * time.Millisecond)
		front.shedder.ObservePressure("read", 0.97, front.now())
		refused := ""
		for i := 0; refused == "" && i < 50; i++ { // levels are random, and some requests pass
			id := "id-" + strconv.Itoa(i)
			if f.askRouted(front, "/browse/x", id).status == http.StatusServiceUnavailable {
				refused = id
			}
		}
		f.c.Check(has(frontLog.about(refused), "event=8003", "step=root", "reason=level-below", "outcome=not-run"), qt.IsTrue)
		f.c.Check(deskLog.about(refused), qt.HasLen, 0)

		f.c.Check(f.askRouted(front, "/file/x", "lost").status, qt.Equals, http.StatusBadGateway)
		f.c.Check(has(frontLog.about("lost"), "event=8004", "step=attempt", "target=desk/", "reason=lost"), qt.IsTrue)
		f.c.Check(has(frontLog.about("lost"), "event=8004", "step=root", "outcome=unknown", "ended=may-have-run"), qt.IsTrue)
		f.c.Check(has(deskLog.about("lost"), "event=8004", "step=inbound", "outcome=unknown", "reason=lost"), qt.IsTrue)

		f.c.Check(f.askRouted(front, "/file/x", "slow").reason, qt.Equals, "timeout")
		f.c.Check(has(frontLog.about("slow"), "event=8004", "step=root", "reason=timeout", "took=2s"), qt.IsTrue)
		// Both nodes have the same deadline, so either may log first.
		synctest.Wait()
		f.c.Check(has(deskLog.about("slow"), "event=8004", "step=inbound", "outcome=unknown", "waited=0s"), qt.IsTrue)
		time.Sleep(5 * time.Second) // wait until the upstream's handler ends
	})
}
