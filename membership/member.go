package membership

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
)

// State is the believed state of a member.
type State uint8

// The order is the precedence at equal Seq: a later state beats an earlier one.
const (
	// Alive members answered recently, or other members reported them alive.
	Alive State = iota
	// Suspect members did not answer a probe and have not refuted the suspicion yet. They
	// may well be running; prefer other members.
	Suspect
	// Dead members did not refute a suspicion in time, or another incarnation answers at
	// their address. A paused process can come back from Dead.
	Dead
	// Left members announced their departure themselves.
	Left
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the state's name in logs and metrics.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// gone reports whether the member no longer takes part: it is Dead or has Left.
func (s State) gone() bool { return s >= Dead }

// Member describes one process incarnation.
type Member struct {
	// ID identifies the process incarnation: 32 hexadecimal digits, new at each start.
	ID      string
	Service string
	// Addr is the listener for calls from peers, host:port.
	Addr string
	// GossipAddr is the listener of this package, host:port.
	GossipAddr string
	Zone       string
	Region     string
	// Slots is the announced capacity of the upstream, in concurrent calls.
	Slots    int
	Draining bool
	// WorkTimes are the upstream's average processing times, for the profiles that it
	// serves most; at most 4.
	WorkTimes []WorkTime
	// Inherits lists the incarnations whose key tables this member took over.
	Inherits []string
	// Held lists the requests to the member's service that the member reports as
	// quarantined, or as cleared again; at most 16.
	Held []HeldRequest
	// State is the belief of the reading node; a member can't set it.
	State State
	// Seq counts the member's own announcements, including refutations.
	Seq uint64
	// Revision counts the changes of the member's description. A refutation raises only
	// Seq, so it can be sent without repeating the description.
	Revision uint64
	// Epoch orders incarnations at the same GossipAddr: the highest one holds the
	// address. It starts from the wall clock, which serves only as a hint: the holder of
	// the address raises its Epoch above that of any rival it learns of.
	Epoch uint64
}

// WorkTime is the average time for which an upstream processes a call of one profile.
type WorkTime struct {
	// Profile is a hash of the profile's name; all members use the same hash.
	Profile uint32
	Micros  uint32
}

// HeldRequest is a member's report on one request during which upstreams have crashed.
type HeldRequest struct {
	// Fingerprint identifies the request's content.
	Fingerprint uint64
	// Ends is the number of upstreams that have crashed, 0 for a request that is cleared.
	Ends uint8
	// Stamp orders the members' reports on the same request.
	Stamp uint64
}

// NewID returns a random ID for a process incarnation.
func NewID() string {
	var raw memberID
	rand.Read(raw[:])
	return raw.hex()
}

// memberID is the binary form of Member.ID, half as long on the wire.
type memberID [16]byte

func (id memberID) hex() string { return hex.EncodeToString(id[:]) }

// parseID parses the public, hexadecimal form.
func parseID(s string) (memberID, bool) {
	var id memberID
	if len(s) != 2*len(id) {
		return id, false
	}
	n, err := hex.Decode(id[:], []byte(s))
	return id, err == nil && n == len(id) && id != memberID{}
}

// sameIdentity returns a ConflictError if a and b differ in a field that is fixed for an
// incarnation.
func sameIdentity(a, b *Member) error {
	fields := [...]struct{ name, known, claimed string }{
		{"address", a.Addr, b.Addr},
		{"gossip address", a.GossipAddr, b.GossipAddr},
		{"service", a.Service, b.Service},
		{"zone", a.Zone, b.Zone},
		{"region", a.Region, b.Region},
	}
	for _, f := range fields {
		if f.known != f.claimed {
			return &ConflictError{ID: a.ID, Field: f.name, Known: f.known, Claimed: f.claimed}
		}
	}
	return nil
}

// clone returns a copy that shares no memory with m.
func (m Member) clone() Member {
	m.Inherits = slices.Clone(m.Inherits)
	m.WorkTimes = slices.Clone(m.WorkTimes)
	m.Held = slices.Clone(m.Held)
	return m
}
