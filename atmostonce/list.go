package atmostonce

import (
	"slices"
	"strings"
	"time"
)

// Filter selects fates for List. The zero Filter selects all.
type Filter struct {
	// States are the selected states; empty selects all.
	States []State
	// OlderThan selects fates whose state hasn't changed for at least this
	// long.
	OlderThan time.Duration
	// Profile and RequestID, if not empty, must match exactly.
	Profile   string
	RequestID string
	// Limit is the maximum length of the list; 0 means no limit.
	Limit int
}

// AttentionFilters returns the filters for the fates that an operator should check:
// unknown fates, and keys that have been in an unfinished state for longer than
// the given time.
func AttentionFilters(after time.Duration) []Filter {
	return []Filter{
		{States: []State{StateUnknown}},
		{States: []State{StateClaimed, StateDispatched, StateClaiming, StateReleasing}, OlderThan: after},
	}
}

func (f Filter) wants(fate Fate, now time.Time) bool {
	return (len(f.States) == 0 || slices.Contains(f.States, fate.State)) &&
		now.Sub(fate.Since) >= f.OlderThan &&
		(f.Profile == "" || f.Profile == fate.Profile) &&
		(f.RequestID == "" || f.RequestID == fate.RequestID)
}

// List returns the fates that f selects, those whose state is oldest first.
func (t *Table) List(f Filter) []Fate {
	now := t.clock.now()
	var fates []Fate
	for _, s := range t.shards {
		fates = s.list(fates, f, now)
	}
	slices.SortFunc(fates, func(a, b Fate) int {
		if c := a.Since.Compare(b.Since); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	if f.Limit > 0 && len(fates) > f.Limit {
		fates = fates[:f.Limit]
	}
	return fates
}

func (s *shard) list(fates []Fate, f Filter, now time.Time) []Fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if fate := e.fate(); f.wants(fate, now) {
			fates = append(fates, fate)
		}
	}
	return fates
}

// Lookup returns the fate of a key, and whether the table has an entry for it.
func (t *Table) Lookup(key string) (Fate, bool) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		return Fate{}, false
	}
	return e.fate(), true
}
