package atmostonce

import "context"

// handOver is the state of a hand-over on the draining node.
type handOver struct {
	// attempt numbers the hand-overs, so that the successor can distinguish a
	// delayed message of an aborted hand-over from one of the current
	// hand-over.
	attempt uint64
	// to is the successor of the current attempt.
	to Incarnation
	// chunks are the chunks of the current attempt. Retries send the same
	// chunks.
	chunks []Chunk
}

// Freeze stops new claims. Runs in flight continue, and stored answers are
// still replayed. Calling it again has no effect.
func (t *Table) Freeze() { t.setPhase(phaseFrozen, phaseActive) }

// Thaw makes the table active again after a cancelled drain. It fails with
// *HandOverError if the successor owns the keys or may own them; see Cancel and
// RenewIncarnation.
func (t *Table) Thaw() error {
	t.draining.Lock()
	defer t.draining.Unlock()
	return t.thaw()
}

func (t *Table) thaw() error {
	if t.setPhase(phaseActive, phaseActive, phaseFrozen, phaseSealed) {
		return nil
	}
	return &HandOverError{Step: "thaw", To: t.handOver.to, Ambiguous: t.current.Load().phase == phaseCommitting}
}

// HandOver transfers all keys to the node whose incarnation is to. It freezes
// and seals the table. Claims that were not dispatched are revoked, and calls
// that are still at the upstream are handed over as unknown; to avoid both,
// call WaitIdle between Freeze and HandOver.
//
// After a *HandOverError with Ambiguous set, only three calls can follow:
// HandOver to the same node, Cancel, or RenewIncarnation. With another successor,
// one key could have two owners.
func (t *Table) HandOver(ctx context.Context, to Incarnation, s Successor) error {
	t.draining.Lock()
	defer t.draining.Unlock()
	current := t.current.Load().phase
	sameSuccessor := t.handOver.to == to
	switch {
	case current == phaseHandedOver && sameSuccessor:
		return nil
	case current == phaseHandedOver, current == phaseCommitting && !sameSuccessor:
		return &HandOverError{Step: "begin", To: t.handOver.to, Ambiguous: current == phaseCommitting}
	case current != phaseCommitting:
		t.seal()
		t.handOver = handOver{attempt: t.handOver.attempt + 1, to: to}
		t.handOver.chunks = t.export()
	}
	for _, chunk := range t.handOver.chunks {
		if err := s.Stage(ctx, chunk); err != nil {
			return &HandOverError{Step: "stage", To: to, Ambiguous: current == phaseCommitting, Err: err}
		}
	}
	return t.commit(ctx, s)
}

// commit sends the commit request. From just before it is sent, this node no
// longer acts as an owner, whatever the response is.
func (t *Table) commit(ctx context.Context, s Successor) error {
	t.control.Lock()
	t.changeView(func(v *view) {
		v.phase = phaseCommitting
		v.successor = t.handOver.to
	})
	self := t.current.Load().incarnation
	t.control.Unlock()
	request := CommitRequest{From: self, To: t.handOver.to, Attempt: t.handOver.attempt, Total: len(t.handOver.chunks)}
	if err := s.Commit(ctx, request); err != nil {
		return &HandOverError{Step: "commit", To: t.handOver.to, Ambiguous: true, Err: err}
	}
	t.finish()
	return nil
}

func (t *Table) finish() {
	t.setPhase(phaseHandedOver, phaseCommitting)
	t.handOver.chunks = nil
}

// Cancel cancels a drain. If a commit was sent, Cancel asks the successor to
// reject this commit for good; this node may run its keys again only after the
// successor has confirmed that. Cancel returns nil if the table is active
// again. A *HandOverError without Ambiguous means that the successor owns the
// keys; with Ambiguous, the owner is unknown.
func (t *Table) Cancel(ctx context.Context, s Successor) error {
	t.draining.Lock()
	defer t.draining.Unlock()
	v := t.current.Load()
	if v.phase != phaseCommitting {
		return t.thaw()
	}
	err := s.Abort(ctx, AbortRequest{From: v.incarnation, To: t.handOver.to, Attempt: t.handOver.attempt})
	switch {
	case err == nil:
		t.handOver.chunks = nil
		t.setPhase(phaseActive, phaseCommitting)
		return nil
	case isCommitted(err):
		t.finish()
		return &HandOverError{Step: "cancel", To: t.handOver.to, Err: err}
	}
	return &HandOverError{Step: "cancel", To: t.handOver.to, Ambiguous: true, Err: err}
}

// RenewIncarnation lets a node that can't get its keys back continue under the new
// incarnation inc. The node forwards old keys to the successor, and still replays
// or reports the fates that it has. RenewIncarnation fails with *HandOverError
// unless a commit was sent.
func (t *Table) RenewIncarnation(inc Incarnation) error {
	t.draining.Lock()
	defer t.draining.Unlock()
	if !inc.Valid() {
		return &ConfigError{Field: "Incarnation", Want: "32 lower-case hexadecimal digits"}
	}
	t.control.Lock()
	defer t.control.Unlock()
	if !t.current.Load().phase.mayBeTransferred() {
		return &HandOverError{Step: "renew", To: t.handOver.to}
	}
	keysExpireAt := t.clock.now().Add(t.cfg.Window + t.cfg.MaxSkew)
	t.changeView(func(v *view) {
		if v.newOwners == nil {
			v.newOwners = make(map[Incarnation]newOwner)
		}
		for owner := range v.owned {
			v.newOwners[owner] = newOwner{to: v.successor, keysExpireAt: keysExpireAt}
		}
		v.incarnation = inc
		v.owned = map[Incarnation]ownerClock{inc: {}}
		v.phase = phaseActive
	})
	t.handOver = handOver{}
	return nil
}

// seal stops dispatching and revokes claims that were not dispatched.
func (t *Table) seal() {
	t.control.Lock()
	defer t.control.Unlock()
	v := t.current.Load().clone()
	v.phase = phaseSealed
	t.current.Store(v)
	for _, s := range t.shards {
		t.sealShard(s, v)
	}
}

// sealShard revokes the shard's claims in the same critical section that sets
// the phase, so that no run can be dispatched afterwards. Released keys are
// dropped too: if this node continues under another incarnation, it no longer
// owns their claims.
func (t *Table) sealShard(s *shard, v *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	for _, e := range s.entries {
		if !e.state.sent() {
			t.revoke(s, e)
		}
	}
}
