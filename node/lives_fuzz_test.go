package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// announcementModel is the reference for announcedInstances: the state that follows
// from the announcements and farewells received for one upstream name. Incarnations are
// numbered in the order of their starts.
type announcementModel struct {
	// newest is the latest incarnation of which a message was received, 0 for none.
	newest   int
	sequence uint64
	left     bool
	heard    time.Time
}

// announced reports whether an announcement has to be accepted, and records it if so.
func (w *announcementModel) announced(incarnation int, sequence uint64, now time.Time) bool {
	silent := now.Sub(w.heard) >= reorderWindow
	switch {
	case incarnation < w.newest && !silent:
		return false
	case incarnation == w.newest && (w.left || sequence <= w.sequence):
		return false
	}
	*w = announcementModel{newest: incarnation, sequence: sequence, heard: now}
	return true
}

// farewell reports whether a farewell has to be accepted, and records it if so.
func (w *announcementModel) farewell(incarnation int, now time.Time) bool {
	if incarnation < w.newest {
		return false
	}
	*w = announcementModel{newest: incarnation, left: true, heard: now}
	return true
}

// The kinds of steps in a random script. Each step has two bytes: the kind and the name,
// and then the incarnation and the sequence number, or the duration of a wait.
const (
	stepAnnouncement = iota
	stepFarewell
	stepWait
	stepKinds
)

// replayScript runs a script against announcedInstances and the reference.
func replayScript(t *testing.T, script []byte) {
	c := qt.New(t)
	var got announcedInstances
	want := map[string]*announcementModel{"a": {}, "b": {}}
	names := []string{"a", "b"}
	now := time.Unix(1e9, 0)
	for step := 0; step+1 < len(script); step += 2 {
		kind, name := script[step]%stepKinds, names[script[step]/stepKinds%2]
		incarnation, sequence := 1+int(script[step+1]%4), uint64(script[step+1]/4%8)+1
		born := int64(incarnation) * 1000
		switch kind {
		case stepAnnouncement:
			taken := got.fresh(Announcement{Instance: name, Born: born, Sequence: sequence}, now)
			c.Assert(taken, qt.Equals, want[name].announced(incarnation, sequence, now), qt.Commentf("step %d: incarnation %d, sequence %d", step, incarnation, sequence))
		case stepFarewell:
			taken := got.recordDeparture(name, born, now)
			c.Assert(taken, qt.Equals, want[name].farewell(incarnation, now), qt.Commentf("step %d: farewell of incarnation %d", step, incarnation))
		case stepWait:
			now = now.Add(time.Duration(script[step+1]) * reorderWindow / 8)
		}
	}
}

// incarnationScripts announce incarnations in order and late, with farewells and waits
// in between.
var incarnationScripts = [][]byte{
	{stepAnnouncement, 0, stepAnnouncement, 4, stepAnnouncement, 0, stepAnnouncement, 1, stepFarewell, 0, stepAnnouncement, 4, stepFarewell, 1, stepAnnouncement, 9},
	{stepAnnouncement, 1, stepWait, 7, stepAnnouncement, 0, stepWait, 1, stepAnnouncement, 0, stepAnnouncement, 4},
	{stepAnnouncement + stepKinds, 2, stepAnnouncement, 0, stepFarewell + stepKinds, 2, stepFarewell, 2, stepAnnouncement, 1, stepAnnouncement + stepKinds, 3},
}

// Upstreams restart under the same name, and messages of earlier incarnations arrive
// late, repeatedly or after a silence. An incarnation that has left, or that a later
// one has replaced, must not come back, and a later incarnation must be accepted at
// once.
func TestIncarnationsAgreeWithAReference(t *testing.T) {
	for _, script := range incarnationScripts {
		replayScript(t, script)
	}
}

// FuzzLives makes the same comparison for random scripts.
func FuzzLives(f *testing.F) {
	for _, script := range incarnationScripts {
		f.Add(script)
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		if len(script) > 200 {
			return
		}
		replayScript(t, script)
	})
}
