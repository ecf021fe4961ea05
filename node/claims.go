package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// claimKind is the kind of the platform objects that hold claims.
const claimKind = "pollengauge-claim"

// claimStore stores claims on keys in the platform's object API.
type claimStore struct {
	store   objects.Store
	service string
	log     *observe.Logger
	counts  observe.Counters
}

// claimRecord is the JSON form of a claim in the platform.
type claimRecord struct {
	Service     string        `json:"service"`
	Home        string        `json:"home"`
	ID          string        `json:"id"`
	ExpiresUnix int64         `json:"expires"`
	State       uint8         `json:"state"`
	Reason      string        `json:"reason,omitempty"`
	Fingerprint uint64        `json:"fingerprint,omitempty"`
	Answer      *answerRecord `json:"answer,omitempty"`
}

type answerRecord struct {
	Status  int         `json:"status"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Trailer http.Header `json:"trailer,omitempty"`
	At      time.Time   `json:"at"`
}

func encodeClaim(c atmostonce.Claim) ([]byte, error) {
	record := claimRecord{
		Service:     c.Service,
		Home:        string(c.Home),
		ID:          c.ID,
		ExpiresUnix: c.ExpiresUnix,
		State:       uint8(c.State),
		Reason:      c.Reason,
		Fingerprint: c.Fingerprint,
	}
	if c.Answer != nil {
		record.Answer = &answerRecord{
			Status:  c.Answer.Status,
			Header:  c.Answer.Header,
			Body:    c.Answer.Body,
			Trailer: c.Answer.Trailer,
			At:      c.Answer.At,
		}
	}
	return json.Marshal(record)
}

func decodeClaim(data []byte) (atmostonce.Claim, error) {
	var record claimRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return atmostonce.Claim{}, err
	}
	c := atmostonce.Claim{
		Service:     record.Service,
		Home:        atmostonce.Incarnation(record.Home),
		ID:          record.ID,
		ExpiresUnix: record.ExpiresUnix,
		State:       atmostonce.State(record.State),
		Reason:      record.Reason,
		Fingerprint: record.Fingerprint,
	}
	if a := record.Answer; a != nil {
		c.Answer = &atmostonce.Answer{Status: a.Status, Header: a.Header, Body: a.Body, Trailer: a.Trailer, At: a.At}
	}
	return c, nil
}

// versionOf returns an identifier of one version of an object. It includes the
// revision, because an object that is deleted and created again restarts its version
// numbers, and the era, because a store that is restored gives out both again.
func versionOf(o objects.Object) atmostonce.Version {
	return atmostonce.Version(fmt.Sprintf("%d@%d@%d", o.Version, o.Revision, o.Era))
}

// objectVersion returns the version and the era of an identifier, zeros if it is not one.
func objectVersion(v atmostonce.Version) (version, era uint64) {
	var revision uint64
	if _, err := fmt.Sscanf(string(v), "%d@%d@%d", &version, &revision, &era); err != nil {
		return 0, 0
	}
	return version, era
}

// Create implements atmostonce.ClaimStore.
func (s *claimStore) Create(ctx context.Context, name string, claim atmostonce.Claim) (atmostonce.Version, error) {
	value, err := encodeClaim(claim)
	if err != nil {
		return "", &atmostonce.ClaimUnavailableError{Name: name, Err: err}
	}
	o, err := s.create(ctx, name, value)
	s.counts.With(platformResult(err)).Inc(1)
	if err != nil {
		var conflict *objects.ConflictError
		if errors.As(err, &conflict) {
			return "", &atmostonce.ClaimExistsError{Name: name}
		}
		return "", s.writeError(name, err)
	}
	return versionOf(o), nil
}

// maxBudgetWait is how long the creation of a claim waits for this node's budget of
// platform calls.
const maxBudgetWait = 500 * time.Millisecond

// create waits for the budget of platform calls if that is available within
// maxBudgetWait: a short wait is better for a caller that brings its own key than a
// refusal.
func (s *claimStore) create(ctx context.Context, name string, value []byte) (objects.Object, error) {
	giveUp := time.Now().Add(maxBudgetWait)
	for {
		o, err := s.store.Create(ctx, claimKind, name, value)
		if !awaitBudget(ctx, err, time.Until(giveUp)) {
			return o, err
		}
	}
}

// awaitBudget reports whether a platform call that failed with err may be made again.
// That is the case if err says that the call exceeded this node's budget; awaitBudget
// then waits until the budget allows the call. If that would take longer than left, it
// returns false without waiting.
func awaitBudget(ctx context.Context, err error, left time.Duration) bool {
	var overBudget *objects.RateError
	if !errors.As(err, &overBudget) || overBudget.RetryAfter > left {
		return false
	}
	return objects.Pause(ctx, overBudget.RetryAfter)
}

// Get implements atmostonce.ClaimStore.
func (s *claimStore) Get(ctx context.Context, name string) (atmostonce.Claim, atmostonce.Version, error) {
	o, err := s.store.Get(ctx, claimKind, name)
	if err != nil {
		var absent *objects.NotFoundError
		if errors.As(err, &absent) {
			return atmostonce.Claim{}, "", &atmostonce.ClaimNotFoundError{Name: name}
		}
		return atmostonce.Claim{}, "", &atmostonce.ClaimUnavailableError{Name: name, Err: err}
	}
	claim, err := decodeClaim(o.Value)
	if err != nil {
		return atmostonce.Claim{}, "", &atmostonce.ClaimUnavailableError{Name: name, Err: err}
	}
	return claim, versionOf(o), nil
}

// Update implements atmostonce.ClaimStore.
func (s *claimStore) Update(ctx context.Context, name string, claim atmostonce.Claim, version atmostonce.Version) (atmostonce.Version, error) {
	value, err := encodeClaim(claim)
	if err != nil {
		return "", &atmostonce.ClaimUnavailableError{Name: name, Err: err}
	}
	expected, era := objectVersion(version)
	o, err := s.store.Update(ctx, objects.Object{Kind: claimKind, Name: name, Version: expected, Era: era, Value: value})
	if err != nil {
		return "", s.conditionalError(name, err)
	}
	return versionOf(o), nil
}

// Delete implements atmostonce.ClaimStore.
func (s *claimStore) Delete(ctx context.Context, name string, version atmostonce.Version) error {
	expected, era := objectVersion(version)
	if era != 0 && era != objects.EraOf(s.store) {
		return &atmostonce.ClaimConflictError{Name: name}
	}
	if err := s.store.Delete(ctx, claimKind, name, expected); err != nil {
		return s.conditionalError(name, err)
	}
	return nil
}

// List implements atmostonce.ClaimLister.
func (s *claimStore) List(ctx context.Context, after string, limit int) ([]atmostonce.StoredClaim, error) {
	objects, _, err := s.store.List(ctx, claimKind, s.service+".")
	if err != nil {
		return nil, &atmostonce.ClaimUnavailableError{Name: after, Err: err}
	}
	var claims []atmostonce.StoredClaim
	for _, o := range objects {
		if o.Name <= after {
			continue
		}
		if len(claims) == limit {
			break
		}
		claim, err := decodeClaim(o.Value)
		if err != nil {
			continue
		}
		claims = append(claims, atmostonce.StoredClaim{Name: o.Name, Version: versionOf(o), Claim: claim})
	}
	return claims, nil
}

// conditionalError converts the error of a write that depends on an object's version.
func (s *claimStore) conditionalError(name string, err error) error {
	var conflict *objects.ConflictError
	var absent *objects.NotFoundError
	if errors.As(err, &conflict) || errors.As(err, &absent) {
		return &atmostonce.ClaimConflictError{Name: name}
	}
	return s.writeError(name, err)
}

func (s *claimStore) writeError(name string, err error) error {
	var ambiguous *objects.AmbiguousError
	if errors.As(err, &ambiguous) {
		s.log.Emit(observe.ClaimAmbiguous, observe.Str("claim", name))
		return &atmostonce.ClaimAmbiguousError{Name: name, Err: err}
	}
	return &atmostonce.ClaimUnavailableError{Name: name, Err: err}
}
