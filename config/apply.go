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
	// DefaultAttempts is how many writes Apply sends before it gives up.
	DefaultAttempts = 5

	idBase = 36
)

// applyBackoff spaces the attempts of one Apply, while an operator waits.
var applyBackoff = objects.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}

// ApplyOptions describes one change.
type ApplyOptions struct {
	// ExpectVersion is the stored version that the change was made from, 0
	// if none was stored. Any other stored version is a *RaceError.
	ExpectVersion uint64
	// Above raises the new version over what nodes already have in force.
	// It matters only after the platform lost its data: without it, nodes
	// would ignore the new Set until its version has caught up.
	Above uint64
	// ChangeID makes a repeated Apply of the same change safe. Empty means a
	// random one, which is in the Result and in every ApplyError.
	ChangeID string
	Author   string
	Comment  string
	// Now is the time that the change is recorded with.
	Now time.Time
	// Attempts bounds the writes sent; 0 means DefaultAttempts. More ride
	// out longer faults and keep the operator waiting.
	Attempts int
	// Rand is the source of change ids and jitter. Nil means a randomly
	// seeded one.
	Rand *rand.Rand
}

// Result describes a change that took effect.
type Result struct {
	ChangeID string
	// Version is what the change made.
	Version uint64
	// Current is the stored Set when the change was found to have taken
	// effect. A version above Version means that another change followed.
	Current Set
	// Settled is true if the change was found by reading back, because an
	// answer was lost or the same change was applied before.
	Settled bool
}

// Apply validates draft and makes it the next version. The version, change
// id, author, comment and time in draft are replaced.
//
// Errors: *ValidationError (refused, nothing was sent), *RaceError,
// *ChangeIDError, and *ApplyError with the fate of the change.
func Apply(ctx context.Context, store objects.Store, draft Set, opts ApplyOptions) (Result, error) {
	p, err := newPublication(store, draft, opts)
	if err != nil {
		return Result{}, err
	}
	document, object, err := load(ctx, store)
	if err != nil {
		return Result{}, p.failed(FateNotApplied, err)
	}
	if result, found, err := p.find(document); found {
		return result, err
	}
	if document.Set.Version != opts.ExpectVersion {
		return Result{}, p.race(document)
	}
	return p.write(ctx, document, object)
}

// Rollback makes the content of an earlier version the next version. Versions
// only go up, so nodes take it like any other change. It returns what Apply
// returns, or a *NoVersionError.
func Rollback(ctx context.Context, store objects.Store, toVersion uint64, opts ApplyOptions) (Result, error) {
	document, err := Read(ctx, store)
	if err != nil {
		return Result{}, &ApplyError{ChangeID: opts.ChangeID, Fate: FateNotApplied, Cause: err}
	}
	set, err := document.At(toVersion)
	if err != nil {
		// The version may have left the history since this change took effect.
		if change, done := document.change(opts.ChangeID); done {
			return settled(change, document), nil
		}
		return Result{}, err
	}
	if opts.Comment == "" {
		opts.Comment = "rollback to version " + strconv.FormatUint(toVersion, 10)
	}
	return Apply(ctx, store, set, opts)
}

// publication is one change on its way to the platform.
type publication struct {
	store   objects.Store
	opts    ApplyOptions
	mine    Set
	content string
}

func newPublication(store objects.Store, draft Set, opts ApplyOptions) (*publication, error) {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.ChangeID == "" {
		opts.ChangeID = strconv.FormatUint(opts.Rand.Uint64(), idBase) + "-" + strconv.FormatUint(opts.Rand.Uint64(), idBase)
	}
	if opts.Attempts <= 0 {
		opts.Attempts = DefaultAttempts
	}
	mine := draft.clone()
	mine.Version = max(opts.ExpectVersion, opts.Above) + 1
	mine.ChangeID = opts.ChangeID
	mine.Author = opts.Author
	mine.Comment = opts.Comment
	mine.At = opts.Now.UTC().Round(0)
	if err := Validate(mine); err != nil {
		return nil, err
	}
	content, err := mine.ContentHash()
	return &publication{store: store, opts: opts, mine: mine, content: content}, err
}

func (p *publication) failed(fate Fate, cause error) error {
	return &ApplyError{ChangeID: p.opts.ChangeID, Fate: fate, Cause: cause}
}

func (p *publication) race(theirs Document) error {
	return &RaceError{
		Expected:  p.opts.ExpectVersion,
		Mine:      p.mine,
		Theirs:    theirs.Set,
		Forgotten: !theirs.recordsAfter(p.opts.ExpectVersion),
	}
}

// find looks for this change among those that took effect. Looking only at
// the Set in force would miss a change that another one followed at once, and
// its operator would apply it over theirs a second time.
func (p *publication) find(document Document) (result Result, found bool, err error) {
	change, found := document.change(p.opts.ChangeID)
	if !found {
		return Result{}, false, nil
	}
	if change.Content != p.content {
		return Result{}, true, &ChangeIDError{ChangeID: change.ChangeID, Version: change.Version}
	}
	return settled(change, document), true, nil
}

func settled(change Change, document Document) Result {
	return Result{ChangeID: change.ChangeID, Version: change.Version, Current: document.Set, Settled: true}
}

// write sends the same conditional write until its fate is known.
//
// Failure: an answer is lost, and the write took effect, or still will, or
// never. Symptom: a blind second write doubles the change, and giving up may
// report a change as failed that is in force. Every attempt is conditional on
// the one object version that was read, so at most one of them can take
// effect, and a conflict shows the Document that tells whether one did.
func (p *publication) write(ctx context.Context, base Document, object objects.Object) (Result, error) {
	_, value, err := base.followedBy(p.mine, p.content)
	if err != nil {
		return Result{}, p.failed(FateNotApplied, err)
	}
	object.Value = value
	fate := FateNotApplied
	for attempt := 0; ; attempt++ {
		err = p.put(ctx, object)
		if err == nil {
			return Result{ChangeID: p.mine.ChangeID, Version: p.mine.Version, Current: p.mine}, nil
		}
		if conflict := (*objects.ConflictError)(nil); errors.As(err, &conflict) {
			return p.settle(conflict.Current, fate)
		}
		if ambiguous := (*objects.AmbiguousError)(nil); errors.As(err, &ambiguous) {
			fate = FateUnknown
		}
		if attempt+1 >= p.opts.Attempts || !applyBackoff.Wait(ctx, attempt, p.opts.Rand) {
			return Result{}, p.failed(fate, err)
		}
	}
}

func (p *publication) put(ctx context.Context, object objects.Object) error {
	var err error
	if object.Version == 0 {
		_, err = p.store.Create(ctx, object.Kind, object.Name, object.Value)
	} else {
		_, err = p.store.Update(ctx, object)
	}
	return err
}

// settle decides by the Document that won. The object has moved on from the
// version that all attempts were conditional on, so an attempt that is not in
// the Document can't take effect any more.
func (p *publication) settle(current objects.Object, fate Fate) (Result, error) {
	document, err := DecodeDocument(current.Value)
	if err != nil {
		return Result{}, p.failed(fate, err)
	}
	if result, found, err := p.find(document); found {
		return result, err
	}
	if fate == FateUnknown && !document.recordsAfter(p.opts.ExpectVersion) {
		return Result{}, p.failed(FateUnknown, p.race(document))
	}
	return Result{}, p.race(document)
}
