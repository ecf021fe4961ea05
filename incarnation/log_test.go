package incarnation

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

func departure(name string, at int64) Departure {
	return Departure{ID: ID{Name: name}, Sequence: finalSequence, LeftAt: at}
}

// Guards against departures that a second process of the same node overwrites, and against an
// object that grows without end.
func TestStoredDepartures(t *testing.T) {
	c := qt.New(t)
	store := standin.NewMemory()
	first := NewLog(store, "10.0.0.1:7620")
	got, err := first.Load(c.Context())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, 0)
	c.Assert(first.Store(c.Context(), []Departure{departure("a", 1)}), qt.IsNil)
	second := NewLog(store, "10.0.0.1:7620")
	c.Assert(second.Store(c.Context(), []Departure{departure("b", 2)}), qt.IsNil)
	// The version that first knows is out of date.
	err = first.Store(c.Context(), []Departure{departure("a", 1), departure("c", 3)})
	var conflict *objects.ConflictError
	c.Assert(err, qt.ErrorAs, &conflict)
	c.Assert(first.Store(c.Context(), []Departure{departure("a", 1), departure("c", 3)}), qt.IsNil)
	got, err = second.Load(c.Context())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, []Departure{departure("a", 1), departure("b", 2), departure("c", 3)})
	for i := range 3 * maxStored {
		c.Assert(second.Store(c.Context(), []Departure{departure(fmt.Sprint("d", i), int64(10+i))}), qt.IsNil)
	}
	got, err = second.Load(c.Context())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, maxStored)
	c.Check(got[maxStored-1].Name, qt.Equals, fmt.Sprint("d", 3*maxStored-1))
}

// Guards against a start that fails because another program has written to the object, and
// against a leave that can't be stored for it.
func TestForeignObjectHoldsNoDepartures(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{"", "{", "[1]", `{"departures":7}`, `{"departures":[{"name":""}]}`, `{"other":1}`} {
		store := standin.NewMemory()
		_, err := store.Create(c.Context(), Kind, "vm", []byte(value))
		c.Assert(err, qt.IsNil)
		log := NewLog(store, "vm")
		got, err := log.Load(c.Context())
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.HasLen, 0, qt.Commentf("%s", value))
		c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}), qt.IsNil)
		got, err = log.Load(c.Context())
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, []Departure{departure("a", 1)})
	}
}

// Guards against a departure that is missing after the platform was restored to a state from
// before it.
func TestDeparturesAreStoredAgainAfterARestore(t *testing.T) {
	c := qt.New(t)
	store := standin.NewMemory()
	log := NewLog(store, "vm")
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}), qt.IsNil)
	o, err := store.Get(c.Context(), Kind, "vm")
	c.Assert(err, qt.IsNil)
	c.Assert(store.Delete(c.Context(), Kind, "vm", o.Version), qt.IsNil)
	log.Forget()
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}), qt.IsNil)
	_, err = store.Get(c.Context(), Kind, "vm")
	c.Check(err, qt.IsNil)
}

// lossyStore executes writes and loses their answers.
type lossyStore struct {
	*standin.Memory
	losses int
}

func (s *lossyStore) Create(ctx context.Context, kind, name string, value []byte) (objects.Object, error) {
	o, err := s.Memory.Create(ctx, kind, name, value)
	if s.losses > 0 {
		s.losses--
		return objects.Object{}, &objects.AmbiguousError{Op: objects.OpCreate, Kind: kind, Name: name}
	}
	return o, err
}

// Guards against a departure that is never stored because the answer to its first write was
// lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	c := qt.New(t)
	store := &lossyStore{Memory: standin.NewMemory(), losses: 1}
	log := NewLog(store, "vm")
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}), qt.ErrorAs, new(*objects.AmbiguousError))
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}), qt.IsNil)
	got, err := log.Load(c.Context())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, []Departure{departure("a", 1)})
}
