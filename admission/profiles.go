package admission

import (
	"maps"
	"sync"
	"sync/atomic"
)

const (
	// maxProfiles bounds the number of profiles with a record of their own.
	// Further profiles share one record, so that a malicious or faulty caller
	// can't exhaust the memory.
	maxProfiles = 4096
	// otherProfiles is the name of the shared record.
	otherProfiles = "(other)"
)

// profileMap holds one record for each profile. A lookup takes no lock; adding
// a record replaces the map. The zero value is empty.
type profileMap[T any] struct {
	mu      sync.Mutex
	records atomic.Pointer[map[string]*T]
}

// all returns the records by name. The map must not be modified.
func (m *profileMap[T]) all() map[string]*T {
	if records := m.records.Load(); records != nil {
		return *records
	}
	return nil
}

// find returns the record of a profile, or nil if there is none.
func (m *profileMap[T]) find(name string) *T { return m.all()[name] }

// add returns the record of a profile and creates it with newRecord if there is
// none. newRecord is called by one goroutine at a time; its argument is the
// name of the record, which is otherProfiles if the map is full.
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
