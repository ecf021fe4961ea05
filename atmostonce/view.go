package atmostonce

import (
	"maps"
	"slices"
	"time"
)

// phase is the progress of a drain.
type phase uint8

const (
	// phaseActive: the table claims new keys.
	phaseActive phase = iota
	// phaseFrozen: the table claims no new keys; runs in flight continue.
	phaseFrozen
	// phaseSealed: nothing is dispatched any more; the table is being sent to
	// the successor.
	phaseSealed
	// phaseCommitting: a commit was sent and its result isn't known. The
	// successor may already be the owner, so this node must not act as the
	// owner.
	phaseCommitting
	// phaseHanded: the successor is the owner.
	phaseHanded
)

var phaseNames = [...]string{"active", "frozen", "sealed", "committing", "handed"}

// String returns the name of the phase as operators see it.
func (p phase) String() string { return phaseNames[p] }

// gone reports whether the successor is, or may be, the owner of the keys.
func (p phase) gone() bool { return p == phaseCommitting || p == phaseHanded }

// homeClock relates the clock of an owner to this node's steady clock.
type homeClock struct {
	// shift is added to the steady clock to get the time by the owner's clock.
	// The clock of a successor may be behind that of the node it inherits from.
	// Without the shift, a key that the old owner dropped as expired would be
	// valid on the successor and would run twice.
	shift time.Duration
	// retire is the time, by the steady clock, at which all keys of an
	// inherited incarnation have expired. It is zero for the node's own
	// incarnation.
	retire time.Time
}

// view is the part of a table's state that all shards share. A view is
// immutable: changes replace it with a modified copy.
type view struct {
	phase phase
	own   Incarnation
	homes map[Incarnation]homeClock
	// successor is set from phaseCommitting on.
	successor Incarnation
	// moved maps incarnations that this process once owned to the nodes that
	// took them over.
	moved map[Incarnation]movedHome
}

// movedHome is an incarnation that was handed over.
type movedHome struct {
	to Incarnation
	// retire is the time at which all keys of the incarnation have expired.
	retire time.Time
}

func (v *view) clone() *view {
	c := *v
	c.homes = maps.Clone(v.homes)
	c.moved = maps.Clone(v.moved)
	return &c
}

// forward returns the node that a key of home is sent to. home must not be an
// incarnation that this node owns.
func (v *view) forward(home Incarnation) Incarnation {
	if m, ok := v.moved[home]; ok {
		return m.to
	}
	return home
}

// Homes returns the incarnations whose keys this node owns: its own and those
// it inherited. After a hand-over there are none.
func (t *Table) Homes() []Incarnation {
	v := t.current.Load()
	if v.phase == phaseHanded {
		return nil
	}
	homes := []Incarnation{v.own}
	for home := range v.homes {
		if home != v.own {
			homes = append(homes, home)
		}
	}
	return homes
}

// Phase returns the name of the drain phase: active, frozen, sealed, committing
// or handed.
func (t *Table) Phase() string { return t.current.Load().phase.String() }

// Active reports whether this node claims new keys and accepts hand-overs from
// other nodes.
func (t *Table) Active() bool { return t.current.Load().phase == phaseActive }

// changeView passes a modified copy of the view to all shards, one after the
// other. The caller holds control.
func (t *Table) changeView(edit func(v *view)) {
	v := t.current.Load().clone()
	edit(v)
	t.current.Store(v)
	for _, s := range t.shards {
		s.setView(v)
	}
}

// setPhase changes the phase to to if it is one of from, and reports whether it
// did.
func (t *Table) setPhase(to phase, from ...phase) bool {
	t.control.Lock()
	defer t.control.Unlock()
	if !slices.Contains(from, t.current.Load().phase) {
		return false
	}
	t.changeView(func(v *view) { v.phase = to })
	return true
}
