package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A node is told to end and is finishing what it has when its settings file
// changes, and SIGHUP comes. By its default action that signal ends a process at
// once: every request under way loses its connection without an answer. The
// process must end by itself, when its work is done.
func TestReloadDoesNotCutShortTheEnd(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	f, err := newFleet(t.Context(), folder, len(services), fleetTerms(false))
	defer f.close()
	c.Assert(err, qt.IsNil)
	v := f.vms[0]
	v.mu.Lock()
	v.stopped = true // so that it is not started again
	process := v.process
	v.mu.Unlock()
	c.Assert(process.Signal(syscall.SIGTERM), qt.IsNil)
	const draining, drained = "event=1005", "event=1006"
	c.Assert(await(t.Context(), func() bool { return logged(v.log, draining) }), qt.IsNil)
	c.Assert(process.Signal(syscall.SIGHUP), qt.IsNil)
	v.done.Wait()
	c.Check(f.record.ends, qt.HasLen, 0)
	c.Check(logged(v.log, drained), qt.IsTrue)
}

// logged tells whether a log has a line with the text.
func logged(path, text string) bool {
	data, err := os.ReadFile(filepath.Clean(path))
	return err == nil && bytes.Contains(data, []byte(text))
}
