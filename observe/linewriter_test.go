package observe

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process logs to a pipe whose reader has stopped. Calls that log must not block
// on it, and once the reader continues, a line must report the number of dropped
// lines.
func TestLineWriterNeverWaitsForItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		reader, writer := io.Pipe()
		w := NewLineWriter(writer, 1000, time.Millisecond)
		began := time.Now()
		for range 500 {
			_, err := w.Write([]byte("a line of some twenty\n"))
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Millisecond)
		}
		c.Check(time.Since(began), qt.Equals, 500*time.Millisecond)
		c.Check(w.Dropped() > 400, qt.IsTrue, qt.Commentf("%d", w.Dropped()))
		var out strings.Builder
		var read sync.WaitGroup
		read.Go(func() { _, _ = io.Copy(&out, reader) })
		time.Sleep(time.Second)
		w.Close(time.Second)
		_ = writer.Close()
		read.Wait()
		c.Check(out.String(), qt.Contains, "name="+LinesDropped.Name+" count=")
	})
}

// A reader that has stopped for good must not prevent the process from exiting.
func TestLineWriterClosesWithoutItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		reader, writer := io.Pipe()
		w := NewLineWriter(writer, 1000, time.Millisecond)
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		began := time.Now()
		w.Close(200 * time.Millisecond)
		c.Check(time.Since(began) <= 200*time.Millisecond, qt.IsTrue)
		_ = reader.Close()
	})
}

// errorWriter is an output whose reader has exited.
type errorWriter struct{}

func (errorWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against a log whose reader has exited and whose lost lines nothing counts.
func TestLinesThatCanNotBeWrittenAreCounted(t *testing.T) {
	c := qt.New(t)
	w := NewLineWriter(errorWriter{}, 0, time.Millisecond)
	for range 3 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(time.Second)
	c.Check(w.Dropped(), qt.Equals, int64(3))
}
