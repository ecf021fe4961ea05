package incarnation

import "cmp"

// Departure is the stored form of an incarnation's departure.
type Departure struct {
	ID
	// Sequence is that of the heartbeat that reported it. It is the highest possible one
	// if the incarnation has left.
	Sequence uint64 `json:"sequence"`
	// LeftAt is when it was first reported, in milliseconds of the Unix epoch.
	LeftAt int64 `json:"leftAt"`
}

func compareDepartures(a, b Departure) int {
	return cmp.Or(cmp.Compare(a.LeftAt, b.LeftAt), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Born, b.Born))
}
