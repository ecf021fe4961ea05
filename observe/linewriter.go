package observe

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// Defaults of a LineWriter.
const (
	// DefaultLineBuffer holds some seconds of lines at the rates of the
	// catalogue, in bytes.
	DefaultLineBuffer = 256 << 10
	// DefaultLinePause is how long lines are gathered before they are written.
	// One write of many lines costs one system call.
	DefaultLinePause = 100 * time.Millisecond
)

// LineWriter passes lines on to a slow or stopped reader without ever waiting
// for it: lines are put into a bounded buffer, which a goroutine of its own
// writes out. What does not fit is counted, and told in a line once there is
// room again.
//
// The failure: a process logs to a pipe, its reader stops, and with the pipe's
// buffer full each call that logs a line stands still.
type LineWriter struct {
	output io.Writer
	pause  time.Duration
	limit  int

	mu      sync.Mutex
	pending []byte
	dropped int64
	// told counts the drops that were reported.
	total  int64
	wake   chan struct{}
	closed bool
	done   chan struct{}
}

// NewLineWriter returns a LineWriter that holds up to limit bytes (0: the
// default) and starts its goroutine.
func NewLineWriter(output io.Writer, limit int, pause time.Duration) *LineWriter {
	if limit <= 0 {
		limit = DefaultLineBuffer
	}
	if pause <= 0 {
		pause = DefaultLinePause
	}
	w := &LineWriter{output: output, pause: pause, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never waits for the output.
func (w *LineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > w.limit {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were left out since the start.
func (w *LineWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes out what is pending, but waits no longer than patience for the
// output to take it.
func (w *LineWriter) Close(patience time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *LineWriter) run() {
	defer close(w.done)
	var batch []byte
	for range w.wake {
		batch = w.take(batch[:0])
		if len(batch) > 0 {
			// An output that fails has nowhere to be reported; calls go on.
			_, _ = w.output.Write(batch)
		}
		if w.ended() {
			return
		}
		time.Sleep(w.pause)
	}
}

// take returns what is pending, after a line that tells of drops.
func (w *LineWriter) take(batch []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped > 0 {
		batch = append(batch, "level=warn event="+strconv.Itoa(LinesDropped.ID)+" name="+LinesDropped.Name+" count="+strconv.FormatInt(w.dropped, 10)+"\n"...)
		w.dropped = 0
	}
	batch = append(batch, w.pending...)
	w.pending = w.pending[:0]
	return batch
}

func (w *LineWriter) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed && len(w.pending) == 0
}
