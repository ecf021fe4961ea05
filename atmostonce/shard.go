package atmostonce

import (
	"container/list"
	"sync"
	"time"

	"pollengauge.dev/call"
)

// shard holds part of the table's entries under its own lock. It has its own
// pointer to the view, because a claim must check the phase and the ownership
// in the same critical section in which it is made. Otherwise a presentation
// that read them and was then paused could claim a key that has been handed
// over in the meantime.
type shard struct {
	mu      sync.Mutex
	view    *view
	entries map[string]*entry

	storedAnswers  *list.List // entries with an answer, oldest first
	storedBytes    int64
	maxStoredBytes int64
}

func newShard(v *view, maxStoredBytes int64) *shard {
	return &shard{view: v, entries: make(map[string]*entry), storedAnswers: list.New(), maxStoredBytes: maxStoredBytes}
}

func (s *shard) setView(v *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
}

// settle changes e to a state that isn't pending and wakes the presentations
// that wait for it.
func (s *shard) settle(e *entry, state State, now time.Time) {
	e.state = state
	e.since = now
	close(e.changed)
}

// remove drops e and wakes the presentations that wait for it. They then find
// the key absent.
func (s *shard) remove(e *entry) {
	s.dropAnswer(e)
	delete(s.entries, e.Key)
	if e.state.pending() {
		close(e.changed)
	}
	e.state = StateAbsent
	e.run = nil
}

// startRun gives a new run permission to dispatch e. Presentations that waited
// for the claim in the store continue to wait, for the run.
func (s *shard) startRun(e *entry, t *Table, now time.Time) *Run {
	if !e.state.pending() {
		e.changed = make(chan struct{})
	}
	e.state = StateClaimed
	e.since = now
	e.run = &Run{table: t, shard: s, entry: e}
	return e.run
}

// storeAnswer stores an answer and drops the oldest answers while the stored ones
// exceed the shard's share of the memory. It drops only answers, never fates.
func (s *shard) storeAnswer(e *entry, answer *Answer, limit int64) {
	size := answer.size()
	if size > limit {
		return
	}
	e.answer = answer
	e.answerSize = size
	e.answerElement = s.storedAnswers.PushBack(e)
	s.storedBytes += size
	for s.storedBytes > s.maxStoredBytes {
		s.dropAnswer(s.storedAnswers.Front().Value.(*entry))
	}
}

func (s *shard) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	s.storedAnswers.Remove(e.answerElement)
	s.storedBytes -= e.answerSize
	e.answer = nil
	e.answerElement = nil
	e.answerSize = 0
}

// expire drops expired entries. It returns the number of entries dropped, and
// their claims in the store, which may be deleted too. Entries in flight stay,
// because their run may still be dispatched.
func (s *shard) expire(now time.Time) (dropped int, claims []claimRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.state.pending() || !now.After(e.expires) {
			continue
		}
		if e.claimVersion != "" {
			claims = append(claims, claimRef{key: e.Key, version: e.claimVersion})
		}
		s.remove(e)
		dropped++
	}
	return dropped, claims
}

// decide decides on a presentation of a key that has an entry. It reports false for
// a released key, which may run again.
func (e *entry) decide(p Presentation) (decision, bool) {
	if e.Fingerprint != 0 && p.Fingerprint != 0 && e.Fingerprint != p.Fingerprint {
		return refuse(p.Key, call.Unknown, call.ReasonKeyReused), true
	}
	switch {
	case e.state.pending():
		return decision{wait: e.changed}, true
	case e.state == StateDone && e.answer == nil:
		return refuse(p.Key, call.Unknown, call.ReasonAnswerNotHeld), true
	case e.state == StateDone:
		return decision{verdict: Verdict{Kind: Replay, Answer: e.answer.clone()}}, true
	case e.state == StateUnknown:
		return refuse(p.Key, call.Unknown, e.reason), true
	}
	return decision{}, false
}
