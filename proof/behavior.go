package proof

import "time"

// Mode selects how an upstream handles a call.
type Mode int

// The modes.
const (
	// Answer makes the downstream calls, does the upstream's own work and sends
	// the complete answer.
	Answer Mode = iota
	// ShedFirst responds with ShedStatus before doing anything.
	ShedFirst
	// ShedAfterCalls makes the downstream calls and then responds with ShedStatus.
	ShedAfterCalls
	// CrashFirst breaks the connection before doing anything.
	CrashFirst
	// CrashAfter does the work and breaks the connection without an answer.
	CrashAfter
	// Truncate does the work and breaks the connection in the middle of the answer.
	Truncate
	// LateCall sends the complete answer and afterwards makes another outbound
	// call for the same request.
	LateCall
	// ShedLateCall responds with ShedStatus and afterwards makes an outbound call
	// for the same request.
	ShedLateCall
	// OrphanCall makes an outbound call without the propagated context headers and
	// then responds with ShedStatus.
	OrphanCall
	// Trickle sends the complete answer in small pieces with pauses.
	Trickle
	// Switch responds 101 Switching Protocols to a request without an upgrade.
	Switch
	// Crash does the work and crashes the upstream process, which restarts later.
	Crash
)

// Modes are the modes that don't crash the upstream process. The fuzz tests draw
// from them.
var Modes = []Mode{Answer, ShedFirst, ShedAfterCalls, CrashFirst, CrashAfter, Truncate, LateCall, ShedLateCall, OrphanCall, Trickle, Switch}

var modeNames = [...]string{"answer", "shed-first", "shed-after-calls", "crash-first", "crash-after", "truncate", "late-call", "shed-late-call", "orphan-call", "trickle", "switch", "end"}

// GoString returns the mode's name, which rapid prints for drawn values.
func (m Mode) GoString() string { return modeNames[m] }

// String returns the mode's name.
func (m Mode) String() string { return modeNames[m] }

// ShedStatus is the response status with which upstreams report that they shed
// a call without doing any work.
const ShedStatus = 529

// Behavior configures how an upstream handles its next calls.
type Behavior struct {
	Mode Mode
	// Count is the number of calls that the behavior applies to; 0 means all
	// following calls.
	Count int
	// Work is the duration of the upstream's own work.
	Work time.Duration
	// Path limits the behavior to calls of that path; "" means all calls.
	Path string
}
