package objects

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// DefaultSpread is the default of Watcher.Spread. With it, 560 watchers make about
// 1,100 calls a second after an event, which leaves about half of the platform's
// read rate to others.
const DefaultSpread = 500 * time.Millisecond

// Watcher notifies a handler of changes to all objects of one kind. It lists the
// objects and watches from the list's revision. It lists again when the platform
// no longer has the following events, when these exceed the size limit of a
// response, when a watch got no response, or when the store has been restored. Run may
// be called once.
//
// The handler runs on Run's goroutine, one event at a time. For each object it
// receives ascending revisions only, even if events are delivered twice, late or
// out of order, until the store is restored from a copy: it then receives all objects
// anew, with the revisions that the restored store gives them, and the deletions of those
// that are gone. It may miss intermediate versions but never the last one. After an outage
// it receives the changes made in the meantime, including deletions.
type Watcher struct {
	Store  Store
	Kind   string
	Handle func(Event)
	// OnSync, if set, is called after each list with the list's revision. Before
	// the first call of OnSync the handler has received every object that
	// existed at the start.
	OnSync func(revision uint64)
	// OnError, if set, is called with the error of each failed call before the
	// retry.
	OnError func(error)
	// Backoff computes the delays between retries.
	Backoff Backoff
	// Spread is the maximum of the random delay before the next watch. An event
	// ends all waiting watches at once. A longer delay flattens the burst of new
	// watches; a shorter delay lets the watcher receive the next change sooner.
	// Zero means DefaultSpread, a negative value means no delay.
	Spread time.Duration
	// Rand is the source of jitter, used only by Run's goroutine. Nil means a
	// randomly seeded source.
	Rand *rand.Rand
}

// RunWatch runs a Watcher with default settings until ctx is done.
func RunWatch(ctx context.Context, store Store, kind string, handle func(Event)) {
	w := &Watcher{Store: store, Kind: kind, Handle: handle}
	w.Run(ctx)
}

// Run lists and watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	r := &watchRun{Watcher: w, view: newView(), rand: w.Rand}
	if r.rand == nil {
		r.rand = newRand()
	}
	for ctx.Err() == nil {
		Pause(ctx, r.step(ctx))
	}
}

// watchRun is the state of one Run.
type watchRun struct {
	*Watcher
	view     *view
	rand     *rand.Rand
	listed   bool
	from     uint64
	failures int
	// era is the store's era as of the last list. Revisions of other eras can't be
	// compared with those of the view.
	era uint64
}

// step makes one call and returns the delay before the next one.
func (r *watchRun) step(ctx context.Context) time.Duration {
	if !r.listed {
		return r.delayAfter(ctx, r.list(ctx))
	}
	err := r.poll(ctx)
	if EraOf(r.Store) != r.era {
		r.listed = false
	}
	if err != nil {
		return r.delayAfter(ctx, err)
	}
	if !r.listed {
		return 0
	}
	// Only a successful watch resets the number of failures. If a list did so
	// too, a watcher would list again and again with hardly any delay on a
	// platform whose event history does not reach from a list to the next watch.
	r.failures = 0
	if r.view.hasTooManyTombstones() {
		r.listed = false
	}
	return r.spreadDelay()
}

func (r *watchRun) list(ctx context.Context) error {
	before := EraOf(r.Store)
	objects, revision, err := r.Store.List(ctx, r.Kind, "")
	if err != nil {
		return err
	}
	era := EraOf(r.Store)
	if before != 0 && before != era {
		// The pages of the list may be from before and after the restore.
		return &EraError{Era: before, Known: era}
	}
	if era != r.era {
		r.era = era
		r.view.forgetRevisions()
	}
	changes, err := r.view.replace(r.Kind, objects, revision)
	if err != nil {
		return err
	}
	for _, event := range changes {
		r.Handle(event)
	}
	r.listed = true
	r.from = revision
	if r.OnSync != nil {
		r.OnSync(revision)
	}
	return nil
}

func (r *watchRun) poll(ctx context.Context) error {
	events, next, err := r.Store.Watch(ctx, r.Kind, r.from)
	if err != nil {
		return err
	}
	for _, event := range events {
		if r.view.recordIfNew(event) {
			r.Handle(event)
		}
	}
	r.view.advance(next)
	r.from = next
	return nil
}

// delayAfter returns the delay after a list or a failed call, and decides whether
// the next call is a list.
func (r *watchRun) delayAfter(ctx context.Context, err error) time.Duration {
	if err == nil || ctx.Err() != nil {
		return 0
	}
	// If the events after a revision are compacted or too large for one response,
	// another watch from that revision fails in the same way, while a list
	// contains only the latest state of each object. The watcher also lists after
	// a watch without a response, because the next watch may get none either.
	if errors.As(err, new(*CompactedError)) || errors.As(err, new(*TooLargeError)) || errors.As(err, new(*UnavailableError)) {
		r.listed = false
	}
	if r.OnError != nil {
		r.OnError(err)
	}
	delay := requestedDelay(err) + r.Backoff.Delay(r.failures, r.rand)
	r.failures++
	return delay
}

func (r *watchRun) spreadDelay() time.Duration {
	limit := r.Spread
	if limit == 0 {
		limit = DefaultSpread
	}
	if limit < 0 {
		return 0
	}
	return time.Duration(r.rand.Int64N(int64(limit) + 1))
}

// requestedDelay returns the minimum delay that an error requests before a retry.
func requestedDelay(err error) time.Duration {
	switch e := err.(type) {
	case *UnavailableError:
		return e.RetryAfter
	case *RateError:
		return e.RetryAfter
	}
	return 0
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
