package standin

import (
	"slices"
	"time"

	"pollengauge.dev/objects"
)

// firstEra is the era of a new store.
const firstEra = 1

// Restore replaces the contents by a copy that is age old, as after a disaster drill.
// The writes since then are gone, also acknowledged ones, and their revisions are given
// out again. The era rises by one, and waiting watches are cut off.
func (m *Memory) Restore(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restore(age)
}

// restore is Restore for a caller that holds mu.
func (m *Memory) restore(age time.Duration) {
	asOf := time.Now().Add(-age)
	for len(m.replaced) > 0 && m.replaced[len(m.replaced)-1].until.After(asOf) {
		m.undo(m.replaced[len(m.replaced)-1])
		m.replaced = m.replaced[:len(m.replaced)-1]
	}
	m.log = slices.DeleteFunc(m.log, func(d delivery) bool { return d.position > m.revision })
	m.compactedTo = min(m.compactedTo, m.revision)
	m.era++
	for kind := range m.changed {
		m.wakeWatches(kind)
	}
}

func (m *Memory) undo(change replaced) {
	o := change.object
	if change.existed {
		m.objects[o.Kind][o.Name] = o
	} else {
		delete(m.objects[o.Kind], o.Name)
	}
	m.revision = change.revision - 1
}

var _ objects.EraReporter = (*Memory)(nil)

// Era implements objects.EraReporter.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}
