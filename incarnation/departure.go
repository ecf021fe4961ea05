package incarnation

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

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

const (
	// maxStored is the maximum number of departures in a stored object.
	maxStored = 16
	// storedFor is how long a stored departure binds. Reports are seconds late at most; an
	// upstream without start times may use its name again later.
	storedFor = 10 * time.Minute
)

// document is the content of the stored object.
type document struct {
	Departures []Departure `json:"departures"`
}

// merge returns the departures of both lists, each incarnation once, and only the latest
// ones if there are more than maxStored.
func merge(a, b []Departure) []Departure {
	byID := make(map[ID]Departure, len(a)+len(b))
	for _, d := range slices.Concat(a, b) {
		if known, ok := byID[d.ID]; !ok || d.Sequence > known.Sequence {
			byID[d.ID] = d
		}
	}
	all := make([]Departure, 0, len(byID))
	for _, d := range byID {
		all = append(all, d)
	}
	slices.SortFunc(all, compareDepartures)
	return all[max(len(all)-maxStored, 0):]
}

// encode returns the stored form of departures.
func encode(departures []Departure) ([]byte, error) {
	return json.Marshal(document{Departures: departures})
}

// decode reads the stored form without the departures that no longer bind. Another program may
// have stored any other value under the name; such a value has no departures.
func decode(value []byte, now time.Time) []Departure {
	var stored document
	if json.Unmarshal(value, &stored) != nil {
		return nil
	}
	return slices.DeleteFunc(stored.Departures, func(d Departure) bool {
		return d.Name == "" || now.Sub(time.UnixMilli(d.LeftAt)) > storedFor
	})
}
