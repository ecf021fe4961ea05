package atmostonce

import (
	"slices"
	"time"

	"pollengauge.dev/call"
)

// Run is the only permission to dispatch a key. Its holder calls Dispatched
// right before sending the call, and then Done, Unknown or NotRun.
type Run struct {
	table *Table
	shard *shard
	entry *entry
}

// Key returns the text of the key.
func (r *Run) Key() string { return r.entry.Key }

// Dispatched marks the call as sent. Call it before the first byte goes to the
// upstream; if it fails, nothing may be sent. A *RefusedError with reason
// draining means that the claim was revoked because this node hands its keys
// over or inherited the key's fate. Begin then returns the new owner or the
// fate.
func (r *Run) Dispatched() error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	switch {
	case e.run != r:
		return &RefusedError{Key: e.Key, Outcome: r.revokedOutcome(now), Reason: call.ReasonDraining}
	case !e.minted && now.After(e.expires):
		// This process was paused until the key's window ended. The claim in
		// the store may have been deleted and another node may have claimed the
		// key.
		return &RefusedError{Key: e.Key, Outcome: call.Unknown, Reason: call.ReasonKeyExpired}
	}
	if err := r.checkTransition(StateDispatched, StateClaimed); err != nil {
		return err
	}
	e.state = StateDispatched
	e.since = now
	return nil
}

// revokedOutcome returns the outcome to report for a key whose claim was
// revoked by a drain or an inherited fate. Another presentation may have run
// the key since: on the successor, or here after the drain was cancelled. The
// caller holds the shard's lock.
func (r *Run) revokedOutcome(now time.Time) call.Outcome {
	e := r.entry
	v := r.shard.view
	_, owned := v.owned[e.owner]
	if !e.minted || !owned || v.phase.mayBeTransferred() || now.After(e.expires) {
		return call.Unknown
	}
	if other := r.shard.entries[e.Key]; other != nil && other.state != StateClaimed {
		return call.Unknown
	}
	return call.NotRun
}

// Done stores the complete response for later presentations. It may follow
// Unknown if the response arrives late.
func (r *Run) Done(answer Answer) error { return r.done(&answer) }

// DoneWithoutAnswer records that the call completed with a response that can't be
// stored, for example because it is too large to be buffered. Never pass a
// partial response to Done: it would be replayed as the complete one.
func (r *Run) DoneWithoutAnswer() error { return r.done(nil) }

func (r *Run) done(answer *Answer) error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	if err := r.checkTransition(StateDone, StateDispatched, StateUnknown); err != nil {
		return err
	}
	e.reason = call.ReasonNone
	if answer != nil {
		r.shard.storeAnswer(e, answer, r.table.cfg.MaxAnswerBytes)
	}
	r.recordFate(StateDone, now)
	return nil
}

// Unknown records that the call was dispatched and its outcome isn't known.
func (r *Run) Unknown(reason call.Reason) error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	if err := r.checkTransition(StateUnknown, StateDispatched); err != nil {
		return err
	}
	e.reason = reason
	r.recordFate(StateUnknown, now)
	return nil
}

// checkTransition returns a *RunError unless this run still has the key and the
// key's state is one of from. The caller holds the shard's lock.
func (r *Run) checkTransition(to State, from ...State) error {
	e := r.entry
	if e.run != r || !slices.Contains(from, e.state) {
		return &RunError{Key: e.Key, From: e.state, To: to}
	}
	return nil
}

// recordFate records a fate. The caller holds the shard's lock.
func (r *Run) recordFate(state State, now time.Time) {
	e := r.entry
	first := e.state == StateDispatched
	if !first {
		e.state = state
		e.since = now
	} else {
		r.shard.settle(e, state, now)
		r.table.endPresentation()
	}
	if r.table.cfg.Store != nil && e.Durable && !e.unsaved {
		e.unsaved = true
		r.table.work.addUnsaved(e.Key)
	}
}

// NotRun releases the key: it is proven that no upstream ran any part of the
// call. After Dispatched it needs a proof, for example that no connection could
// be established. A waiting presentation may then run the key. If NotRun fails,
// another node may own the key by now; report the outcome as unknown.
func (r *Run) NotRun() error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	if err := r.checkTransition(StateReleased, StateClaimed, StateDispatched); err != nil {
		return err
	}
	if e.minted || r.shard.view.phase >= phaseSealed {
		r.table.revoke(r.shard, e)
		return nil
	}
	defer r.table.endPresentation()
	e.run = nil
	r.shard.settle(e, StateReleased, now)
	r.table.work.addReleased(e.Key)
	return nil
}

// Close completes a run that its holder left open, for example after a panic:
// as NotRun if it wasn't dispatched, as Unknown otherwise. Without Close, other
// presentations of the key would wait forever. Close does nothing if the run
// has been completed.
func (r *Run) Close() {
	r.shard.mu.Lock()
	current, state := r.entry.run == r, r.entry.state
	r.shard.mu.Unlock()
	switch {
	case current && state == StateClaimed:
		_ = r.NotRun()
	case current && state == StateDispatched:
		_ = r.Unknown(call.ReasonLost)
	}
}
