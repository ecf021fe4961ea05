package call

import "fmt"

// Priority is a profile's importance, 0 (shed first) to MaxPriority (shed last).
type Priority uint8

// MaxPriority is the highest priority a profile can have.
const MaxPriority Priority = 15

// Tiebreak orders requests of the same priority, 0 (shed first) to MaxTiebreak. The
// root sets it once, so that every hop admits and sheds the same requests.
type Tiebreak uint8

// MaxTiebreak is the highest tie-break.
const MaxTiebreak Tiebreak = 127

// Level is the number by which every hop orders requests: the priority in the high
// bits, the tie-break in the low seven. A node with admission level L refuses requests
// whose Level is lower than L.
type Level uint16

const tiebreakBits = 7

// MaxLevel is the highest level that a request can have. An admission level of
// MaxLevel+1 would refuse all requests.
const MaxLevel = Level(MaxPriority)<<tiebreakBits | Level(MaxTiebreak)

// MakeLevel combines a priority and a tie-break. Values out of range are clamped.
func MakeLevel(p Priority, t Tiebreak) Level {
	return Level(min(p, MaxPriority))<<tiebreakBits | Level(min(t, MaxTiebreak))
}

// Priority returns the priority part.
func (l Level) Priority() Priority { return Priority(min(l, MaxLevel) >> tiebreakBits) }

// Tiebreak returns the tie-break part.
func (l Level) Tiebreak() Tiebreak { return Tiebreak(l & Level(MaxTiebreak)) }

// String returns "priority.tiebreak", the form that the commands explain and top show.
// The tie-break has three digits, so that the strings of equal priority sort by level.
func (l Level) String() string {
	return fmt.Sprintf("%d.%03d", l>>tiebreakBits, l.Tiebreak())
}
