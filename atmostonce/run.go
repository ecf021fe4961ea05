package atmostonce

import (
	"slices"
	"time"

	"pollengauge.dev/call"
)

// Run is the one permission to dispatch a key. Its holder calls Dispatched
// right before sending, and then Done, Unknown or NotRun.
type Run struct {
	table *Table
	shard *shard
	entry *entry
}

// Key is the key's text.
func (r *Run) Key() string { return r.entry.Key }

// Dispatched marks the call as sent. It must be called before the first byte
// goes to the upstream, and nothing may be sent if it fails. A *RefusedError
// says that the claim was taken back because the node hands its keys over;
// Begin then tells where the key has gone.
func (r *Run) Dispatched() error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	switch {
	case e.run != r:
		return &RefusedError{Key: e.Key, Outcome: r.revoked(now), Reason: call.ReasonDraining}
	case !e.minted && now.After(e.expires):
		// This process was paused for the whole window. The claim in the
		// store may be deleted and the key claimed by another node.
		return &RefusedError{Key: e.Key, Outcome: call.Unknown, Reason: call.ReasonKeyExpired}
	}
	if err := r.mayBecome(StateDispatched, StateClaimed); err != nil {
		return err
	}
	e.state = StateDispatched
	e.since = now
	return nil
}

// revoked is what is known of a key whose claim was taken back by a drain.
// Another presentation may have run it since: at the successor, or here after
// the drain was cancelled. The caller holds the shard's lock.
func (r *Run) revoked(now time.Time) call.Outcome {
	e := r.entry
	v := r.shard.view
	_, mine := v.homes[e.home]
	if !e.minted || !mine || v.phase.gone() || now.After(e.expires) {
		return call.Unknown
	}
	if other := r.shard.entries[e.Key]; other != nil && other.state != StateClaimed {
		return call.Unknown
	}
	return call.NotRun
}

// Done stores the whole answer for later presentations. It may follow Unknown
// if the answer arrives late.
func (r *Run) Done(answer Answer) error { return r.done(&answer) }

// DoneUnheld records that the call completed with an answer that can't be
// kept, for example because it is too large to be read whole. Part of an
// answer must never be given to Done: it would be replayed as the whole.
func (r *Run) DoneUnheld() error { return r.done(nil) }

func (r *Run) done(answer *Answer) error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	if err := r.mayBecome(StateDone, StateDispatched, StateUnknown); err != nil {
		return err
	}
	e.reason = call.ReasonNone
	if answer != nil {
		r.shard.hold(e, answer, r.table.cfg.MaxAnswerBytes)
	}
	r.end(StateDone, now)
	return nil
}

// Unknown records that the call was dispatched and its fate isn't known.
func (r *Run) Unknown(reason call.Reason) error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	if err := r.mayBecome(StateUnknown, StateDispatched); err != nil {
		return err
	}
	e.reason = reason
	r.end(StateUnknown, now)
	return nil
}

// mayBecome refuses a change of state unless the key is still this run's and in one
// of the states that lead there. The caller holds the shard's lock.
func (r *Run) mayBecome(to State, from ...State) error {
	e := r.entry
	if e.run != r || !slices.Contains(from, e.state) {
		return &RunError{Key: e.Key, From: e.state, To: to}
	}
	return nil
}

// end stores a fate. The caller holds the shard's lock.
func (r *Run) end(state State, now time.Time) {
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

// NotRun gives the key back: it is proved that no upstream ran any part of
// the call. After Dispatched it needs such a proof, for example that no
// connection could be made. A waiting presenter may then run the key. If it
// fails, the key may be another node's by now: answer unknown.
func (r *Run) NotRun() error {
	now := r.table.clock.now()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	e := r.entry
	if err := r.mayBecome(StateReleased, StateClaimed, StateDispatched); err != nil {
		return err
	}
	if e.minted || r.shard.view.phase >= phaseSealed {
		r.table.takeBack(r.shard, e)
		return nil
	}
	defer r.table.endPresentation()
	e.run = nil
	r.shard.settle(e, StateReleased, now)
	r.table.work.addReleased(e.Key)
	return nil
}

// Close ends a run that its holder left open, for example by a panic: as
// NotRun if it wasn't dispatched, as Unknown otherwise. Without it the key's
// presenters would wait for ever. After the run has ended it does nothing.
func (r *Run) Close() {
	r.shard.mu.Lock()
	mine, state := r.entry.run == r, r.entry.state
	r.shard.mu.Unlock()
	switch {
	case mine && state == StateClaimed:
		_ = r.NotRun()
	case mine && state == StateDispatched:
		_ = r.Unknown(call.ReasonLost)
	}
}
