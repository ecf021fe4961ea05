package incarnation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ID identifies an incarnation of an upstream.
type ID struct {
	// Name is the upstream's own name. Empty means that it reports none.
	Name string `json:"name"`
	// Born is when the upstream started, in milliseconds of the Unix epoch by its own
	// clock. 0 means that it doesn't report its start time.
	Born int64 `json:"born,omitempty"`
}

// Heartbeat is an incarnation's regular report about itself.
type Heartbeat struct {
	ID ID
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// Leaving reports that the incarnation is about to leave and takes no new calls.
	Leaving bool
}

// Effect is what a report has changed.
type Effect struct {
	// Ignored is set if the report is a repeated or late one and changes nothing.
	Ignored bool
	// Departed is set if the report is the first one of its incarnation's departure.
	Departed bool
	// Disputed is set if a departure names an earlier start of the upstream than the one
	// in use. Which of the two is running is not known.
	Disputed bool
}

const (
	// ReorderWindow is how long a report may be delayed. Heartbeats are sent every second
	// or two, and a delayed one is some seconds late.
	//
	// An incarnation that was replaced, or that seems to have started earlier than the
	// one in use, comes back only if the latter is silent for this long. The clock of a
	// VM may be set back before its upstream restarts: if earlier start times were
	// rejected for ever, the upstream would get no calls.
	ReorderWindow = 6 * time.Second
	// maxKnown is the maximum number of incarnations that are remembered.
	maxKnown = 64
	// finalSequence is the sequence of an incarnation that has left; no heartbeat has a
	// higher one.
	finalSequence = math.MaxUint64
)

// Tracker tracks the incarnations of one upstream. The zero value is ready for use.
type Tracker struct {
	known   map[ID]*record
	current ID
	// inUse is set once an incarnation is in use.
	inUse bool
	// misdirected is set while an unknown incarnation answers in place of the current
	// one.
	misdirected bool
	// disputedAt is when a departure left open whether the current incarnation runs, the
	// zero time if none did.
	disputedAt time.Time
}

// record is what is known of one incarnation.
type record struct {
	// sequence is that of its latest heartbeat, finalSequence once it has left.
	sequence  uint64
	lastHeard time.Time
	leaving   bool
	// leftAt is when its departure was first reported.
	leftAt time.Time
}

// Heartbeat takes a heartbeat. Unless it is ignored, its incarnation is then in use.
func (t *Tracker) Heartbeat(h Heartbeat, now time.Time) Effect {
	if h.ID.Name == "" {
		t.use(h.ID)
		return Effect{}
	}
	known := t.known[h.ID]
	if known != nil && h.Sequence <= known.sequence || !t.mayReplace(h.ID, now) {
		return Effect{Ignored: true}
	}
	r := t.record(h.ID)
	first := h.Leaving && !r.leaving
	if first {
		r.leftAt = now
	}
	r.sequence, r.leaving, r.lastHeard = h.Sequence, h.Leaving, now
	disputed := t.disputedAt
	t.use(h.ID)
	if now.Sub(disputed) < ReorderWindow {
		t.disputedAt = disputed
	}
	return Effect{Departed: first}
}

// mayReplace reports whether a heartbeat of an incarnation may put it in use.
func (t *Tracker) mayReplace(id ID, now time.Time) bool {
	if latest, r := t.latest(id.Name); r != nil && latest != id {
		undatedDeparture := latest.Born == 0 && r.leaving
		if (id.Born < latest.Born || undatedDeparture) && now.Sub(r.lastHeard) < ReorderWindow {
			return false
		}
	}
	if !t.inUse || t.current == id || t.known[id] == nil {
		return true
	}
	// The incarnation was in use before the current one. A later start under the same
	// name is no late report, whatever is in use.
	if id.Name == t.current.Name && id.Born > t.current.Born {
		return true
	}
	current := t.known[t.current]
	return current == nil || now.Sub(current.lastHeard) >= ReorderWindow
}

// Leave takes the report that an incarnation has left, and returns which one that is. A Born
// of 0 means the latest one under its name. The incarnation never comes into use again.
func (t *Tracker) Leave(id ID, now time.Time) (ID, Effect) {
	if id.Name == "" {
		return id, Effect{Ignored: true}
	}
	if latest, r := t.latest(id.Name); r != nil && id.Born == 0 {
		id = latest
	}
	r := t.record(id)
	if r.sequence == finalSequence && r.leaving {
		return id, Effect{Ignored: true}
	}
	first := !r.leaving
	if first {
		r.leftAt = now
	}
	r.sequence, r.leaving, r.lastHeard = finalSequence, true, now
	// A leave of an earlier start may be late, or the clock was set back before the
	// latest start.
	disputed := t.inUse && t.current.Name == id.Name && id.Born < t.current.Born
	if disputed {
		t.disputedAt = now
	}
	return id, Effect{Departed: first, Disputed: disputed}
}

// Misdirected takes the answer of a process that runs in place of the incarnation in use
// and that gave its own name. It is put in use if it has announced itself before; its service
// is not known otherwise.
func (t *Tracker) Misdirected(found string, now time.Time) {
	if !t.inUse || found == "" || found == t.current.Name {
		return
	}
	id, r := t.latest(found)
	if r == nil {
		t.misdirected = true
		return
	}
	r.lastHeard = now
	t.use(id)
}

// Current returns the incarnation in use, and whether there is one.
func (t *Tracker) Current() (ID, bool) { return t.current, t.inUse }

// Available reports whether the incarnation in use may get calls.
func (t *Tracker) Available() bool {
	if !t.inUse || t.misdirected || !t.disputedAt.IsZero() {
		return false
	}
	r := t.known[t.current]
	return r == nil || !r.leaving
}

// LeftAt returns when the departure of an incarnation was first reported, the zero time if
// it has not been.
func (t *Tracker) LeftAt(id ID) time.Time {
	if r := t.known[id]; r != nil && r.leaving {
		return r.leftAt
	}
	return time.Time{}
}

// Knows reports whether a report of an incarnation was taken, or its departure restored.
func (t *Tracker) Knows(id ID) bool { return t.known[id] != nil }

// Sequence returns the sequence of the latest heartbeat of an incarnation.
func (t *Tracker) Sequence(id ID) uint64 {
	if r := t.known[id]; r != nil {
		return r.sequence
	}
	return 0
}

// Restore adds departures that an earlier process of the node has recorded.
func (t *Tracker) Restore(departures []Departure, now time.Time) {
	for _, d := range departures {
		r := t.record(d.ID)
		if d.Sequence <= r.sequence && r.leaving || d.Sequence < r.sequence {
			continue
		}
		r.sequence, r.leaving, r.leftAt = d.Sequence, true, time.UnixMilli(d.LeftAt)
		r.lastHeard = now
	}
}

// Departures returns the departures known, in the order in which they were reported.
func (t *Tracker) Departures() []Departure {
	var all []Departure
	for id, r := range t.known {
		if r.leaving {
			all = append(all, Departure{ID: id, Sequence: r.sequence, LeftAt: r.leftAt.UnixMilli()})
		}
	}
	slices.SortFunc(all, compareDepartures)
	return all
}

// use puts an incarnation in use.
func (t *Tracker) use(id ID) {
	t.current, t.inUse = id, true
	t.misdirected, t.disputedAt = false, time.Time{}
}

// latest returns the latest start known under a name, and nil if none is.
func (t *Tracker) latest(name string) (latest ID, found *record) {
	for id, r := range t.known {
		if id.Name == name && (found == nil || id.Born > latest.Born) {
			latest, found = id, r
		}
	}
	return latest, found
}

// record returns the record of an incarnation, a new one if it is not known.
func (t *Tracker) record(id ID) *record {
	if r := t.known[id]; r != nil {
		return r
	}
	if t.known == nil {
		t.known = make(map[ID]*record)
	}
	if len(t.known) >= maxKnown {
		t.forgetOne()
	}
	r := &record{}
	t.known[id] = r
	return r
}

// forgetOne forgets the incarnation that was heard of least recently, one that has not left
// if there is any.
func (t *Tracker) forgetOne() {
	var oldest ID
	var found *record
	for id, r := range t.known {
		if id == t.current && t.inUse {
			continue
		}
		if found == nil || cmp.Or(compareBools(r.leaving, found.leaving), r.lastHeard.Compare(found.lastHeard)) < 0 {
			oldest, found = id, r
		}
	}
	delete(t.known, oldest)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
