package admission

import (
	"maps"
	"sync"
	"sync/atomic"
)

const (
	// maxProfiles bounds how many profiles are measured apart. Any more share
	// one record, so a hostile or faulty caller can't grow the memory.
	maxProfiles = 4096
	// otherProfiles is the name of the shared record.
	otherProfiles = "(other)"
)

// profileMap has one record a profile. Finding one takes no lock; a new one
// replaces the map. The zero value is empty.
type profileMap[T any] struct {
	mu      sync.Mutex
	records atomic.Pointer[map[string]*T]
}

// all returns the records by name. The map is not to be written.
func (m *profileMap[T]) all() map[string]*T {
	if records := m.records.Load(); records != nil {
		return *records
	}
	return nil
}

// find returns the record of a profile, nil without one.
func (m *profileMap[T]) find(name string) *T { return m.all()[name] }

// add returns the record of a profile, which newRecord makes if there is none.
// newRecord is called by one goroutine at a time; name is that of the record.
func (m *profileMap[T]) add(name string, newRecord func(name string) *T) *T {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.all()
	if len(old) >= maxProfiles {
		name = otherProfiles
	}
	if record := old[name]; record != nil {
		return record
	}
	grown := make(map[string]*T, len(old)+1)
	maps.Copy(grown, old)
	record := newRecord(name)
	grown[name] = record
	m.records.Store(&grown)
	return record
}
