package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// slowPlatform is the duration from which a platform call counts as slow. A watch waits
// on purpose and never counts as slow.
const slowPlatform = time.Second

// observedStore passes calls through to the platform, counts them and logs when the
// platform becomes unavailable, available or slow.
type observedStore struct {
	objects.Store
	metrics *observe.Metrics
	log     *observe.Logger
	down    atomic.Bool
	// era is the latest era that was noted, and restored is called when it rises.
	era      atomic.Uint64
	restored func()
}

// Era implements objects.EraReporter.
func (s *observedStore) Era() uint64 { return objects.EraOf(s.Store) }

// noteEra notes that the store has been restored since the previous call.
func (s *observedStore) noteEra() {
	era := s.Era()
	before := s.era.Load()
	if era <= before || !s.era.CompareAndSwap(before, era) || before == 0 {
		return
	}
	s.log.Emit(observe.PlatformRestored, observe.Int64("era", int64(era)), observe.Int64("before", int64(before)))
	s.restored()
}

// note counts one call and logs changes of the platform's health.
func (s *observedStore) note(op objects.Op, start time.Time, err error) {
	took := time.Since(start)
	s.noteEra()
	s.metrics.PlatformCalls.With(string(op), platformResult(err)).Inc(1)
	if op != objects.OpWatch {
		s.metrics.PlatformTime.With(string(op)).Observe(took)
	}
	var unavailable *objects.UnavailableError
	var overBudget *objects.RateError
	var ambiguous *objects.AmbiguousError
	switch {
	case errors.As(err, &unavailable) && !errors.Is(err, context.Canceled):
		if !s.down.Swap(true) {
			s.log.Emit(observe.PlatformDown, observe.Err(err))
		}
		return
	case errors.As(err, &overBudget):
		s.log.Emit(observe.PlatformOverBudget, observe.Err(err))
		return
	case errors.As(err, &ambiguous):
		s.log.Emit(observe.PlatformAmbiguous, observe.Err(err))
		return
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return
	}
	if s.down.Swap(false) {
		s.log.Emit(observe.PlatformUp)
	}
	if op != objects.OpWatch && took > slowPlatform {
		s.log.Emit(observe.PlatformSlow, observe.Str("op", string(op)), observe.Dur("took", took))
	}
}

// platformResult returns the metric label for the result of a platform call.
func platformResult(err error) string {
	var (
		conflict    *objects.ConflictError
		missing     *objects.NotFoundError
		unavailable *objects.UnavailableError
		ambiguous   *objects.AmbiguousError
		overBudget  *objects.RateError
	)
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &missing):
		return "not-found"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &ambiguous):
		return "ambiguous"
	case errors.As(err, &overBudget):
		return "over-budget"
	default:
		return "other"
	}
}

// Get implements objects.Store.
func (s *observedStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	start := time.Now()
	o, err := s.Store.Get(ctx, kind, name)
	s.note(objects.OpGet, start, err)
	return o, err
}

// List implements objects.Store.
func (s *observedStore) List(ctx context.Context, kind, prefix string) ([]objects.Object, uint64, error) {
	start := time.Now()
	found, revision, err := s.Store.List(ctx, kind, prefix)
	s.note(objects.OpList, start, err)
	return found, revision, err
}

// Labels of relaxed reads, which the platform charges at a lower price.
const (
	opRelaxedGet  objects.Op = "relaxed-get"
	opRelaxedList objects.Op = "relaxed-list"
)

// GetRelaxed implements objects.RelaxedReader.
func (s *observedStore) GetRelaxed(ctx context.Context, kind, name string) (objects.Object, error) {
	start := time.Now()
	o, err := objects.GetRelaxed(ctx, s.Store, kind, name)
	s.note(opRelaxedGet, start, err)
	return o, err
}

// ListRelaxed implements objects.RelaxedReader.
func (s *observedStore) ListRelaxed(ctx context.Context, kind, prefix string) ([]objects.Object, error) {
	start := time.Now()
	found, err := objects.ListRelaxed(ctx, s.Store, kind, prefix)
	s.note(opRelaxedList, start, err)
	return found, err
}

// Create implements objects.Store.
func (s *observedStore) Create(ctx context.Context, kind, name string, value []byte) (objects.Object, error) {
	start := time.Now()
	o, err := s.Store.Create(ctx, kind, name, value)
	s.note(objects.OpCreate, start, err)
	return o, err
}

// Update implements objects.Store.
func (s *observedStore) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	start := time.Now()
	written, err := s.Store.Update(ctx, o)
	s.note(objects.OpUpdate, start, err)
	return written, err
}

// Delete implements objects.Store.
func (s *observedStore) Delete(ctx context.Context, kind, name string, version uint64) error {
	start := time.Now()
	err := s.Store.Delete(ctx, kind, name, version)
	s.note(objects.OpDelete, start, err)
	return err
}

// Watch implements objects.Store.
func (s *observedStore) Watch(ctx context.Context, kind string, from uint64) ([]objects.Event, uint64, error) {
	start := time.Now()
	events, next, err := s.Store.Watch(ctx, kind, from)
	s.note(objects.OpWatch, start, err)
	return events, next, err
}
