package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// wordsOfLives is what was heard of the upstreams under one name, as the reference
// for announcedInstances: lives are numbered in the order of their starts.
type wordsOfLives struct {
	// newest is the latest life that was heard, 0 for none.
	newest   int
	sequence uint64
	left     bool
	heard    time.Time
}

// announced tells whether an announcement has to be taken, and notes it.
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

// farewell tells whether a farewell has to be taken, and notes it.
func (w *wordsOfLives) farewell(life int, now time.Time) bool {
	if life < w.newest {
		return false
	}
	*w = wordsOfLives{newest: life, left: true, heard: now}
	return true
}

// The steps of a drawn script, each of two bytes: what happens, and which life,
// sequence or wait.
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
			c.Assert(taken, qt.Equals, want[name].announced(life, sequence, now), qt.Commentf("step %d: life %d, sequence %d", step, life, sequence))
		case wordFarewell:
			taken := real.left(name, born, now)
			c.Assert(taken, qt.Equals, want[name].farewell(life, now), qt.Commentf("step %d: farewell of life %d", step, life))
		case wordWait:
			now = now.Add(time.Duration(script[step+1]) * lifeSilence / 8)
		}
	}
}

// livesScripts announce two lives in order and late, with farewells and waits.
var livesScripts = [][]byte{
	{wordAnnounced, 0, wordAnnounced, 4, wordAnnounced, 0, wordAnnounced, 1, wordFarewell, 0, wordAnnounced, 4, wordFarewell, 1, wordAnnounced, 9},
	{wordAnnounced, 1, wordWait, 7, wordAnnounced, 0, wordWait, 1, wordAnnounced, 0, wordAnnounced, 4},
	{wordAnnounced + wordCount, 2, wordAnnounced, 0, wordFarewell + wordCount, 2, wordFarewell, 2, wordAnnounced, 1, wordAnnounced + wordCount, 3},
}

// Upstreams start again under the name that they had, and words of their earlier
// lives arrive late, repeatedly or after a silence. A life that left, or that a later
// one has followed, must not come back, and a later one must be taken at once.
func TestLivesAgreeWithAReference(t *testing.T) {
	for _, script := range livesScripts {
		playLives(t, script)
	}
}

// FuzzLives is the same for drawn scripts.
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
