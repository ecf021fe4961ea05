package atmostonce

import (
	"context"
	"errors"
	"time"

	"pollengauge.dev/call"
)

// judge decides by a claim that this presentation didn't write. own is true if
// the claim names an incarnation that this node owns and hasn't expired. The
// key has then never run, because the table has no entry for it except inquiry:
// the entry under which the store was queried, or nil.
//
// The entry and the ownership are checked in one critical section. Inherited
// fates are stored before the ownership is published, so that all fates of an
// incarnation that is visible here are in the table. A fate that has replaced
// inquiry since the store was queried is visible too.
func (t *Table) judge(p Presentation, found Claim, inquiry *entry) (st step, own bool) {
	if p.Fingerprint != 0 && found.Fingerprint != 0 && p.Fingerprint != found.Fingerprint {
		return refuse(p.Key, call.Unknown, call.ReasonKeyReused), false
	}
	if st, ok := recorded(p.Key, found); ok {
		return st, false
	}
	s := t.shard(p.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[p.Key] != inquiry {
		return step{wait: lookAgain}, false
	}
	v := s.view
	home, mine := v.homes[found.Home]
	switch {
	case !mine:
		return step{verdict: Verdict{Kind: Forward, Home: v.forward(found.Home)}}, false
	case v.phase.gone():
		return step{verdict: Verdict{Kind: Forward, Home: v.successor}}, false
	case !t.clock.now().Add(home.shift).Before(time.Unix(found.ExpiresUnix, 0)):
		return refuse(p.Key, call.Unknown, call.ReasonKeyExpired), false
	}
	return step{}, true
}

// recorded decides by a fate that the owner wrote to the store. ok is false if
// the claim holds no fate.
func recorded(key string, found Claim) (step, bool) {
	switch {
	case found.State == StateDone && found.Answer != nil:
		return step{verdict: Verdict{Kind: Replay, Answer: found.Answer.clone()}}, true
	case found.State == StateDone:
		return refuse(key, call.Unknown, call.ReasonAnswerNotHeld), true
	case found.State == StateUnknown:
		return refuse(key, call.Unknown, call.Reason(found.Reason)), true
	}
	return step{}, false
}

// locate looks up a caller-supplied key that this node can't claim now. Only
// the store can prove that no other node ran it.
func (t *Table) locate(ctx context.Context, p Presentation, reason call.Reason) step {
	found, _, err := t.cfg.Store.Get(ctx, ClaimName(t.cfg.Service, p.Key))
	var absent *ClaimNotFoundError
	if errors.As(err, &absent) {
		return refuse(p.Key, call.NotRun, reason)
	}
	if err != nil {
		return refuse(p.Key, call.Unknown, call.ReasonKeyUnclaimed)
	}
	st, own := t.judge(p, found, nil)
	if !own {
		return st
	}
	return refuse(p.Key, call.NotRun, reason)
}

// Recall reads the fate of a key from the store after its owner has crashed or
// left. It returns Replay with the answer, or a *RefusedError with outcome
// unknown. It never runs the key.
func (t *Table) Recall(ctx context.Context, key string) (Verdict, error) {
	gone := &RefusedError{Key: key, Outcome: call.Unknown, Reason: call.ReasonKeyHomeGone}
	if t.cfg.Store == nil {
		return Verdict{}, gone
	}
	found, _, err := t.cfg.Store.Get(ctx, ClaimName(t.cfg.Service, key))
	if err != nil {
		return Verdict{}, gone
	}
	st, ok := recorded(key, found)
	switch {
	case !ok:
		return Verdict{}, gone
	case st.err != nil:
		return Verdict{}, st.err
	}
	return st.verdict, nil
}
