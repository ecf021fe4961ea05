package node

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
)

// witnessPath is the path on which a peer listener receives notes, as JSON.
const witnessPath = "/.pollengauge/witness"

// witnessHost is the Host header of a message with notes. No service can have this
// name, and the message has no context headers. A member whose build does not know
// witnessPath therefore refuses the message and can't mistake it for a call.
const witnessHost = "witness.pollengauge"

const (
	// maxNoteText bounds each text in a note, in bytes. maxWitnessBytes bounds a message:
	// a hundred notes and the numbers of all notes that a node may have open.
	maxNoteText     = 160
	maxWitnessBytes = 256 << 10
)

// witnessMessage is a message from the owner of keys to its witness.
type witnessMessage struct {
	Home  string                `json:"home"`
	Notes []atmostonce.Note     `json:"notes,omitempty"`
	Open  *atmostonce.OpenNotes `json:"open,omitempty"`
}

// check rejects messages that no node sends.
func (m *witnessMessage) check() error {
	if len(m.Notes) > maxNotesSent {
		return &WitnessMessageError{Field: "notes"}
	}
	for _, note := range m.Notes {
		if max(len(note.Key), len(note.Request), len(note.Profile)) > maxNoteText {
			return &WitnessMessageError{Field: "notes"}
		}
	}
	if m.Open != nil && (len(m.Open.Numbers) > maxOwnNotes || !slices.IsSorted(m.Open.Numbers)) {
		return &WitnessMessageError{Field: "open"}
	}
	return nil
}

// isNotesRequest reports whether a request on the peer listener is a message with notes
// and not a call.
func (n *Node) isNotesRequest(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == witnessPath && r.Host == witnessHost && !n.settings.Ablate.NoWitness
}

// serveWitness receives notes from the owner of their keys.
func (n *Node) serveWitness(w http.ResponseWriter, r *http.Request) {
	var m witnessMessage
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWitnessBytes)).Decode(&m)
	if err == nil {
		err = m.check()
	}
	if err != nil {
		n.answerBadRequest(w, r, &BodyError{Cause: err})
		return
	}
	w.WriteHeader(n.storeNotes(m))
}

// storeNotes stores the notes of a message and returns the status of the response. It
// refuses the notes of an owner that is no known member here: such an owner would look
// lost.
func (n *Node) storeNotes(m witnessMessage) int {
	if !n.isPresent(m.Home) || m.Home == n.id {
		return http.StatusForbidden
	}
	owner := atmostonce.Incarnation(m.Home)
	if m.Open != nil {
		n.witnesses.heldNotes.Update(owner, *m.Open)
	}
	now := n.now()
	latest := now.Add(n.settings.KeyWindow)
	for i := range m.Notes {
		if m.Notes[i].Expires.After(latest) {
			m.Notes[i].Expires = latest
		}
	}
	if n.witnesses.heldNotes.StoreNotes(owner, m.Notes, now) > 0 {
		return http.StatusInsufficientStorage
	}
	return http.StatusNoContent
}

// lostFates returns the calls of lost owners that this node witnessed.
func (n *Node) lostFates() []FateView {
	var fates []FateView
	for _, note := range n.witnesses.heldNotes.OrphanedNotes(n.now(), n.hasOwner) {
		fates = append(fates, FateView{
			Key:     note.Key,
			State:   atmostonce.StateUnknown.String(),
			Reason:  string(call.ReasonKeyHomeGone),
			Request: note.Request,
			Profile: note.Profile,
			Home:    string(note.Home),
			Since:   note.Since,
			Expires: note.Expires,
		})
	}
	return fates
}

// hasOwner reports whether a member, this node included, owns the keys of the
// incarnation home.
func (n *Node) hasOwner(home atmostonce.Incarnation) bool {
	return n.ownerIsMember(string(home)) || slices.Contains(n.keys.OwnedIncarnations(), home)
}

// avoidList is the set of members that are not chosen as a witness until a given time.
type avoidList struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoidList() *avoidList { return &avoidList{until: make(map[string]time.Time)} }

func (s *avoidList) add(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.until, func(_ string, end time.Time) bool { return end.Add(witnessAvoidTime).Before(until) })
	s.until[id] = until
}

func (s *avoidList) has(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[id]
	return ok && now.Before(until)
}

// WitnessMessageError reports that a message with notes breaks a limit or an order that
// every sender observes.
type WitnessMessageError struct{ Field string }

// Error implements error.
func (e *WitnessMessageError) Error() string { return "message with notes: " + e.Field }
