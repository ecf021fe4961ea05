package observe

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

// Defaults of a LineWriter.
const (
	// DefaultLineBuffer is the default size of the buffer in bytes. It holds a
	// few seconds of lines at the rates of the event catalogue.
	DefaultLineBuffer = 256 << 10
	// DefaultLinePause is the default pause between two writes. Lines collect
	// during the pause, so that many of them share one system call.
	DefaultLinePause = 100 * time.Millisecond
)

// LineWriter writes lines to an output with a slow or stopped reader without
// blocking the caller: it appends lines to a bounded buffer that its own goroutine
// writes out. Lines that don't fit are dropped and counted, and a line reports
// their number with the next write to the output.
//
// It guards against the following failure: a process logs to a pipe whose reader
// stops. Once the pipe's buffer is full, each call that logs a line would block.
type LineWriter struct {
	output io.Writer
	pause  time.Duration
	limit  int

	mu         sync.Mutex
	pending    []byte
	unreported int64
	// totalDropped counts all dropped lines; unreported counts the ones that no
	// line has reported yet.
	totalDropped int64
	wake         chan struct{}
	closed       bool
	done         chan struct{}
}

// NewLineWriter starts a LineWriter with a buffer of limit bytes
// (0: DefaultLineBuffer) and the given pause between writes (0: DefaultLinePause).
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
		w.unreported++
		w.totalDropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *LineWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Close writes out the pending lines. It returns after timeout at the latest,
// even if the output has not accepted them.
func (w *LineWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(timeout)
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
			if _, err := w.output.Write(batch); err != nil {
				// The error itself can't be logged; the lines count as dropped.
				w.countDropped(bytes.Count(batch, []byte{'\n'}))
			}
		}
		if w.finished() {
			return
		}
		time.Sleep(w.pause)
	}
}

func (w *LineWriter) countDropped(lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreported += int64(lines)
	w.totalDropped += int64(lines)
}

// take appends the pending lines to batch and clears them. If lines were dropped,
// a line with their number comes first.
func (w *LineWriter) take(batch []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreported > 0 {
		batch = append(batch, "level=warn event="+strconv.Itoa(LinesDropped.ID)+" name="+LinesDropped.Name+" count="+strconv.FormatInt(w.unreported, 10)+"\n"...)
		w.unreported = 0
	}
	batch = append(batch, w.pending...)
	w.pending = w.pending[:0]
	return batch
}

func (w *LineWriter) finished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed && len(w.pending) == 0
}
