package standin

import (
	"maps"
	"net/http"
	"time"

	"pollengauge.dev/objects"
)

// Stats counts the calls since the store was created.
type Stats struct {
	// Calls counts all calls that arrived, including rejected ones.
	Calls map[objects.Op]uint64 `json:"calls"`
	// Relaxed counts the calls that were relaxed reads and got a response.
	Relaxed uint64 `json:"relaxed"`
	// RefusedRate and RefusedDown count the calls that were rejected because
	// the rate limit was exceeded, or because of Faults.Down.
	RefusedRate uint64 `json:"refused_rate"`
	RefusedDown uint64 `json:"refused_down"`
	// Dropped and Lost count the writes that got no response: a dropped write
	// took effect, a lost one did not.
	Dropped uint64 `json:"dropped"`
	Lost    uint64 `json:"lost"`
}

// Stats returns a snapshot of the counters.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.stats
	stats.Calls = maps.Clone(stats.Calls)
	return stats
}

// admit counts a call and rejects it if the store is down or its rate limit is
// exceeded. It returns the injected delay and, for a write, the injected outcome.
func (m *Memory) admit(op objects.Op) (time.Duration, writeOutcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Calls[op]++
	limiter := m.reads
	if op.Writes() {
		limiter = m.writes
	}
	if m.faults.Down {
		m.stats.RefusedDown++
		return 0, outcomeAnswered, unavailable(op, http.StatusServiceUnavailable)
	}
	if !limiter.Allow() {
		m.stats.RefusedRate++
		return 0, outcomeAnswered, unavailable(op, http.StatusTooManyRequests)
	}
	return milliseconds(m.faults.DelayMillis), m.drawOutcome(op), nil
}

func (m *Memory) drawOutcome(op objects.Op) writeOutcome {
	if !op.Writes() {
		return outcomeAnswered
	}
	if consumeFault(&m.faults.LoseNext) {
		m.stats.Lost++
		return outcomeLost
	}
	if consumeFault(&m.faults.DropNext) || m.rand.Float64() < m.faults.DropProbability {
		m.stats.Dropped++
		return outcomeDropped
	}
	return outcomeAnswered
}

func unavailable(op objects.Op, status int) error {
	cause := &objects.StatusError{Status: status, Code: http.StatusText(status)}
	return &objects.UnavailableError{Op: op, Cause: cause, RetryAfter: time.Second}
}
