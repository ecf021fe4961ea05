package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"pollengauge.dev/objects"
)

const (
	// DefaultAttempts is the default number of writes that Apply sends before it
	// gives up.
	DefaultAttempts = 5

	changeIDBase = 36
)

// applyBackoff is the delay between attempts of one Apply. It is short because an
// operator waits for the result.
var applyBackoff = objects.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}

// ApplyOptions describes one change to the configuration.
type ApplyOptions struct {
	// ExpectVersion is the stored version that the change is based on, 0 if none is
	// stored. If the stored version differs, Apply returns a *RaceError.
	ExpectVersion uint64
	// HighestActiveVersion is the highest version that is known to be active on nodes;
	// the new version is higher. It is needed only after the platform lost its data:
	// otherwise nodes would ignore new Sets until the stored version exceeds theirs.
	HighestActiveVersion uint64
	// ChangeID makes a repeated Apply of the same change idempotent. If empty, a
	// random id is generated and returned in Result or ApplyError.
	ChangeID string
	Author   string
	Comment  string
	// Now is the time recorded with the change.
	Now time.Time
	// Attempts limits the number of writes; 0 means DefaultAttempts. More attempts
	// survive longer outages but make the operator wait longer.
	Attempts int
	// Rand is the source of change ids and backoff jitter. Nil means a randomly
	// seeded source.
	Rand *rand.Rand
}

// Result describes a change that took effect.
type Result struct {
	ChangeID string
	// Version is the version that the change created.
	Version uint64
	// Current is the stored Set at the time the change was confirmed. If its
	// version is higher than Version, another change has followed.
	Current Set
	// FoundInHistory is true if the change was found in the stored Document, because the
	// response to the write was lost or the same change had been applied before.
	FoundInHistory bool
}

// Apply validates draft and stores it as the next version. It replaces the version,
// change id, author, comment and time in draft.
//
// It returns a *ValidationError if draft is invalid (nothing was sent), a
// *RaceError, a *ChangeIDError, or an *ApplyError, which states whether the change
// may have taken effect.
func Apply(ctx context.Context, store objects.Store, draft Set, opts ApplyOptions) (Result, error) {
	p, err := newPendingChange(store, draft, opts)
	if err != nil {
		return Result{}, err
	}
	document, object, err := load(ctx, store)
	if err != nil {
		return Result{}, p.applyError(FateNotApplied, err)
	}
	if result, found, err := p.findRecorded(document); found {
		return result, err
	}
	if document.Set.Version != opts.ExpectVersion {
		return Result{}, p.raceError(document)
	}
	return p.writeWithRetries(ctx, document, object)
}

// Rollback stores the content of an earlier version as the next version, so that
// nodes, which accept only higher versions, accept it like any other change. It
// returns the same results and errors as Apply, and a *NoVersionError if toVersion
// is not stored.
func Rollback(ctx context.Context, store objects.Store, toVersion uint64, opts ApplyOptions) (Result, error) {
	document, err := Read(ctx, store)
	if err != nil {
		return Result{}, &ApplyError{ChangeID: opts.ChangeID, Fate: FateNotApplied, Cause: err}
	}
	set, err := document.Lookup(toVersion)
	if err != nil {
		// A repeated Rollback must find its own change even if later changes have
		// pushed toVersion out of the history.
		if change, done := document.findChange(opts.ChangeID); done {
			return recordedResult(change, document), nil
		}
		return Result{}, err
	}
	if opts.Comment == "" {
		opts.Comment = "rollback to version " + strconv.FormatUint(toVersion, 10)
	}
	return Apply(ctx, store, set, opts)
}

// pendingChange is a change that Apply is writing to the platform.
type pendingChange struct {
	store   objects.Store
	opts    ApplyOptions
	set     Set
	content string
}

func newPendingChange(store objects.Store, draft Set, opts ApplyOptions) (*pendingChange, error) {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.ChangeID == "" {
		opts.ChangeID = strconv.FormatUint(opts.Rand.Uint64(), changeIDBase) + "-" + strconv.FormatUint(opts.Rand.Uint64(), changeIDBase)
	}
	if opts.Attempts <= 0 {
		opts.Attempts = DefaultAttempts
	}
	set := draft.clone()
	set.Version = max(opts.ExpectVersion, opts.HighestActiveVersion) + 1
	set.ChangeID = opts.ChangeID
	set.Author = opts.Author
	set.Comment = opts.Comment
	set.At = opts.Now.UTC().Round(0)
	if err := Validate(set); err != nil {
		return nil, err
	}
	content, err := set.ContentHash()
	return &pendingChange{store: store, opts: opts, set: set, content: content}, err
}

func (p *pendingChange) applyError(fate Fate, cause error) error {
	return &ApplyError{ChangeID: p.opts.ChangeID, Fate: fate, Cause: cause}
}

func (p *pendingChange) raceError(stored Document) error {
	return &RaceError{
		Expected:           p.opts.ExpectVersion,
		Mine:               p.set,
		Theirs:             stored.Set,
		RecordMayBeDropped: !stored.recordsAllAfter(p.opts.ExpectVersion),
	}
}

// findRecorded looks up this change in the recorded changes. Comparing only with the
// current Set would miss a change that was immediately followed by another one, and
// the operator would then apply it a second time and overwrite the other.
func (p *pendingChange) findRecorded(document Document) (result Result, found bool, err error) {
	change, found := document.findChange(p.opts.ChangeID)
	if !found {
		return Result{}, false, nil
	}
	if change.Content != p.content {
		return Result{}, true, &ChangeIDError{ChangeID: change.ChangeID, Version: change.Version}
	}
	return recordedResult(change, document), true, nil
}

func recordedResult(change Change, document Document) Result {
	return Result{ChangeID: change.ChangeID, Version: change.Version, Current: document.Set, FoundInHistory: true}
}

// writeWithRetries repeats one conditional write until it is known whether it took
// effect or the attempts are used up.
//
// When a response is lost, the write may have taken effect, may still do so, or may
// never do so. An unconditional second write could apply the change twice, and
// giving up could report an active change as failed. Every attempt is therefore
// conditional on the same object version, so at most one can take effect, and a
// conflict returns the Document that shows whether one did.
func (p *pendingChange) writeWithRetries(ctx context.Context, base Document, object objects.Object) (Result, error) {
	_, value, err := base.withNextSet(p.set, p.content)
	if err != nil {
		return Result{}, p.applyError(FateNotApplied, err)
	}
	object.Value = value
	fate := FateNotApplied
	for attempt := 0; ; attempt++ {
		err = p.createOrUpdate(ctx, object)
		if err == nil {
			return Result{ChangeID: p.set.ChangeID, Version: p.set.Version, Current: p.set}, nil
		}
		if conflict := (*objects.ConflictError)(nil); errors.As(err, &conflict) {
			return p.resolveConflict(conflict.Current, fate)
		}
		if ambiguous := (*objects.AmbiguousError)(nil); errors.As(err, &ambiguous) {
			fate = FateUnknown
		}
		if attempt+1 >= p.opts.Attempts || !applyBackoff.Wait(ctx, attempt, p.opts.Rand) {
			return Result{}, p.applyError(fate, err)
		}
	}
}

func (p *pendingChange) createOrUpdate(ctx context.Context, object objects.Object) error {
	var err error
	if object.Version == 0 {
		_, err = p.store.Create(ctx, object.Kind, object.Name, object.Value)
	} else {
		_, err = p.store.Update(ctx, object)
	}
	return err
}

// resolveConflict determines the outcome from the Document that caused a conflict.
// The object is no longer at the version that all attempts were conditional on, so
// a change that is missing from the Document can't take effect any more.
func (p *pendingChange) resolveConflict(current objects.Object, fate Fate) (Result, error) {
	document, err := DecodeDocument(current.Value)
	if err != nil {
		return Result{}, p.applyError(fate, err)
	}
	if result, found, err := p.findRecorded(document); found {
		return result, err
	}
	if fate == FateUnknown && !document.recordsAllAfter(p.opts.ExpectVersion) {
		return Result{}, p.applyError(FateUnknown, p.raceError(document))
	}
	return Result{}, p.raceError(document)
}
