package soak

import (
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that is killed by SIGPIPE, with all its connections, when the
// reader of its log exits.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	c := qt.New(t)
	f, err := newFleet(t.Context(), c.TempDir(), len(services), fleetTerms(false, len(services)))
	defer f.close()
	c.Assert(err, qt.IsNil)
	v := f.vms[0]
	v.mu.Lock()
	v.stopped = true // prevents a restart
	v.mu.Unlock()
	v.signal(syscall.SIGKILL, true)
	v.done.Wait()
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	process, err := startProgramTo(writer, "sidecar", "--settings", v.settings,
		"--advertise-peer", v.at(portPeerProxy), "--advertise-gossip", v.at(portGossipProxy))
	c.Assert(err, qt.IsNil)
	c.Assert(writer.Close(), qt.IsNil)
	exited := make(chan *os.ProcessState, 1)
	go func() {
		state, _ := process.Wait()
		exited <- state
	}()
	defer func() { _ = process.Kill() }()
	c.Assert(await(t.Context(), func() bool { return v.ready(f.client) }), qt.IsNil)
	c.Assert(reader.Close(), qt.IsNil)
	// Each configuration in force writes a line.
	for range 3 {
		f.operator.change(t.Context())
		pause(t.Context(), 500*time.Millisecond)
	}
	select {
	case state := <-exited:
		c.Fatalf("the process exited: %s", state)
	default:
	}
	c.Check(v.ready(f.client), qt.IsTrue)
}
