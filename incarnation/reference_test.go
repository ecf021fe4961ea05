package incarnation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reference is a second, independent statement of what follows from the reports about the
// starts of an upstream under one name. Starts are numbered in their order.
type reference struct {
	starts map[int]*referenceStart
	// inUse is the start in use, 0 for none.
	inUse      int
	disputed   bool
	disputedAt time.Time
}

type referenceStart struct {
	sequence uint64
	left     bool
	heard    time.Time
}

func (r *reference) newest() (newest int) {
	for start := range r.starts {
		newest = max(newest, start)
	}
	return newest
}

// silent reports whether a start was not heard of for ReorderWindow.
func (r *reference) silent(start int, now time.Time) bool {
	return start == 0 || now.Sub(r.starts[start].heard) >= ReorderWindow
}

// heartbeat reports whether a heartbeat has to be taken, and records it if so.
func (r *reference) heartbeat(start int, sequence uint64, now time.Time) bool {
	known := r.starts[start]
	if known != nil && (known.left || sequence <= known.sequence) {
		return false
	}
	if start < r.newest() && !r.silent(r.newest(), now) {
		return false
	}
	if known != nil && start < r.inUse && !r.silent(r.inUse, now) {
		return false
	}
	r.starts[start] = &referenceStart{sequence: sequence, heard: now}
	r.inUse = start
	r.disputed = r.disputed && now.Sub(r.disputedAt) < ReorderWindow
	return true
}

// leave reports whether the departure is news, and records it.
func (r *reference) leave(start int, now time.Time) bool {
	if known := r.starts[start]; known != nil && known.left {
		return false
	}
	r.starts[start] = &referenceStart{left: true, heard: now}
	if start < r.inUse {
		r.disputed, r.disputedAt = true, now
	}
	return true
}

func (r *reference) available() bool {
	return r.inUse != 0 && !r.disputed && !r.starts[r.inUse].left
}

// The kinds of steps in a random script. Each step has two bytes: the kind and the name,
// and then the start and the sequence number, or the duration of a wait.
const (
	stepHeartbeat = iota
	stepLeave
	stepWait
	stepKinds
)

// replayScript runs a script against a tracker for each name and the reference.
func replayScript(t *testing.T, script []byte) {
	c := qt.New(t)
	trackers := map[string]*Tracker{"a": {}, "b": {}}
	want := map[string]*reference{"a": {starts: map[int]*referenceStart{}}, "b": {starts: map[int]*referenceStart{}}}
	names := []string{"a", "b"}
	now := time.Unix(1e9, 0)
	for step := 0; step+1 < len(script); step += 2 {
		kind, name := script[step]%stepKinds, names[script[step]/stepKinds%2]
		start, sequence := 1+int(script[step+1]%4), uint64(script[step+1]/4%8)+1
		id := ID{Name: name, Born: int64(start) * 1000}
		switch kind {
		case stepHeartbeat:
			taken := !trackers[name].Heartbeat(Heartbeat{ID: id, Sequence: sequence}, now).Ignored
			c.Assert(taken, qt.Equals, want[name].heartbeat(start, sequence, now), qt.Commentf("step %d: start %d, sequence %d", step, start, sequence))
		case stepLeave:
			_, effect := trackers[name].Leave(id, now)
			taken := !effect.Ignored
			c.Assert(taken, qt.Equals, want[name].leave(start, now), qt.Commentf("step %d: start %d leaves", step, start))
		case stepWait:
			now = now.Add(time.Duration(script[step+1]) * ReorderWindow / 8)
		}
		c.Assert(trackers[name].Available(), qt.Equals, want[name].available(), qt.Commentf("step %d", step))
	}
}

// reportScripts report starts in order and late, with departures and waits in between.
var reportScripts = [][]byte{
	{stepHeartbeat, 0, stepHeartbeat, 4, stepHeartbeat, 0, stepHeartbeat, 1, stepLeave, 0, stepHeartbeat, 4, stepLeave, 1, stepHeartbeat, 9},
	{stepHeartbeat, 1, stepWait, 7, stepHeartbeat, 0, stepWait, 1, stepHeartbeat, 0, stepHeartbeat, 4},
	{stepHeartbeat + stepKinds, 2, stepHeartbeat, 0, stepLeave + stepKinds, 2, stepLeave, 2, stepHeartbeat, 1, stepHeartbeat + stepKinds, 3},
}

// Upstreams restart under the same name, and reports of earlier starts arrive late,
// repeatedly or after a silence. A start that has left must not come back, one that was
// replaced must not while its successor is heard of, and a later start must be taken at once.
func TestReportsAgreeWithAReference(t *testing.T) {
	for _, script := range reportScripts {
		replayScript(t, script)
	}
}

// FuzzReports makes the same comparison for random scripts.
func FuzzReports(f *testing.F) {
	for _, script := range reportScripts {
		f.Add(script)
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		if len(script) > 200 {
			return
		}
		replayScript(t, script)
	})
}
