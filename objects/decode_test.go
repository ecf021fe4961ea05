package objects

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A store responds with an object that was not requested, with a version or
// revision that went back, or with an endless sequence of pages. If the client
// accepted these, its caller would act on another object's value or list forever.
func TestRepliesAreCheckedAgainstTheQuery(t *testing.T) {
	c := qt.New(t)
	update := Query{Op: OpUpdate, Kind: "config", Name: "main", Expected: 3}
	good := Object{Kind: "config", Name: "main", Version: 4, Revision: 9}
	_, err := update.object(Answer{}, Reply{Objects: []Object{good}})
	c.Assert(err, qt.IsNil)
	for problem, corrupt := range map[string]func(*Object){
		"kind":       func(o *Object) { o.Kind = "other" },
		"name":       func(o *Object) { o.Name = "else" },
		"no version": func(o *Object) { o.Version = 0 },
		"went back":  func(o *Object) { o.Version = 3 },
	} {
		o := good
		corrupt(&o)
		_, err := update.object(Answer{}, Reply{Objects: []Object{o}})
		c.Check(err, qt.ErrorAs, new(*ProtocolError), qt.Commentf("%s", problem))
	}
	_, err = update.object(Answer{}, Reply{Objects: []Object{good, good}})
	c.Check(err, qt.ErrorAs, new(*ProtocolError))

	list := Query{Op: OpList, Kind: "config", prefix: "ma", After: "main"}
	_, err = list.page(Answer{}, Reply{Objects: []Object{good}})
	c.Check(err, qt.ErrorAs, new(*ProtocolError), qt.Commentf("repeated page"))
	_, err = list.page(Answer{}, Reply{More: true})
	c.Check(err, qt.ErrorAs, new(*ProtocolError), qt.Commentf("empty page with a next page"))
	outside := Object{Kind: "config", Name: "other", Version: 1, Revision: 1}
	inside := Object{Kind: "config", Name: "maple", Version: 1, Revision: 1}
	matching, err := Query{Op: OpList, Kind: "config", prefix: "ma"}.page(Answer{}, Reply{Objects: []Object{inside, outside}})
	c.Assert(err, qt.IsNil)
	c.Check(matching, qt.DeepEquals, []Object{inside})

	_, err = Query{Op: OpWatch, Kind: "config", From: 5}.events(Answer{}, Reply{Revision: 4})
	c.Check(err, qt.ErrorAs, new(*ProtocolError), qt.Commentf("watch revision goes back"))
}

func TestBackoffIsBoundedAndSpread(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Base: 100 * time.Millisecond, Max: 10 * time.Second}
	c.Assert(b.Ceiling(0), qt.Equals, 100*time.Millisecond)
	c.Assert(b.Ceiling(3), qt.Equals, 800*time.Millisecond)
	c.Assert(b.Ceiling(1<<30), qt.Equals, b.Max)
	low, high := b.Max, time.Duration(0)
	for range 1000 {
		d := b.Delay(50, r)
		low, high = min(low, d), max(high, d)
	}
	c.Assert(low < b.Max/20 && high > b.Max*19/20 && high <= b.Max, qt.IsTrue)
}

// The memory that a view uses for tombstones must stay bounded however many
// objects are deleted, and a list from a lagging replica must not revert the
// handler to older versions.
func TestViewBoundsTombstonesAndRejectsStaleLists(t *testing.T) {
	c := qt.New(t)
	v := newView()
	for i := range uint64(maxTombstones + 1) {
		v.recordIfNew(Event{Type: EventDelete, Object: Object{Name: formatDecimal(i), Revision: i + 1}})
	}
	c.Assert(v.hasTooManyTombstones(), qt.IsTrue)
	_, err := v.replace("config", nil, maxTombstones)
	c.Assert(err, qt.ErrorAs, new(*StaleError))
	changes, err := v.replace("config", nil, maxTombstones+1)
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.HasLen, 0)
	c.Assert(v.known, qt.HasLen, 0)
	c.Assert(v.recordIfNew(Event{Object: Object{Name: "7", Revision: 5}}), qt.IsFalse)
}
