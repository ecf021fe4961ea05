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
	// phaseHandedOver: the successor is the owner.
	phaseHandedOver
)

var phaseNames = [...]string{"active", "frozen", "sealed", "committing", "handed"}

// String returns the name of the phase as operators see it.
func (p phase) String() string { return phaseNames[p] }

// mayBeTransferred reports whether the successor is, or may be, the owner of
// the keys.
func (p phase) mayBeTransferred() bool { return p == phaseCommitting || p == phaseHandedOver }

// ownerClock relates the clock of an owner to this node's steady clock.
type ownerClock struct {
	// clockOffset is added to the steady clock to get the time by the owner's
	// clock. The clock of a successor may be behind that of the node it
	// inherits from. Without the offset, a key that the old owner dropped as
	// expired would be valid on the successor and would run twice.
	clockOffset time.Duration
	// keysExpireAt is the time, by the steady clock, at which all keys of an
	// inherited incarnation have expired. It is zero for the node's own
	// incarnation.
	keysExpireAt time.Time
}

// view is the part of a table's state that all shards share. A view is
// immutable: changes replace it with a modified copy.
type view struct {
	phase       phase
	incarnation Incarnation
	owned       map[Incarnation]ownerClock
	// successor is set from phaseCommitting on.
	successor Incarnation
	// newOwners maps incarnations that this process once owned to the nodes
	// that took them over.
	newOwners map[Incarnation]newOwner
}

// newOwner is the node that took over an incarnation.
type newOwner struct {
	to Incarnation
	// keysExpireAt is the time at which all keys of the incarnation have expired.
	keysExpireAt time.Time
}

func (v *view) clone() *view {
	c := *v
	c.owned = maps.Clone(v.owned)
	c.newOwners = maps.Clone(v.newOwners)
	return &c
}

// forwardTarget returns the node to which a key of owner is forwarded. owner
// must be an incarnation that this node doesn't own.
func (v *view) forwardTarget(owner Incarnation) Incarnation {
	if m, ok := v.newOwners[owner]; ok {
		return m.to
	}
	return owner
}

// OwnedIncarnations returns the incarnations whose keys this node owns: its own and those
// it inherited. After a hand-over there are none.
func (t *Table) OwnedIncarnations() []Incarnation {
	v := t.current.Load()
	if v.phase == phaseHandedOver {
		return nil
	}
	owners := []Incarnation{v.incarnation}
	for owner := range v.owned {
		if owner != v.incarnation {
			owners = append(owners, owner)
		}
	}
	return owners
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
