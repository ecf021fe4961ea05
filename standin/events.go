package standin

import (
	"net/http"
	"slices"
	"time"

	"pollengauge.dev/objects"
)

// delivery is an event in the log. Watches select deliveries by position, the
// store's revision at which the event was delivered. For a late event the position
// is higher than the event's own revision.
type delivery struct {
	position uint64
	event    objects.Event
}

// publish delivers an event once, twice or late, according to the faults.
func (m *Memory) publish(event objects.Event) {
	if consumeFault(&m.faults.LateNext) {
		// The delay is at least a nanosecond, because a timer must not have
		// expired already when it is created; applyAt gives the reason.
		time.AfterFunc(max(milliseconds(m.faults.LateMillis), 1), func() { m.publishLate(event) })
		return
	}
	m.appendDelivery(event)
	if consumeFault(&m.faults.DuplicateNext) {
		m.appendDelivery(event)
	}
}

func (m *Memory) publishLate(event objects.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The delivery gets a new revision, so that watches from a revision after
	// the event's own still return it.
	m.revision++
	m.appendDelivery(event)
}

func (m *Memory) appendDelivery(event objects.Event) {
	m.log = append(m.log, delivery{position: m.revision, event: event})
	if extra := len(m.log) - m.options.History; extra > 0 {
		m.compactedTo = m.log[extra-1].position
		m.log = slices.Delete(m.log, 0, extra)
	}
	m.wakeWatches(event.Object.Kind)
}

func (m *Memory) wakeWatches(kind string) {
	if ch, ok := m.changed[kind]; ok {
		close(ch)
		delete(m.changed, kind)
	}
}

// eventsSince returns the events of a kind after the revision from, the revision
// from which the next watch starts, and a channel that is closed when there may be
// more events. A watch that began in an earlier era is cut off.
func (m *Memory) eventsSince(kind string, from, era uint64) (events []objects.Event, next uint64, changed <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down || era != m.era {
		return nil, from, nil, unavailable(objects.OpWatch, http.StatusServiceUnavailable)
	}
	// A revision that this store has not reached yet belongs to the history of
	// another store.
	if from < m.compactedTo || from > m.revision {
		return nil, from, nil, &objects.CompactedError{Kind: kind, From: from, Oldest: m.compactedTo}
	}
	next = m.revision
	size := 0
	for _, d := range m.log {
		if d.position <= from || d.event.Object.Kind != kind {
			continue
		}
		// A page must not end between two deliveries with the same position:
		// the next watch would skip the second one, the copy of a duplicated
		// event.
		if (len(events) >= maxPage || size >= maxPageBytes) && d.position > next {
			break
		}
		next = d.position
		size += len(d.event.Object.Value)
		events = append(events, d.event)
	}
	if m.changed[kind] == nil {
		m.changed[kind] = make(chan struct{})
	}
	return events, next, m.changed[kind], nil
}
