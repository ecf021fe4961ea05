package atmostonce

import (
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// An owner and two witnesses exchange messages that are lost, repeated, delayed
// and reordered. Once the messages that the owner still wants to send have
// arrived, the witnesses must store exactly its open notes. A settled call that
// is still listed makes an operator investigate for nothing; an open call that
// is missing stays unnoticed if the owner crashes.
func TestWitnessesAgreeWithTheOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const owner = Incarnation("home")
		now := time.Unix(1000, 0)
		tracker := NewNoteTracker(20)
		members := map[string]*WitnessStore{"b": NewWitnessStore(30), "c": NewWitnessStore(30)}
		names := []string{"b", "c"}
		var late []func()
		open := map[uint64]bool{}
		// deliver calls act now, later, both or not at all, and reports whether
		// the owner receives the response.
		deliver := func(act func()) bool {
			if rapid.Bool().Draw(t, "arrives later") {
				late = append(late, act)
			}
			if rapid.Bool().Draw(t, "arrives") {
				act()
				return rapid.Bool().Draw(t, "answered")
			}
			return false
		}
		send := func(name string, notes []Note, word OpenNotes) bool {
			return deliver(func() {
				members[name].Update(owner, word)
				members[name].StoreNotes(owner, notes, now)
			})
		}
		isAlive := func(string) bool { return rapid.Bool().Draw(t, "lives") }
		t.Repeat(map[string]func(*rapid.T){
			"file": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "to")
				note, ok := tracker.Add(Note{Since: now, Expires: now.Add(time.Hour)}, name)
				if !ok {
					return
				}
				open[note.Number] = true
				confirmed := deliver(func() { members[name].StoreNotes(owner, []Note{note}, now) })
				tracker.RecordSent([]Note{note}, name, confirmed)
			},
			"settle": func(t *rapid.T) {
				if len(open) > 0 {
					number := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "settled")
					tracker.Settle(number)
					delete(open, number)
				}
			},
			"retell": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "to")
				notes := tracker.Unconfirmed(now, isAlive, 5)
				tracker.RecordSent(notes, name, send(name, notes, tracker.AddRecipient(notes, name)))
			},
			"update": func(t *rapid.T) {
				for _, name := range tracker.Stale() {
					snapshot := tracker.OpenNotesFor(name)
					if send(name, nil, snapshot) {
						late = append(late, func() { tracker.Confirm(name, snapshot.Seq) })
					}
				}
			},
			"late": func(t *rapid.T) {
				if len(late) > 0 {
					rapid.SampledFrom(late).Draw(t, "message")()
				}
			},
			"": func(*rapid.T) {},
		})
		// From here on messages arrive. The delayed ones arrive first.
		for _, act := range late {
			act()
		}
		for _, name := range tracker.Stale() {
			word := tracker.OpenNotesFor(name)
			members[name].Update(owner, word)
			tracker.Confirm(name, word.Seq)
		}
		notes := tracker.Unconfirmed(now, func(string) bool { return true }, 100)
		members["b"].Update(owner, tracker.AddRecipient(notes, "b"))
		members["b"].StoreNotes(owner, notes, now)
		for _, act := range late {
			act()
		}
		stored := map[uint64]bool{}
		for _, name := range names {
			for _, note := range members[name].OrphanedNotes(now, func(Incarnation) bool { return false }) {
				stored[note.Number] = true
			}
		}
		if !maps.Equal(stored, open) {
			t.Fatalf("witnesses store notes %v, but the open notes are %v", stored, open)
		}
	})
}

// The witness of many owners is full. It must not drop an open note for a new
// one, because the owner of the new note can send it to another member. Expired
// notes free capacity.
func TestFullWitnessKeepsOpenNotes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	w := NewWitnessStore(2)
	until := func(number uint64, d time.Duration) []Note {
		return []Note{{Number: number, Since: now, Expires: now.Add(d)}}
	}
	c.Check(w.StoreNotes("a", until(1, time.Hour), now), qt.Equals, 0)
	c.Check(w.StoreNotes("a", until(1, time.Hour), now), qt.Equals, 0)
	c.Check(w.StoreNotes("b", until(1, time.Minute), now), qt.Equals, 0)
	c.Check(w.StoreNotes("b", until(2, time.Hour), now), qt.Equals, 1)
	c.Check(w.StoreNotes("b", until(2, time.Hour), now.Add(2*time.Minute)), qt.Equals, 0)
	w.Update("a", OpenNotes{Seq: 1, Through: 1})
	c.Check(w.Len(), qt.Equals, 1)
	n := NewNoteTracker(1)
	_, ok := n.Add(Note{Expires: now.Add(time.Hour)}, "b")
	c.Check(ok, qt.IsTrue)
	_, ok = n.Add(Note{}, "b")
	c.Check(ok, qt.IsFalse)
	n.RecordSent([]Note{{Number: 1}}, "b", false)
	c.Check(n.Unconfirmed(now.Add(time.Hour), nil, 9), qt.HasLen, 0)
	_, ok = n.Add(Note{}, "b")
	c.Check(ok, qt.IsTrue)
}

// BenchmarkWitnessedNote measures the memory that a witness uses per note.
func BenchmarkWitnessedNote(b *testing.B) {
	w := NewWitnessStore(b.N)
	now := time.Now()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		w.StoreNotes("home", []Note{{
			Number:  uint64(i),
			Key:     string([]byte("pg1.*86#37b8df0d")),
			Request: string([]byte("5c3276704f11.r7")),
			Profile: string([]byte("filing")),
			Since:   now,
			Expires: now.Add(time.Hour),
		}}, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/note")
	runtime.KeepAlive(w)
}
