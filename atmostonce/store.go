package atmostonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Version is the store's version of one object. It is opaque to this package.
// The store must never assign the same version to a name twice, even if the
// object was deleted in between: otherwise a delayed conditional delete could
// remove a newer claim.
type Version string

// Claim is the stored object that records which incarnation may run a
// caller-supplied key. For durable presentations it also records the fate, of
// minted keys too.
type Claim struct {
	Service string
	// Home is the owner: the only incarnation that may dispatch the key.
	Home Incarnation
	// ID is random and identifies this write, so that a writer that lost the
	// store's response recognizes its own claim.
	ID string
	// ExpiresUnix is the expiry by the owner's clock, in Unix seconds.
	ExpiresUnix int64
	// State is StateClaimed, StateDone or StateUnknown.
	State State
	// Answer is set for StateDone if the answer was small enough to store.
	Answer *Answer
	Reason string
	// Fingerprint is the fingerprint of the request that claimed the key, or 0
	// for none.
	Fingerprint uint64
}

// ClaimStore is the part of the platform's object store that this package
// needs. All writes are conditional. Methods may be called concurrently.
type ClaimStore interface {
	// Create writes claim if no object has this name. It fails with
	// *ClaimExistsError, *ClaimUnavailableError (the claim was certainly not
	// written) or *ClaimAmbiguousError (the claim may have been written, or may
	// be written later).
	Create(ctx context.Context, name string, claim Claim) (Version, error)
	// Get reads a claim. It fails with *ClaimNotFoundError or
	// *ClaimUnavailableError.
	Get(ctx context.Context, name string) (Claim, Version, error)
	// Update replaces a claim if its current version is version. It fails with
	// *ClaimConflictError if the version differs or the object doesn't exist, and
	// like Create with *ClaimUnavailableError or *ClaimAmbiguousError.
	Update(ctx context.Context, name string, claim Claim, version Version) (Version, error)
	// Delete removes a claim if its current version is version. It fails like
	// Update.
	Delete(ctx context.Context, name string, version Version) error
}

// StoredClaim is a claim with its name and version, as ClaimLister returns it.
type StoredClaim struct {
	Name    string
	Version Version
	Claim   Claim
}

// ClaimLister lists claims in the order of their names, for a Collector.
type ClaimLister interface {
	// List returns up to limit claims whose names sort after the given name.
	List(ctx context.Context, after string, limit int) ([]StoredClaim, error)
}

// ClaimExistsError means that another claim has this name.
type ClaimExistsError struct{ Name string }

// Error implements error.
func (e *ClaimExistsError) Error() string { return "claim " + e.Name + " already exists" }

// ClaimNotFoundError means that no claim has this name.
type ClaimNotFoundError struct{ Name string }

// Error implements error.
func (e *ClaimNotFoundError) Error() string { return "claim " + e.Name + " not found" }

// ClaimConflictError means that the claim no longer has the expected version.
type ClaimConflictError struct{ Name string }

// Error implements error.
func (e *ClaimConflictError) Error() string { return "claim " + e.Name + ": version conflict" }

// ClaimUnavailableError means that the store didn't process the request.
// Nothing was written.
type ClaimUnavailableError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ClaimUnavailableError) Error() string { return "claim " + e.Name + ": store unavailable" }

// Unwrap returns the cause, if there is one.
func (e *ClaimUnavailableError) Unwrap() error { return e.Err }

// ClaimAmbiguousError means that the store's response to a write was lost. The
// write may have taken effect or may do so later.
type ClaimAmbiguousError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ClaimAmbiguousError) Error() string { return "claim " + e.Name + ": outcome of write unknown" }

// Unwrap returns the cause, if there is one.
func (e *ClaimAmbiguousError) Unwrap() error { return e.Err }

// ClaimName returns the name of the claim on key in the store. The name
// includes the service but not the profile: if an operator assigned another
// profile between two presentations, a name that includes the profile would
// allow a second claim and thus a second run.
func ClaimName(service, key string) string {
	sum := sha256.Sum256([]byte(strings.Join([]string{service, key}, "\x00")))
	return service + "." + hex.EncodeToString(sum[:])
}
