package quota

import "time"

// missingLife is how long a place counts after its member disappeared without
// announcing that it leaves. Until then the member may be running on another side of a
// network partition, where it leases tokens.
const missingLife = 10 * time.Minute

// Fleet computes which share of the fleet a member sees. It counts places (addresses)
// rather than members, because a process that restarts at its address does not change
// the size of the fleet. A Fleet is not safe for concurrent use; its user locks it.
//
// A process that has just started has seen no other member and may be on the smaller
// side of a network partition. Until it has seen as many places as other members
// report, it uses the size that they report.
type Fleet struct {
	places map[string]place
	// heard is the largest fleet size that other members reported. It is used until
	// heardUntil.
	heard      int
	heardUntil time.Time
	// whole is set once this member has seen as many places as were reported to it.
	whole bool
	// parts has the shares seen within the last settleTime, in increasing order. The
	// first one is in force; the last one is the current share.
	parts []seenPart
}

type place struct {
	// id is the member last seen at this place, at is when it was seen.
	id string
	at time.Time
}

// Member is a member that is believed to be alive, with the place where it runs.
type Member struct{ ID, Place string }

// Update records the members that are alive now. For a member that is not, left reports
// whether it announced that it was leaving.
func (f *Fleet) Update(living []Member, left func(id string) bool, now time.Time) {
	if f.places == nil {
		f.places = make(map[string]place)
	}
	for _, m := range living {
		f.places[m.Place] = place{id: m.ID, at: now}
	}
	for name, p := range f.places {
		if p.at.Equal(now) {
			continue
		}
		if now.Sub(p.at) >= missingLife || left(p.id) {
			delete(f.places, name)
		}
	}
	size := max(len(f.places), 1)
	f.whole = f.whole || (f.heard > 0 && size >= f.heard)
	if !f.whole && now.Before(f.heardUntil) {
		size = max(size, f.heard)
	}
	f.set(float64(min(max(len(living), 1), size))/float64(size), now)
}

// settleTime is how long a larger share must have been seen before it is in force. It
// is about the time that a membership update takes to reach all members.
const settleTime = 400 * time.Millisecond

// seenPart is a share of the fleet and the time until which it was seen.
type seenPart struct {
	share float64
	until time.Time
}

// set records the share that is seen now.
//
// When a network partition heals, the owner on one side could lease for the whole fleet
// before the owner on the other side has learned of it, and the two together would
// exceed the limit. Therefore the smallest share of the last settleTime is in force.
func (f *Fleet) set(share float64, now time.Time) {
	if len(f.parts) > 0 {
		f.parts[len(f.parts)-1].until = now
	}
	// An earlier share that is not smaller than the current one no longer matters.
	for len(f.parts) > 0 && f.parts[len(f.parts)-1].share >= share {
		f.parts = f.parts[:len(f.parts)-1]
	}
	f.parts = append(f.parts, seenPart{share: share})
}

// Share returns the share of the fleet that this member sees, greater than 0 and at
// most 1.
func (f *Fleet) Share(now time.Time) float64 {
	for len(f.parts) > 1 && now.Sub(f.parts[0].until) >= settleTime {
		f.parts = f.parts[1:]
	}
	if len(f.parts) == 0 {
		return 1
	}
	return f.parts[0].share
}

// Heard records a fleet size that another member reported or that was stored earlier.
func (f *Fleet) Heard(size int, now time.Time) {
	if f.whole || (size < f.heard && now.Before(f.heardUntil)) {
		return
	}
	f.heard, f.heardUntil = size, now.Add(missingLife)
}

// Places returns the number of places that this member has seen itself.
func (f *Fleet) Places() int { return len(f.places) }

// Whole reports whether this member has seen as many places as other members reported.
func (f *Fleet) Whole() bool { return f.whole || f.heard == 0 }
