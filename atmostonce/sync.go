package atmostonce

import (
	"context"
	"errors"
	"sync"
)

const maxExpiredClaims = 10_000

// claimRef identifies one version of the claim on a key.
type claimRef struct {
	key     string
	version Version
}

// syncWork holds the pending writes to the store. The number of expired claims
// is bounded by maxExpiredClaims; claims beyond it stay in the store until a
// Collector deletes them.
type syncWork struct {
	mu       sync.Mutex
	released map[string]struct{}
	unsaved  map[string]struct{}
	expired  []claimRef
}

func (w *syncWork) addReleased(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.released == nil {
		w.released = make(map[string]struct{})
	}
	w.released[key] = struct{}{}
}

func (w *syncWork) addUnsaved(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unsaved == nil {
		w.unsaved = make(map[string]struct{})
	}
	w.unsaved[key] = struct{}{}
}

func (w *syncWork) addExpired(claims []claimRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	capacity := maxExpiredClaims - len(w.expired)
	w.expired = append(w.expired, claims[:min(capacity, len(claims))]...)
}

// take removes and returns up to limit items of each kind.
func (w *syncWork) take(limit int) (released, unsaved []string, expired []claimRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	released = takeKeys(w.released, limit)
	unsaved = takeKeys(w.unsaved, limit)
	n := min(limit, len(w.expired))
	expired = append(expired, w.expired[:n]...)
	w.expired = append(w.expired[:0], w.expired[n:]...)
	return released, unsaved, expired
}

func takeKeys(from map[string]struct{}, limit int) []string {
	var keys []string
	for key := range from {
		if len(keys) == limit {
			break
		}
		keys = append(keys, key)
		delete(from, key)
	}
	return keys
}

// SyncReport counts the writes that one call of Sync made.
type SyncReport struct {
	// Released is the number of claims deleted so that other nodes may run
	// their keys.
	Released int
	// Saved is the number of fates written for durable presentations.
	Saved int
	// Deleted is the number of expired claims deleted.
	Deleted int
	// Failed is the number of writes that failed. Fates are written again by a
	// later Sync; claims are not deleted again.
	Failed int
}

// Sync writes pending changes to the store: it deletes the claims of keys that
// were not run, so that other nodes can run them, writes durable fates and
// deletes expired claims, up to limit of each. Call it about once per second.
// No call waits for Sync. As long as it isn't called, released keys can run
// only on this node, and durable fates are lost if this node crashes.
func (t *Table) Sync(ctx context.Context, limit int) SyncReport {
	var r SyncReport
	if t.cfg.Store == nil {
		return r
	}
	released, unsaved, expired := t.work.take(limit)
	for _, key := range released {
		t.releaseClaim(ctx, key, &r)
	}
	for _, key := range unsaved {
		t.saveFate(ctx, key, &r)
	}
	for _, ref := range expired {
		if t.cfg.Store.Delete(ctx, ClaimName(t.cfg.Service, ref.key), ref.version) != nil {
			r.Failed++
			continue
		}
		r.Deleted++
	}
	return r
}

// releaseClaim deletes the claim of a released key. The entry is dropped
// whatever the store's response is: after a delete that may or may not have
// taken effect, this node no longer knows whether it is the owner, and must
// query the store again before it runs the key.
func (t *Table) releaseClaim(ctx context.Context, key string, r *SyncReport) {
	s := t.shard(key)
	s.mu.Lock()
	e := s.entries[key]
	if e == nil || e.state != StateReleased {
		s.mu.Unlock()
		return
	}
	if s.view.phase != phaseActive {
		// Either the successor inherits the claim, or the drain is cancelled.
		t.work.addReleased(key)
		s.mu.Unlock()
		return
	}
	e.state = StateReleasing
	e.changed = make(chan struct{})
	version := e.claimVersion
	t.inFlight.Add(1)
	s.mu.Unlock()

	err := t.cfg.Store.Delete(ctx, ClaimName(t.cfg.Service, key), version)

	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		r.Failed++
	} else {
		r.Released++
	}
	if e.state != StateReleasing {
		return // revoked in the meantime
	}
	t.revoke(s, e)
}

// saveFate writes a durable fate. Only the owner writes a claim that was
// dispatched, so a conflict can only be caused by its own earlier attempt.
func (t *Table) saveFate(ctx context.Context, key string, r *SyncReport) {
	s := t.shard(key)
	s.mu.Lock()
	e := s.entries[key]
	if e == nil || !e.unsaved {
		s.mu.Unlock()
		return
	}
	claim := t.fateClaim(e)
	version := e.claimVersion
	s.mu.Unlock()

	version, err := t.writeFate(ctx, ClaimName(t.cfg.Service, key), claim, version)

	s.mu.Lock()
	defer s.mu.Unlock()
	e.claimVersion = version
	if err != nil {
		r.Failed++
		t.work.addUnsaved(key)
		return
	}
	r.Saved++
	// A late response may have changed the state from unknown to done since the
	// claim was built.
	e.unsaved = e.state != claim.State
	if e.unsaved {
		t.work.addUnsaved(key)
	}
}

func (t *Table) fateClaim(e *entry) Claim {
	claim := Claim{
		Service:     t.cfg.Service,
		Home:        e.owner,
		ID:          e.claimID,
		ExpiresUnix: e.expires.Unix(),
		State:       e.state,
		Reason:      string(e.reason),
		Fingerprint: e.Fingerprint,
	}
	if claim.ID == "" {
		claim.ID = randomHex(t.cfg.Random)
	}
	if e.answer != nil {
		answer := e.answer.clone()
		claim.Answer = &answer
	}
	return claim
}

// writeFate creates or updates the claim. It returns the version to use for the
// next write.
func (t *Table) writeFate(ctx context.Context, name string, claim Claim, version Version) (Version, error) {
	var written Version
	var err error
	if version == "" {
		written, err = t.cfg.Store.Create(ctx, name, claim)
	} else {
		written, err = t.cfg.Store.Update(ctx, name, claim, version)
	}
	if err == nil {
		return written, nil
	}
	var unavailable *ClaimUnavailableError
	if errors.As(err, &unavailable) {
		return version, err
	}
	found, current, getErr := t.cfg.Store.Get(ctx, name)
	if getErr != nil || found.Home != claim.Home {
		return version, err
	}
	if found.State == claim.State {
		return current, nil
	}
	return current, err
}
