package atmostonce

import (
	"container/list"
	"strconv"
	"time"

	"pollengauge.dev/call"
)

// State is the state of a key at its owner.
type State uint8

const (
	// StateAbsent means that no presentation was dispatched, or that the key
	// has expired.
	StateAbsent State = iota
	// StateClaiming means that a request to record the claim in the store is in
	// flight.
	StateClaiming
	// StateClaimed means that one presentation has permission to dispatch the
	// key and hasn't done so yet.
	StateClaimed
	// StateDispatched means that the call was sent to the upstream.
	StateDispatched
	// StateDone means that the upstream's complete response has arrived.
	StateDone
	// StateUnknown means that the call was dispatched and its outcome is not
	// known.
	StateUnknown
	// StateReleased means that the call provably hasn't run and that this node
	// still owns the claim in the store.
	StateReleased
	// StateReleasing means that a request to delete the claim from the store is
	// in flight.
	StateReleasing
)

var stateNames = [...]string{
	StateAbsent:     "absent",
	StateClaiming:   "claiming",
	StateClaimed:    "claimed",
	StateDispatched: "dispatched",
	StateDone:       "done",
	StateUnknown:    "unknown",
	StateReleased:   "released",
	StateReleasing:  "releasing",
}

// String returns the name of the state as operators see it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// pending reports whether presentations of the key wait for the state to
// change.
func (s State) pending() bool {
	switch s {
	case StateClaiming, StateClaimed, StateDispatched, StateReleasing:
		return true
	}
	return false
}

// sent reports whether the call was sent to the upstream.
func (s State) sent() bool {
	return s == StateDispatched || s == StateDone || s == StateUnknown
}

// entry is the record of a key at its owner. It is guarded by the lock of its
// shard.
type entry struct {
	Presentation
	owner   Incarnation
	minted  bool
	state   State
	reason  call.Reason
	since   time.Time
	expires time.Time // on this node's steady clock
	run     *Run
	// changed is closed when state stops being pending.
	changed chan struct{}

	answer        *Answer
	answerSize    int64
	answerElement *list.Element

	// claimID and claimVersion identify the claim in the store, if there is
	// one.
	claimID      string
	claimVersion Version
	// unsaved is true until a durable fate has been written to the store.
	unsaved bool
}

// Fate is the information about a key that operators see.
type Fate struct {
	Key        string
	State      State
	Reason     call.Reason
	RequestID  string
	Profile    string
	Home       Incarnation
	Since      time.Time
	Expires    time.Time
	AnswerHeld bool
}

func (e *entry) fate() Fate {
	return Fate{
		Key:        e.Key,
		State:      e.state,
		Reason:     e.reason,
		RequestID:  e.RequestID,
		Profile:    e.Profile,
		Home:       e.owner,
		Since:      e.since,
		Expires:    e.expires,
		AnswerHeld: e.answer != nil,
	}
}
