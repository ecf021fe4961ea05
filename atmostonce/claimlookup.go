package atmostonce

import (
	"context"
	"errors"
	"time"

	"pollengauge.dev/call"
)

// evaluateClaim decides on a presentation by a claim that this presentation
// didn't write. neverRan is true if the claim hasn't expired and names an
// incarnation that this node owns. The key has then never run, because the table
// has no entry for it except inquiry: the entry under which the store was queried,
// or nil.
//
// The entry and the ownership are checked in one critical section. Inherited
// fates are stored before the ownership is published, so that all fates of an
// incarnation that is visible here are in the table. A fate that has replaced
// inquiry since the store was queried is visible too.
func (t *Table) evaluateClaim(p Presentation, found Claim, inquiry *entry) (decided decision, neverRan bool) {
	if p.Fingerprint != 0 && found.Fingerprint != 0 && p.Fingerprint != found.Fingerprint {
		return refuse(p.Key, call.Unknown, call.ReasonKeyReused), false
	}
	if recorded, ok := recordedFate(p.Key, found); ok {
		return recorded, false
	}
	s := t.shard(p.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[p.Key] != inquiry {
		return decision{wait: checkAgainNow}, false
	}
	v := s.view
	clock, owned := v.owned[found.Home]
	switch {
	case !owned:
		return decision{verdict: Verdict{Kind: Forward, Owner: v.forwardTarget(found.Home)}}, false
	case v.phase.mayBeTransferred():
		return decision{verdict: Verdict{Kind: Forward, Owner: v.successor}}, false
	case !t.clock.now().Add(clock.clockOffset).Before(time.Unix(found.ExpiresUnix, 0)):
		return refuse(p.Key, call.Unknown, call.ReasonKeyExpired), false
	}
	return decision{}, true
}

// recordedFate decides by a fate that the owner wrote to the store. It reports
// false if the claim holds no fate.
func recordedFate(key string, found Claim) (decision, bool) {
	switch {
	case found.State == StateDone && found.Answer != nil:
		return decision{verdict: Verdict{Kind: Replay, Answer: found.Answer.clone()}}, true
	case found.State == StateDone:
		return refuse(key, call.Unknown, call.ReasonAnswerNotHeld), true
	case found.State == StateUnknown:
		return refuse(key, call.Unknown, call.Reason(found.Reason)), true
	}
	return decision{}, false
}

// lookUpClaim looks up a caller-supplied key that this node can't claim now.
// Only the store can prove that no other node ran it.
func (t *Table) lookUpClaim(ctx context.Context, p Presentation, reason call.Reason) decision {
	found, _, err := t.cfg.Store.Get(ctx, ClaimName(t.cfg.Service, p.Key))
	var absent *ClaimNotFoundError
	if errors.As(err, &absent) {
		return refuse(p.Key, call.NotRun, reason)
	}
	if err != nil {
		return refuse(p.Key, call.Unknown, call.ReasonKeyUnclaimed)
	}
	decided, neverRan := t.evaluateClaim(p, found, nil)
	if !neverRan {
		return decided
	}
	return refuse(p.Key, call.NotRun, reason)
}

// ReadStoredFate reads the fate of a key from the store after its owner has crashed or
// left. It returns Replay with the answer, or a *RefusedError with outcome
// unknown. It never runs the key.
func (t *Table) ReadStoredFate(ctx context.Context, key string) (Verdict, error) {
	gone := &RefusedError{Key: key, Outcome: call.Unknown, Reason: call.ReasonKeyHomeGone}
	if t.cfg.Store == nil {
		return Verdict{}, gone
	}
	found, _, err := t.cfg.Store.Get(ctx, ClaimName(t.cfg.Service, key))
	if err != nil {
		return Verdict{}, gone
	}
	recorded, ok := recordedFate(key, found)
	switch {
	case !ok:
		return Verdict{}, gone
	case recorded.err != nil:
		return Verdict{}, recorded.err
	}
	return recorded.verdict, nil
}
