package atmostonce

import (
	"context"
	"errors"
	"time"

	"pollengauge.dev/call"
)

// maxClaimAttempts bounds the store requests of one presentation. Each attempt
// makes one write and at most one read and one more write.
const maxClaimAttempts = 4

// claimResult is the result of trying to claim a caller-supplied key in the
// store.
type claimResult struct {
	decision decision
	acquired bool
	id       string
	version  Version
	expires  time.Time
}

// claim tries to claim the key of e, which is in StateClaiming, in the store.
// It then settles e according to the result.
func (t *Table) claim(ctx context.Context, e *entry) decision {
	got := t.acquire(ctx, e)
	now := t.clock.now()
	s := t.shard(e.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.state != StateClaiming {
		// The entry was revoked in the meantime, by a drain or by an inherited
		// fate. Another presentation may have run the key, here or on another
		// node.
		return decision{wait: checkAgainNow}
	}
	if !got.acquired {
		t.revoke(s, e)
		return got.decision
	}
	e.claimID = got.id
	e.claimVersion = got.version
	e.expires = got.expires
	return decision{verdict: Verdict{Kind: RunNow, Run: s.startRun(e, t, now)}}
}

// acquire makes this node the owner of a caller-supplied key, or returns the
// reason why it can't. This node becomes the owner only if a write of this
// presentation is known to have taken effect. This also fences off writes of
// earlier presentations that the store may still apply late: they are
// conditional on a version, or on the absence of the object, and that condition
// is no longer true.
func (t *Table) acquire(ctx context.Context, e *entry) claimResult {
	claim := Claim{
		Service:     t.cfg.Service,
		Home:        e.owner,
		ID:          randomHex(t.cfg.Random),
		State:       StateClaimed,
		Fingerprint: e.Fingerprint,
	}
	for range maxClaimAttempts {
		got, again := t.tryAcquire(ctx, e, claim)
		if !again {
			return got
		}
	}
	return claimFailed(e.Key)
}

// claimFailed returns the result of a claim that failed because the store could
// not be reached or didn't confirm the write.
func claimFailed(key string) claimResult {
	return claimResult{decision: refuse(key, call.Unknown, call.ReasonKeyUnclaimed)}
}

// tryAcquire makes one attempt to write claim. again is true if the claim in
// the store changed, or may have changed, between the read and the write.
func (t *Table) tryAcquire(ctx context.Context, e *entry, claim Claim) (got claimResult, again bool) {
	name := ClaimName(t.cfg.Service, e.Key)
	expires := t.clock.now().Add(t.cfg.Window)
	claim.ExpiresUnix = expires.Unix()
	version, err := t.cfg.Store.Create(ctx, name, claim)
	if err == nil {
		return claimResult{acquired: true, id: claim.ID, version: version, expires: expires}, false
	}
	var exists *ClaimExistsError
	var ambiguous *ClaimAmbiguousError
	if !errors.As(err, &exists) && !errors.As(err, &ambiguous) {
		return claimFailed(e.Key), false
	}
	found, version, err := t.cfg.Store.Get(ctx, name)
	var absent *ClaimNotFoundError
	if errors.As(err, &absent) {
		return claimResult{}, true
	}
	if err != nil {
		return claimFailed(e.Key), false
	}
	if found.ID == claim.ID {
		return claimResult{acquired: true, id: claim.ID, version: version, expires: expires}, false
	}
	decided, neverRan := t.evaluateClaim(e.Presentation, found, e)
	if !neverRan {
		return claimResult{decision: decided}, false
	}
	return t.replaceClaim(ctx, name, claim, version)
}

// replaceClaim overwrites a claim that this node made for an earlier
// presentation, or inherited, and whose key never ran. A delete of that claim
// may still be in flight: the update changes the version, so that the delete
// can no longer take effect.
func (t *Table) replaceClaim(ctx context.Context, name string, claim Claim, found Version) (got claimResult, again bool) {
	expires := t.clock.now().Add(t.cfg.Window)
	claim.ExpiresUnix = expires.Unix()
	version, err := t.cfg.Store.Update(ctx, name, claim, found)
	if err != nil {
		return claimResult{}, true
	}
	return claimResult{acquired: true, id: claim.ID, version: version, expires: expires}, false
}
