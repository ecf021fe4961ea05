package play

import (
	"strings"
	"sync"
	"time"
)

// meter counts what upstreams do.
type meter struct {
	mu sync.Mutex
	// from is when counting begins, zero before it is known.
	from time.Time
	// until is when it ends.
	until time.Time
	// slots has the time that slots were held, by service.
	slots map[string]time.Duration
	// runs counts how often unrepeatable operations were run.
	runs map[string]int
}

func newMeter() *meter {
	return &meter{slots: make(map[string]time.Duration), runs: make(map[string]int)}
}

// count sets the time that counts.
func (m *meter) count(from, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.from, m.until = from, until
}

// held notes that a slot was held from start until now.
func (m *meter) held(service string, start time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := time.Now()
	if end.After(m.until) {
		end = m.until
	}
	if start.Before(m.from) {
		start = m.from
	}
	if end.After(start) {
		m.slots[service] += end.Sub(start)
	}
}

// heldBy returns the time that slots of a service were held.
func (m *meter) heldBy(service string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slots[service]
}

// ran notes a run of an unrepeatable operation.
func (m *meter) ran(operation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[operation]++
}

// twice counts the operations that ran more than once.
func (m *meter) twice() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, runs := range m.runs {
		if runs > 1 {
			count++
		}
	}
	return count
}

// trySeparator stands between an operation and the number of its try.
const trySeparator = "~"

// operationOf is the operation of a request's id.
func operationOf(id string) string {
	operation, _, _ := strings.Cut(id, trySeparator)
	return operation
}
