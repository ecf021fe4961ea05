package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// wordsOfLives is the reference for announcedInstances: the state that follows from the
// announcements and farewells received for one upstream name. Incarnations are numbered
// in the order of their starts.
type wordsOfLives struct {
	// newest is the latest incarnation of which a message was received, 0 for none.
	newest   int
	sequence uint64
	left     bool
	heard    time.Time
}

// announced reports whether an announcement has to be accepted, and records it if so.
func (w *wordsOfLives) announced(life int, sequence uint64, now time.Time) bool {
	silent := now.Sub(w.heard) >= lifeSilence
	switch {
	case life < w.newest && !silent:
		return false
	case life == w.newest && (w.left || sequence <= w.sequence):
		return false
	}
	*w = wordsOfLives{newest: life, sequence: sequence, heard: now}
	return true
}

// farewell reports whether a farewell has to be accepted, and records it if so.
func (w *wordsOfLives) farewell(life int, now time.Time) bool {
	if life < w.newest {
		return false
	}
	*w = wordsOfLives{newest: life, left: true, heard: now}
	return true
}

// The kinds of steps in a random script. Each step has two bytes: the kind and the name,
// and then the incarnation and the sequence number, or the duration of a wait.
const (
	wordAnnounced = iota
	wordFarewell
	wordWait
	wordCount
)

// playLives runs a script against announcedInstances and the reference.
func playLives(t *testing.T, script []byte) {
	c := qt.New(t)
	var real announcedInstances
	want := map[string]*wordsOfLives{"a": {}, "b": {}}
	names := []string{"a", "b"}
	now := time.Unix(1e9, 0)
	for step := 0; step+1 < len(script); step += 2 {
		kind, name := script[step]%wordCount, names[script[step]/wordCount%2]
		life, sequence := 1+int(script[step+1]%4), uint64(script[step+1]/4%8)+1
		born := int64(life) * 1000
		switch kind {
		case wordAnnounced:
			taken := real.fresh(Announcement{Instance: name, Born: born, Sequence: sequence}, now)
			c.Assert(taken, qt.Equals, want[name].announced(life, sequence, now), qt.Commentf("step %d: incarnation %d, sequence %d", step, life, sequence))
		case wordFarewell:
			taken := real.left(name, born, now)
			c.Assert(taken, qt.Equals, want[name].farewell(life, now), qt.Commentf("step %d: farewell of incarnation %d", step, life))
		case wordWait:
			now = now.Add(time.Duration(script[step+1]) * lifeSilence / 8)
		}
	}
}

// livesScripts announce incarnations in order and late, with farewells and waits in
// between.
var livesScripts = [][]byte{
	{wordAnnounced, 0, wordAnnounced, 4, wordAnnounced, 0, wordAnnounced, 1, wordFarewell, 0, wordAnnounced, 4, wordFarewell, 1, wordAnnounced, 9},
	{wordAnnounced, 1, wordWait, 7, wordAnnounced, 0, wordWait, 1, wordAnnounced, 0, wordAnnounced, 4},
	{wordAnnounced + wordCount, 2, wordAnnounced, 0, wordFarewell + wordCount, 2, wordFarewell, 2, wordAnnounced, 1, wordAnnounced + wordCount, 3},
}

// Upstreams restart under the same name, and messages of earlier incarnations arrive
// late, repeatedly or after a silence. An incarnation that has left, or that a later
// one has replaced, must not come back, and a later incarnation must be accepted at
// once.
func TestLivesAgreeWithAReference(t *testing.T) {
	for _, script := range livesScripts {
		playLives(t, script)
	}
}

// FuzzLives makes the same comparison for random scripts.
func FuzzLives(f *testing.F) {
	for _, script := range livesScripts {
		f.Add(script)
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		if len(script) > 200 {
			return
		}
		playLives(t, script)
	})
}
