package objects

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// DefaultSpread spreads 560 watchers over about 1,100 calls a second after an
// event, which leaves the platform about half of its reads.
const DefaultSpread = 500 * time.Millisecond

// Watcher keeps a handler told of all objects of one kind: it lists, watches
// from the list's revision, and lists again when the platform no longer has
// the events, or has more than one answer holds. Run may be called once.
//
// The handler runs on Run's goroutine, one event at a time. For each object
// it sees ascending revisions only, whatever is delivered twice, late or out
// of order; it may miss versions in between, never the last one. After an
// outage it is told of what changed meanwhile, deletions included.
type Watcher struct {
	Store  Store
	Kind   string
	Handle func(Event)
	// OnSync, if set, is called after each list with its revision. After the
	// first call the handler knows every object that existed at the start.
	OnSync func(revision uint64)
	// OnError, if set, is told of each failed call before the retry.
	OnError func(error)
	// Backoff spaces retries.
	Backoff Backoff
	// Spread is the longest random pause before watching again. An event
	// answers all waiting watches at once; longer flattens the burst in
	// which they come back, shorter makes the next change seen sooner. Zero
	// means DefaultSpread, negative none.
	Spread time.Duration
	// Rand is the source of jitter, used by Run's goroutine alone. Nil means
	// a randomly seeded one.
	Rand *rand.Rand
}

// RunWatch runs a Watcher with defaults until ctx is done.
func RunWatch(ctx context.Context, store Store, kind string, handle func(Event)) {
	w := &Watcher{Store: store, Kind: kind, Handle: handle}
	w.Run(ctx)
}

// Run returns when ctx is done.
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
}

// step makes one call and returns how long to wait before the next.
func (r *watchRun) step(ctx context.Context) time.Duration {
	if !r.listed {
		return r.after(ctx, r.list(ctx))
	}
	err := r.poll(ctx)
	if err != nil {
		return r.after(ctx, err)
	}
	// Only a good watch ends a row of failures: a platform whose history is
	// shorter than one round would otherwise be listed without pause.
	r.failures = 0
	if r.view.overTombstones() {
		r.listed = false
	}
	return r.spread()
}

func (r *watchRun) list(ctx context.Context) error {
	objects, revision, err := r.Store.List(ctx, r.Kind, "")
	if err != nil {
		return err
	}
	news, err := r.view.replace(r.Kind, objects, revision)
	if err != nil {
		return err
	}
	for _, event := range news {
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
		if r.view.accept(event) {
			r.Handle(event)
		}
	}
	r.view.advance(next)
	r.from = next
	return nil
}

// after returns the wait after a list or a failed call.
func (r *watchRun) after(ctx context.Context, err error) time.Duration {
	if err == nil || ctx.Err() != nil {
		return 0
	}
	// Events that are gone, or too many for one answer, are so at each try from the
	// same revision. A list has the newest state of each object alone. It is made
	// after a watch without an answer as well: the next one may hear as little.
	if errors.As(err, new(*CompactedError)) || errors.As(err, new(*TooLargeError)) || errors.As(err, new(*UnavailableError)) {
		r.listed = false
	}
	if r.OnError != nil {
		r.OnError(err)
	}
	delay := askedDelay(err) + r.Backoff.Delay(r.failures, r.rand)
	r.failures++
	return delay
}

func (r *watchRun) spread() time.Duration {
	limit := r.Spread
	if limit == 0 {
		limit = DefaultSpread
	}
	if limit < 0 {
		return 0
	}
	return time.Duration(r.rand.Int64N(int64(limit) + 1))
}

// askedDelay is how long an error asks to wait at least.
func askedDelay(err error) time.Duration {
	switch e := err.(type) {
	case *UnavailableError:
		return e.RetryAfter
	case *RateError:
		return e.RetryAfter
	}
	return 0
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
