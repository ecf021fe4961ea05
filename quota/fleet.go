package quota

import "time"

// missingTimeout is how long a place counts after its member disappeared without
// announcing that it leaves. Until then the member may be running on another side of a
// network partition, where it leases tokens.
const missingTimeout = 10 * time.Minute

// Fleet computes which share of the fleet a member sees. It counts places (addresses)
// rather than members, because a process that restarts at its address does not change
// the size of the fleet. A Fleet is not safe for concurrent use; its user locks it.
//
// A process that has just started has seen no other member and may be on the smaller
// side of a network partition. Until it has seen as many places as other members
// report, it uses the size that they report.
type Fleet struct {
	places map[string]place
	// reportedSize is the largest fleet size that other members reported. It is used
	// until reportedUntil.
	reportedSize  int
	reportedUntil time.Time
	// complete is set once this member has seen as many places as were reported to it.
	complete bool
	// shares has the shares seen within the last settleTime, in increasing order. The
	// first one is in force; the last one is the current share.
	shares []seenShare
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
func (f *Fleet) Update(alive []Member, left func(id string) bool, now time.Time) {
	if f.places == nil {
		f.places = make(map[string]place)
	}
	for _, m := range alive {
		f.places[m.Place] = place{id: m.ID, at: now}
	}
	for name, p := range f.places {
		if p.at.Equal(now) {
			continue
		}
		if now.Sub(p.at) >= missingTimeout || left(p.id) {
			delete(f.places, name)
		}
	}
	size := max(len(f.places), 1)
	f.complete = f.complete || (f.reportedSize > 0 && size >= f.reportedSize)
	if !f.complete && now.Before(f.reportedUntil) {
		size = max(size, f.reportedSize)
	}
	f.setShare(float64(min(max(len(alive), 1), size))/float64(size), now)
}

// settleTime is how long a larger share must have been seen before it is in force. It
// is about the time that a membership update takes to reach all members.
const settleTime = 400 * time.Millisecond

// seenShare is a share of the fleet and the time until which it was seen.
type seenShare struct {
	share float64
	until time.Time
}

// setShare records the share that is seen now.
//
// When a network partition heals, the owner on one side could lease for the whole fleet
// before the owner on the other side has learned of it, and the two together would
// exceed the limit. Therefore the smallest share of the last settleTime is in force.
func (f *Fleet) setShare(share float64, now time.Time) {
	if len(f.shares) > 0 {
		f.shares[len(f.shares)-1].until = now
	}
	// An earlier share that is not smaller than the current one no longer matters.
	for len(f.shares) > 0 && f.shares[len(f.shares)-1].share >= share {
		f.shares = f.shares[:len(f.shares)-1]
	}
	f.shares = append(f.shares, seenShare{share: share})
}

// Share returns the share of the fleet that this member sees, greater than 0 and at
// most 1.
func (f *Fleet) Share(now time.Time) float64 {
	for len(f.shares) > 1 && now.Sub(f.shares[0].until) >= settleTime {
		f.shares = f.shares[1:]
	}
	if len(f.shares) == 0 {
		return 1
	}
	return f.shares[0].share
}

// RecordReportedSize records a fleet size that another member reported or that was stored
// earlier.
func (f *Fleet) RecordReportedSize(size int, now time.Time) {
	if f.complete || (size < f.reportedSize && now.Before(f.reportedUntil)) {
		return
	}
	f.reportedSize, f.reportedUntil = size, now.Add(missingTimeout)
}

// Places returns the number of places that this member has seen itself.
func (f *Fleet) Places() int { return len(f.places) }

// Complete reports whether this member has seen as many places as other members reported.
func (f *Fleet) Complete() bool { return f.complete || f.reportedSize == 0 }
