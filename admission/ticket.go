package admission

import (
	"sync"
	"time"
)

// Result is the outcome of a visit.
type Result uint8

const (
	// OK means that the upstream sent a complete response. Only these visits
	// count for the measured service times.
	OK Result = iota
	// Failed means that the response was incomplete, late or missing.
	Failed
	// Shed means that the upstream itself refused the call because of overload.
	Shed
	// Ignore means that the outcome says nothing about the upstream, for
	// example because the caller cancelled the call.
	Ignore
)

// visit is the state behind a Ticket. Visits are pooled and reused. A ticket is
// valid as long as its generation equals gen.
type visit struct {
	gate  *Gate
	shard uint32

	mu        sync.Mutex
	gen       uint64
	profile   *profileStats
	start     time.Duration
	blocks    int
	blockedAt time.Duration
	blocked   time.Duration
}

// Ticket is the permission to run one visit. It is a small value and may be
// copied; all copies refer to the same visit. Methods on a released or zero
// Ticket do nothing: the visit record may already belong to another call, and a
// late second Release must not end that call's visit.
type Ticket struct {
	visit  *visit
	gen    uint64
	waited time.Duration
}

// Waited returns how long the call was queued.
func (t Ticket) Waited() time.Duration { return t.waited }

// Block reports that the visit starts to wait for a downstream call. Block may
// be called several times, once for each call of a fan-out; the visit stays
// blocked until Unblock has been called as often.
func (t Ticket) Block() {
	v, ok := t.lock()
	if !ok {
		return
	}
	defer v.mu.Unlock()
	v.blocks++
	if v.blocks > 1 {
		return
	}
	v.blockedAt = v.gate.now()
	v.gate.markBlocked()
}

// Unblock reverts one call of Block. A visit that resumes never waits for
// capacity.
func (t Ticket) Unblock() {
	v, ok := t.lock()
	if !ok {
		return
	}
	defer v.mu.Unlock()
	if v.blocks == 0 {
		return
	}
	v.blocks--
	if v.blocks > 0 {
		return
	}
	v.blocked += v.gate.now() - v.blockedAt
	v.gate.markUnblocked()
}

// Release ends the visit. Only the first call on any copy of the ticket has an
// effect.
func (t Ticket) Release(result Result) {
	v, ok := t.lock()
	if !ok {
		return
	}
	now := v.gate.now()
	v.gen++
	service := now - v.start
	blocked := v.blocked
	isBlocked := v.blocks > 0
	if isBlocked {
		blocked += now - v.blockedAt
	}
	v.mu.Unlock()
	v.gate.release(v, result, service, blocked, isBlocked, now)
}

// lock locks and returns the ticket's visit. It reports false if the visit has
// been released.
func (t Ticket) lock() (*visit, bool) {
	if t.visit == nil {
		return nil, false
	}
	t.visit.mu.Lock()
	if t.visit.gen != t.gen {
		t.visit.mu.Unlock()
		return nil, false
	}
	return t.visit, true
}

// begin initializes v for a new visit and returns its ticket.
func (v *visit) begin(p *profileStats, start, waited time.Duration) Ticket {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.profile = p
	v.start = start
	v.blocks = 0
	v.blocked = 0
	return Ticket{visit: v, gen: v.gen, waited: waited}
}
