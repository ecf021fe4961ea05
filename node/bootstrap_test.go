package node

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Another program has stored objects of the kind by which nodes find each other, and
// none of them holds an address. Two nodes start without a known peer. When these
// objects counted as the places of members that may be alive, neither node stored its
// own address, and both stayed alone for good.
func TestForeignBootstrapObjectsDoNotIsolateNodes(t *testing.T) {
	inFleet(t, func(f *fleet) {
		foreign := []string{`{"address":7}`, "", "null", "[1,2]", "10.0.0.1", "a:b:c", "host:port", "\xff\x00:1"}
		for place, value := range foreign {
			_, err := f.store.Create(f.t.Context(), bootstrapKind, "place-"+strconv.Itoa(place), []byte(value))
			f.c.Assert(err, qt.IsNil)
		}
		alone := func(s *Settings) { s.Peers = nil }
		a := f.addRouted("a", "desk", 4, echo, alone)
		b := f.addRouted("b", "desk", 4, echo, alone)
		time.Sleep(30 * time.Second)
		f.c.Check(a.Targets("desk"), qt.Equals, 2)
		f.c.Check(b.Targets("desk"), qt.Equals, 2)
	})
}
