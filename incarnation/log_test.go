package incarnation

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
	"pollengauge.dev/standin"
)

// testTime is some seconds after the departures of the tests.
var testTime = time.UnixMilli(5000)

func departure(name string, at int64) Departure {
	return Departure{ID: ID{Name: name}, Sequence: finalSequence, LeftAt: at}
}

// Guards against departures that a second process of the same node overwrites, and against an
// object that grows without end.
func TestStoredDepartures(t *testing.T) {
	c := qt.New(t)
	store := standin.NewMemory()
	first := NewLog(store, "10.0.0.1:7620")
	got, err := first.Load(c.Context(), testTime)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, 0)
	c.Assert(first.Store(c.Context(), []Departure{departure("a", 1)}, testTime), qt.IsNil)
	second := NewLog(store, "10.0.0.1:7620")
	c.Assert(second.Store(c.Context(), []Departure{departure("b", 2)}, testTime), qt.IsNil)
	// The version that first knows is out of date.
	err = first.Store(c.Context(), []Departure{departure("a", 1), departure("c", 3)}, testTime)
	var conflict *objects.ConflictError
	c.Assert(err, qt.ErrorAs, &conflict)
	c.Assert(first.Store(c.Context(), []Departure{departure("a", 1), departure("c", 3)}, testTime), qt.IsNil)
	got, err = second.Load(c.Context(), testTime)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, []Departure{departure("a", 1), departure("b", 2), departure("c", 3)})
	for i := range 3 * maxStored {
		c.Assert(second.Store(c.Context(), []Departure{departure(fmt.Sprint("d", i), int64(10+i))}, testTime), qt.IsNil)
	}
	got, err = second.Load(c.Context(), testTime)
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
		_, err := store.Create(c.Context(), Kind, "vm-1:1", []byte(value))
		c.Assert(err, qt.IsNil)
		log := NewLog(store, "1:1")
		got, err := log.Load(c.Context(), testTime)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.HasLen, 0, qt.Commentf("%s", value))
		c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}, testTime), qt.IsNil)
		got, err = log.Load(c.Context(), testTime)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, []Departure{departure("a", 1)})
	}
}

// Guards against a departure that is missing after the platform was restored to a state from
// before it.
func TestDeparturesAreStoredAgainAfterARestore(t *testing.T) {
	c := qt.New(t)
	store := standin.NewMemory()
	log := NewLog(store, "1:1")
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}, testTime), qt.IsNil)
	o, err := store.Get(c.Context(), Kind, "vm-1:1")
	c.Assert(err, qt.IsNil)
	c.Assert(store.Delete(c.Context(), Kind, "vm-1:1", o.Version), qt.IsNil)
	log.Forget()
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}, testTime), qt.IsNil)
	_, err = store.Get(c.Context(), Kind, "vm-1:1")
	c.Check(err, qt.IsNil)
}

// Guards against an upstream without start times that gets no calls for ever because it left once
// under its name, and against a departure that is forgotten while reports may still be late.
func TestStoredDeparturesExpire(t *testing.T) {
	c := qt.New(t)
	log := NewLog(standin.NewMemory(), "1:1")
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1000)}, testTime), qt.IsNil)
	got, err := log.Load(c.Context(), testTime.Add(time.Minute))
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, 1)
	got, err = log.Load(c.Context(), testTime.Add(storedFor))
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, 0)
}

// Guards against departures of a node that listens on IPv6, whose address is no name of an object.
func TestAnyAddressNamesALog(t *testing.T) {
	c := qt.New(t)
	client, err := store.New(objects.Options{Endpoint: "http://127.0.0.1:1"})
	c.Assert(err, qt.IsNil)
	for _, addr := range []string{"10.0.0.1:7620", "[::1]:7620", "[fe80::1%eth0]:7620", "vm-1.example:7620"} {
		err := NewLog(client, addr).Store(c.Context(), []Departure{departure("a", 1)}, testTime)
		c.Check(err, qt.ErrorAs, new(*objects.UnavailableError), qt.Commentf("%s", addr))
	}
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
	log := NewLog(store, "1:1")
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}, testTime), qt.ErrorAs, new(*objects.AmbiguousError))
	c.Assert(log.Store(c.Context(), []Departure{departure("a", 1)}, testTime), qt.IsNil)
	got, err := log.Load(c.Context(), testTime)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, []Departure{departure("a", 1)})
}
