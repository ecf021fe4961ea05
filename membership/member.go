package membership

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
)

// State is what is believed about a member.
type State uint8

// The order is the precedence at equal Seq: a later state beats an earlier one.
const (
	// Alive members answered lately or were said to by others.
	Alive State = iota
	// Suspect members did not answer and have not refuted it yet. They may
	// well be running; prefer others.
	Suspect
	// Dead members did not refute a suspicion in time, or another incarnation
	// answers at their address. A paused process can come back from Dead.
	Dead
	// Left members said themselves that they go.
	Left
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the name used in logs and metrics.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// gone reports whether the member takes no further part.
func (s State) gone() bool { return s >= Dead }

// Member is one process incarnation of the system.
type Member struct {
	// ID is the process incarnation, 32 hexadecimal digits, new at each start.
	ID      string
	Service string
	// Addr is the listener for calls of peers, host:port.
	Addr string
	// GossipAddr is the listener of this package, host:port.
	GossipAddr string
	Zone       string
	Region     string
	// Slots is the announced capacity of the upstream.
	Slots    int
	Draining bool
	// WorkTimes are how long the upstream works on a call, for the profiles that
	// it serves most; at most 4.
	WorkTimes []WorkTime
	// Inherits lists the incarnations whose key tables this member took over.
	Inherits []string
	// Held are the requests to the member's service that it says are held back, or
	// cleared again; at most 16.
	Held []HeldRequest
	// State is what the reading node believes; a member can't set it.
	State State
	// Seq counts the member's own announcements, refutations included.
	Seq uint64
	// Revision counts the changes of what the member announces of itself. A
	// refutation raises Seq alone, and so can be told without repeating the rest.
	Revision uint64
	// Epoch orders incarnations at the same GossipAddr: the higher one holds
	// the address. It starts from the wall clock, but only as a hint: the
	// holder of the address raises it above any rival it hears of.
	Epoch uint64
}

// WorkTime is how long an upstream works on a call of one profile on average.
type WorkTime struct {
	// Profile is a hash of the profile's name on which the members agree.
	Profile uint32
	Micros  uint32
}

// HeldRequest is what a member says of one request under which upstreams have ended.
type HeldRequest struct {
	// Fingerprint stands for the request's content.
	Fingerprint uint64
	// Ends is how many upstreams have ended, 0 for a request that is cleared.
	Ends uint8
	// Stamp orders what members say of the same request.
	Stamp uint64
}

// NewID returns a random process incarnation.
func NewID() string {
	var raw memberID
	rand.Read(raw[:])
	return raw.hex()
}

// memberID is the binary form of Member.ID, half as long on the wire.
type memberID [16]byte

func (id memberID) hex() string { return hex.EncodeToString(id[:]) }

// parseID reads the public, hexadecimal form.
func parseID(s string) (memberID, bool) {
	var id memberID
	if len(s) != 2*len(id) {
		return id, false
	}
	n, err := hex.Decode(id[:], []byte(s))
	return id, err == nil && n == len(id) && id != memberID{}
}

// sameIdentity returns a ConflictError if a and b differ in a field that an
// incarnation keeps for life.
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
