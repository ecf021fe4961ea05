package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// SIGHUP, which announces a changed settings file, must not kill a node that is
// draining after SIGTERM. The signal's default action terminates a process at once,
// so that every request in progress loses its connection without a response. The
// process must complete its drain and exit by itself.
func TestReloadDoesNotCutShortTheEnd(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	f, err := newFleet(t.Context(), folder, len(services), fleetTerms(false, len(services)))
	defer f.close()
	c.Assert(err, qt.IsNil)
	v := f.vms[0]
	v.mu.Lock()
	v.stopped = true // prevents a restart
	process := v.process
	v.mu.Unlock()
	c.Assert(process.Signal(syscall.SIGTERM), qt.IsNil)
	const draining, drained = "event=1005", "event=1006"
	c.Assert(await(t.Context(), func() bool { return logged(v.log, draining) }), qt.IsNil)
	c.Assert(process.Signal(syscall.SIGHUP), qt.IsNil)
	v.done.Wait()
	c.Check(f.record.exits, qt.HasLen, 0)
	c.Check(logged(v.log, drained), qt.IsTrue)
}

// Guards against a SIGHUP that kills the process between the end of its drain and its
// exit, with the last lines of its log.
func TestReloadsUntilTheExitDoNotKillTheProcess(t *testing.T) {
	c := qt.New(t)
	f, err := newFleet(t.Context(), c.TempDir(), len(services), fleetTerms(false, len(services)))
	defer f.close()
	c.Assert(err, qt.IsNil)
	v := f.vms[0]
	v.mu.Lock()
	v.stopped = true // prevents a restart
	process := v.process
	v.mu.Unlock()
	c.Assert(process.Signal(syscall.SIGTERM), qt.IsNil)
	for process.Signal(syscall.SIGHUP) == nil {
		time.Sleep(5 * time.Millisecond)
	}
	v.done.Wait()
	c.Check(f.record.exits, qt.HasLen, 0)
	c.Check(logged(v.log, "event=1022"), qt.IsTrue)
}

// logged reports whether a log contains the text.
func logged(path, text string) bool {
	data, err := os.ReadFile(filepath.Clean(path))
	return err == nil && bytes.Contains(data, []byte(text))
}

// Guards against a SIGHUP that ends a process which has just started: before the process catches
// the signal, it has its default action.
func TestReloadJustAfterTheStartDoesNotEndTheProcess(t *testing.T) {
	c := qt.New(t)
	for range 5 {
		process, err := startProgram(filepath.Join(c.TempDir(), "log"), "sidecar", "--settings", filepath.Join(c.TempDir(), "none"))
		c.Assert(err, qt.IsNil)
		for until := time.Now().Add(awaitTimeout); !handlesSIGHUP(process.Pid) && time.Now().Before(until); {
			time.Sleep(50 * time.Microsecond)
		}
		_ = process.Signal(syscall.SIGHUP)
		state, err := process.Wait()
		c.Assert(err, qt.IsNil)
		status, ok := state.Sys().(syscall.WaitStatus)
		c.Check(ok && status.Signaled(), qt.IsFalse, qt.Commentf("%s", state))
	}
}

// handlesSIGHUP reports whether a process ignores SIGHUP or has a handler for it, or has ended.
func handlesSIGHUP(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return true
	}
	const bit = 1 << (int(syscall.SIGHUP) - 1)
	for line := range strings.Lines(string(status)) {
		mask, found := strings.CutPrefix(line, "SigIgn:")
		if !found {
			mask, found = strings.CutPrefix(line, "SigCgt:")
		}
		if !found {
			continue
		}
		if set, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64); err == nil && set&bit != 0 {
			return true
		}
	}
	return strings.Contains(string(status), "Z (zombie)")
}
