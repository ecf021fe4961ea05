package standin

import (
	"net/http"
	"slices"
	"time"

	"pollengauge.dev/objects"
)

// delivery is an event in the log. Watches select deliveries by place, the store's
// revision at which the event was delivered. For a late event the place is higher
// than the event's own revision.
type delivery struct {
	place uint64
	event objects.Event
}

// publish delivers an event once, twice or late, according to the faults.
func (m *Memory) publish(event objects.Event) {
	if takeNext(&m.faults.LateNext) {
		// The delay is at least a nanosecond, because a timer must not have
		// expired already when it is created; applyAt gives the reason.
		time.AfterFunc(max(millis(m.faults.LateMillis), 1), func() { m.publishLate(event) })
		return
	}
	m.record(event)
	if takeNext(&m.faults.DuplicateNext) {
		m.record(event)
	}
}

func (m *Memory) publishLate(event objects.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The delivery gets a new revision, so that watches from a revision after
	// the event's own still return it.
	m.revision++
	m.record(event)
}

func (m *Memory) record(event objects.Event) {
	m.log = append(m.log, delivery{place: m.revision, event: event})
	if extra := len(m.log) - m.options.History; extra > 0 {
		m.compacted = m.log[extra-1].place
		m.log = slices.Delete(m.log, 0, extra)
	}
	m.wake(event.Object.Kind)
}

func (m *Memory) wake(kind string) {
	if ch, ok := m.changed[kind]; ok {
		close(ch)
		delete(m.changed, kind)
	}
}

// since returns the events of a kind after the revision from, the revision from
// which the next watch starts, and a channel that is closed when there may be
// more events.
func (m *Memory) since(kind string, from uint64) (events []objects.Event, next uint64, changed <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return nil, from, nil, unavailable(objects.OpWatch, http.StatusServiceUnavailable)
	}
	// A revision that this store has not reached yet belongs to the history of
	// another store.
	if from < m.compacted || from > m.revision {
		return nil, from, nil, &objects.CompactedError{Kind: kind, From: from, Oldest: m.compacted}
	}
	next = m.revision
	size := 0
	for _, d := range m.log {
		if d.place <= from || d.event.Object.Kind != kind {
			continue
		}
		// A page must not end between two deliveries with the same place:
		// the next watch would skip the second one, the copy of a duplicated
		// event.
		if (len(events) >= maxPage || size >= maxPageBytes) && d.place > next {
			break
		}
		next = d.place
		size += len(d.event.Object.Value)
		events = append(events, d.event)
	}
	if m.changed[kind] == nil {
		m.changed[kind] = make(chan struct{})
	}
	return events, next, m.changed[kind], nil
}
