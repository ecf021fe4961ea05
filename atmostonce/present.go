package atmostonce

import (
	"context"
	"errors"
	"time"

	"pollengauge.dev/call"
)

// Presentation is one arrival of a call that carries a key.
type Presentation struct {
	// Key is the text of the idempotency key.
	Key string
	// RequestID and Profile are shown to operators.
	RequestID string
	Profile   string
	// Fingerprint is a hash of the request, or 0 for none. Without it, two
	// callers that supply the same key for different requests would get each
	// other's answers.
	Fingerprint uint64
	// Durable requests that the fate be written to the store after the run, so
	// that it can be reported after this node is gone.
	Durable bool
}

// VerdictKind is the action that the presenter of a key must take.
type VerdictKind uint8

const (
	// RunNow: the presenter runs the call through Verdict.Run.
	RunNow VerdictKind = iota + 1
	// Replay: the key ran before; Verdict.Answer is the complete response.
	Replay
	// Forward: Verdict.Owner is the only node that may run the key.
	Forward
)

// Verdict is the result of Begin.
type Verdict struct {
	Kind   VerdictKind
	Run    *Run
	Answer Answer
	Owner  Incarnation
}

// checkAgainNow is a closed channel. It is the wait channel of a decision if the
// table has changed in the meantime and must be checked again at once.
var checkAgainNow = func() <-chan struct{} {
	over := make(chan struct{})
	close(over)
	return over
}()

// decision is the result of checking the table once.
type decision struct {
	verdict Verdict
	err     *RefusedError
	// wait is closed when the table should be checked again.
	wait <-chan struct{}
	// claiming is a new entry for which the store must be queried.
	claiming *entry
	// lookupReason is the reason why the key can't be claimed on this node. If
	// it is set, the store must be queried whether another node claimed the
	// key.
	lookupReason call.Reason
}

func refuse(key string, outcome call.Outcome, reason call.Reason) decision {
	return decision{err: &RefusedError{Key: key, Outcome: outcome, Reason: reason}}
}

// Begin presents a key. While another presentation of the key is in flight,
// Begin waits until that one finishes or ctx is done. Every error is a
// *RefusedError.
func (t *Table) Begin(ctx context.Context, p Presentation) (Verdict, error) {
	key, minted, err := ParseKey(p.Key)
	if err != nil || (minted && key.Service != t.cfg.Service) {
		return Verdict{}, &RefusedError{Key: p.Key, Outcome: call.NotRun, Reason: call.ReasonBadRequest}
	}
	for {
		s := t.present(p, key, minted)
		switch {
		case s.claiming != nil:
			s = t.claim(ctx, s.claiming)
		case s.lookupReason != call.ReasonNone:
			s = t.lookUpClaim(ctx, p, s.lookupReason)
		}
		switch {
		case s.err != nil:
			return Verdict{}, s.err
		case s.wait == nil:
			return s.verdict, nil
		}
		select {
		case <-s.wait:
		case <-ctx.Done():
			// The other presentation may run the key at any moment. Even a key
			// that is only claimed can't be reported as not-run here.
			return Verdict{}, &RefusedError{Key: p.Key, Outcome: call.Unknown, Reason: endReason(ctx)}
		}
	}
}

func endReason(ctx context.Context) call.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.ReasonTimeout
	}
	return call.ReasonCancelled
}

// present checks the table once, and claims the key if possible.
func (t *Table) present(p Presentation, key Key, minted bool) decision {
	now := t.clock.now()
	s := t.shard(p.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[p.Key]; e != nil {
		if decided, ok := e.decide(p); ok {
			return decided
		}
		return t.presentReleased(s, e, p, now)
	}
	if minted {
		return t.presentMinted(s, p, key, now)
	}
	return t.presentSupplied(s, p, now)
}

// presentReleased claims a released key. This node still owns the claim in the
// store.
func (t *Table) presentReleased(s *shard, e *entry, p Presentation, now time.Time) decision {
	switch {
	case s.view.phase.mayBeTransferred():
		return decision{verdict: Verdict{Kind: Forward, Owner: s.view.successor}}
	case now.After(e.expires):
		return refuse(p.Key, call.Unknown, call.ReasonKeyExpired)
	case s.view.phase != phaseActive:
		return refuse(p.Key, call.NotRun, call.ReasonDraining)
	}
	if p.Fingerprint == 0 {
		p.Fingerprint = e.Fingerprint
	}
	e.Presentation = p
	t.inFlight.Add(1)
	return decision{verdict: Verdict{Kind: RunNow, Run: s.startRun(e, t, now)}}
}

func (t *Table) presentMinted(s *shard, p Presentation, key Key, now time.Time) decision {
	clock, owned := s.view.owned[key.Home]
	if !owned {
		return decision{verdict: Verdict{Kind: Forward, Owner: s.view.forwardTarget(key.Home)}}
	}
	minted := time.Unix(key.Minted, 0).Add(-clock.clockOffset)
	expires := minted.Add(t.cfg.Window)
	switch {
	case s.view.phase.mayBeTransferred():
		return decision{verdict: Verdict{Kind: Forward, Owner: s.view.successor}}
	case now.After(expires):
		// The entry of an expired key may have been dropped, so the key may
		// have run.
		return refuse(p.Key, call.Unknown, call.ReasonKeyExpired)
	case s.view.phase != phaseActive:
		return refuse(p.Key, call.NotRun, call.ReasonDraining)
	case minted.After(now.Add(t.cfg.MaxSkew)):
		return refuse(p.Key, call.NotRun, call.ReasonBadRequest)
	case !t.reserve(1):
		return refuse(p.Key, call.NotRun, call.ReasonKeyTableFull)
	}
	e := &entry{Presentation: p, owner: key.Home, minted: true, expires: expires}
	s.entries[p.Key] = e
	t.inFlight.Add(1)
	return decision{verdict: Verdict{Kind: RunNow, Run: s.startRun(e, t, now)}}
}

func (t *Table) presentSupplied(s *shard, p Presentation, now time.Time) decision {
	switch {
	case t.cfg.Store == nil:
		return refuse(p.Key, call.Unknown, call.ReasonKeyUnclaimed)
	case s.view.phase != phaseActive:
		return decision{lookupReason: call.ReasonDraining}
	case !t.reserve(1):
		return decision{lookupReason: call.ReasonKeyTableFull}
	}
	e := &entry{
		Presentation: p,
		owner:        s.view.incarnation,
		state:        StateClaiming,
		since:        now,
		expires:      now.Add(t.cfg.Window),
		changed:      make(chan struct{}),
	}
	s.entries[p.Key] = e
	t.inFlight.Add(1)
	return decision{claiming: e}
}
