package membership

import (
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Two members receive the same claims, some of them twice, in different orders, and then
// send each other their tables, as a sync does. Whatever the delays, they must end with
// the same view. Where one holds Alive and the other Dead, one of them must doubt,
// because then a probe decides.
func TestTablesConverge(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			e := peerEntry()
			process := rapid.IntRange(0, 3).Draw(t, "process")
			e.ID = "process-number-" + string(rune('0'+process))
			e.GossipAddr = []string{"10.0.0.2:7946", "10.0.0.3:7946"}[process%2]
			e.Epoch = uint64(1 + process/2)
			e.Seq = uint64(rapid.IntRange(1, 3).Draw(t, "seq"))
			if e.State = State(rapid.IntRange(0, 3).Draw(t, "state")); e.State != Alive {
				e = Entry{ID: e.ID, Seq: e.Seq, State: e.State}
			}
			return e
		}), 1, 20).Draw(t, "claims")
		var tables [2]*table
		for i := range tables {
			cfg, err := Config{Self: Member{ID: NewID(), Service: "s", Addr: "10.0.1.1:1", GossipAddr: "10.0.1.1:2", Zone: "z", Region: "r"}}.withDefaults()
			if err != nil {
				t.Fatal(err)
			}
			tables[i] = newTable(&cfg)
			for _, e := range rapid.Permutation(append(claims, claims...)).Draw(t, "order") {
				if _, err := tables[i].apply(&e, start); err != nil {
					t.Fatal(err)
				}
			}
			if fault := tableFault(tables[i]); fault != "" {
				t.Fatal(fault)
			}
		}
		doubted := map[string]bool{}
		for i := range 6 {
			from, to := tables[i%2], tables[(i+1)%2]
			for _, row := range from.order {
				if row == from.self {
					continue
				}
				e := fullEntry(row.id, &row.m)
				if row.m.State.gone() {
					e = stateEntry(row.id, &row.m)
				}
				if v, _ := to.apply(&e, start); v == claimDoubted {
					doubted[e.ID] = true
				}
			}
		}
		for _, row := range tables[0].order {
			other := tables[1].rows[row.id]
			if row == tables[0].self || (other == nil && row.m.State.gone()) {
				continue // Dead claims are not added to tables that never had the member
			}
			if other == nil || (!reflect.DeepEqual(row.m, other.m) && !doubted[string(row.id[:])]) {
				t.Fatalf("%+v against %+v", row, other)
			}
		}
	})
}

// A member announces that its upstream is fast, and later that it has become slow. Other
// members place their calls by these figures, so each must have the latest ones. Update
// must reject more figures than a message can hold.
func TestWorkTimesReachEveryMember(t *testing.T) {
	cluster(t, 10, func(w *network) {
		for _, micros := range []uint32{90_000, 360_000} {
			want := []WorkTime{{Profile: 7, Micros: micros}, {Profile: 9, Micros: 1}}
			w.c.Assert(w.nodes[4].Update(func(m *Member) { m.WorkTimes = want }), qt.IsNil)
			w.within(2*time.Second, func(n *testNode) bool {
				m, _, _ := n.Lookup(w.nodes[4].id())
				return slices.Equal(m.WorkTimes, want)
			})
		}
		err := w.nodes[4].Update(func(m *Member) { m.WorkTimes = make([]WorkTime, maxWorkTimes+1) })
		w.c.Check(err, qt.ErrorAs, new(*ConfigError))
	})
}
