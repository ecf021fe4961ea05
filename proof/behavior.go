package proof

import "time"

// Mode is what an upstream does with a call.
type Mode int

// The modes.
const (
	// Answer: makes the calls below, does its own work, answers whole.
	Answer Mode = iota
	// ShedFirst: answers with ShedStatus before it did anything.
	ShedFirst
	// ShedAfterCalls: makes the calls below and then answers with ShedStatus.
	ShedAfterCalls
	// CrashFirst: breaks the connection before it did anything.
	CrashFirst
	// CrashAfter: does its work and breaks the connection without an answer.
	CrashAfter
	// Truncate: does its work and breaks the connection within its answer.
	Truncate
	// LateCall: answers whole, and calls out for the same request afterwards.
	LateCall
	// ShedLateCall: answers with ShedStatus and calls out afterwards.
	ShedLateCall
	// OrphanCall: calls out without the context headers, then sheds.
	OrphanCall
	// Trickle: answers whole in small pieces with pauses.
	Trickle
	// Switch: answers 101 without having been asked to.
	Switch
	// End: does its work and ends, as in a crash; it is back later.
	End
)

// Modes are the modes that spare the upstream, for drawing one.
var Modes = []Mode{Answer, ShedFirst, ShedAfterCalls, CrashFirst, CrashAfter, Truncate, LateCall, ShedLateCall, OrphanCall, Trickle, Switch}

var modeNames = [...]string{"answer", "shed-first", "shed-after-calls", "crash-first", "crash-after", "truncate", "late-call", "shed-late-call", "orphan-call", "trickle", "switch", "end"}

// GoString makes drawn modes readable.
func (m Mode) GoString() string { return modeNames[m] }

// String returns the mode's name for messages.
func (m Mode) String() string { return modeNames[m] }

// ShedStatus is the status with which upstreams say that they did nothing.
const ShedStatus = 529

// Behavior is how an upstream treats its next calls.
type Behavior struct {
	Mode Mode
	// Count is how many calls it holds for; 0 means all that follow.
	Count int
	// Work is how long the upstream's own work takes.
	Work time.Duration
	// Path limits it to calls of that path, "" for all.
	Path string
}
