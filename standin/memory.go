package standin

import (
	"context"
	"math"
	"time"

	"pollengauge.dev/objects"
)

// memoryWait is how long Memory.Watch waits for events.
const memoryWait = 30 * time.Second

var (
	_ objects.Store         = (*Memory)(nil)
	_ objects.RelaxedReader = (*Memory)(nil)
)

// LostError is the Cause of an *objects.AmbiguousError that Faults produced.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string { return "response lost by an injected fault" }

// NewMemory returns an empty Memory without rate limits.
func NewMemory() *Memory {
	return NewMemoryWith(Options{ReadRate: math.Inf(1), WriteRate: math.Inf(1)})
}

// Get implements objects.Store.
func (m *Memory) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := objects.CheckAddress(kind, name); err != nil {
		return objects.Object{}, err
	}
	if err := m.read(ctx, objects.OpGet); err != nil {
		return objects.Object{}, err
	}
	return m.load(kind, name)
}

// List implements objects.Store.
func (m *Memory) List(ctx context.Context, kind, prefix string) ([]objects.Object, uint64, error) {
	objects, revision, _, err := m.listPage(ctx, kind, prefix, "", pageLimit{objects: math.MaxInt, bytes: math.MaxInt})
	return objects, revision, err
}

// Create implements objects.Store.
func (m *Memory) Create(ctx context.Context, kind, name string, value []byte) (objects.Object, error) {
	return m.write(ctx, objects.OpCreate, objects.Object{Kind: kind, Name: name, Value: value})
}

// Update implements objects.Store.
func (m *Memory) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	if err := objects.CheckVersion(o.Version); err != nil {
		return objects.Object{}, err
	}
	return m.write(ctx, objects.OpUpdate, o)
}

// Delete implements objects.Store.
func (m *Memory) Delete(ctx context.Context, kind, name string, version uint64) error {
	if err := objects.CheckVersion(version); err != nil {
		return err
	}
	_, err := m.write(ctx, objects.OpDelete, objects.Object{Kind: kind, Name: name, Version: version})
	return err
}

// Watch implements objects.Store.
func (m *Memory) Watch(ctx context.Context, kind string, from uint64) ([]objects.Event, uint64, error) {
	return m.watch(ctx, kind, from, memoryWait)
}

func (m *Memory) listPage(ctx context.Context, kind, prefix, after string, limit pageLimit) ([]objects.Object, uint64, bool, error) {
	if err := objects.CheckKind(kind); err != nil {
		return nil, 0, false, err
	}
	if err := objects.CheckPrefix(prefix); err != nil {
		return nil, 0, false, err
	}
	if err := m.read(ctx, objects.OpList); err != nil {
		return nil, 0, false, err
	}
	objects, revision, more := m.scan(kind, prefix, after, limit)
	return objects, revision, more, nil
}

// watch makes one long poll. It returns as soon as there are events, or without
// events after wait.
func (m *Memory) watch(ctx context.Context, kind string, from uint64, wait time.Duration) ([]objects.Event, uint64, error) {
	if err := objects.CheckKind(kind); err != nil {
		return nil, from, err
	}
	if err := m.read(ctx, objects.OpWatch); err != nil {
		return nil, from, err
	}
	// The wait is at least a nanosecond, because a timer must not have expired
	// already when it is created; applyAt gives the reason.
	timer := time.NewTimer(max(wait, 1))
	defer timer.Stop()
	era := m.Era()
	for {
		events, next, changed, err := m.eventsSince(kind, from, era)
		if err != nil || len(events) > 0 {
			return events, next, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, from, &objects.UnavailableError{Op: objects.OpWatch, Cause: ctx.Err()}
		}
	}
}

// read admits a read and waits for the injected delay.
func (m *Memory) read(ctx context.Context, op objects.Op) error {
	delay, _, err := m.admit(op)
	if err != nil {
		return err
	}
	if !objects.Pause(ctx, delay) {
		return &objects.UnavailableError{Op: op, Cause: ctx.Err()}
	}
	return nil
}

// write admits a write, waits for the injected delay and applies the write. If
// the caller gives up during the delay, the write is still applied at the end of
// the delay, as on a platform that has received the request.
func (m *Memory) write(ctx context.Context, op objects.Op, o objects.Object) (objects.Object, error) {
	if err := objects.CheckAddress(o.Kind, o.Name); err != nil {
		return objects.Object{}, err
	}
	if err := objects.CheckValue(o.Value); err != nil {
		return objects.Object{}, err
	}
	if ctx.Err() != nil {
		return objects.Object{}, &objects.UnavailableError{Op: op, Cause: ctx.Err()}
	}
	delay, outcome, err := m.admit(op)
	if err != nil {
		return objects.Object{}, err
	}
	ambiguous := &objects.AmbiguousError{Op: op, Kind: o.Kind, Name: o.Name, Expected: o.Version, Cause: &LostError{}}
	if outcome == outcomeLost {
		return objects.Object{}, ambiguous
	}
	arrival := time.Now().Add(delay)
	if !objects.Pause(ctx, delay) {
		m.applyAt(arrival, op, o)
		ambiguous.Cause = ctx.Err()
		return objects.Object{}, ambiguous
	}
	written, err := m.apply(op, o)
	if outcome == outcomeDropped {
		return objects.Object{}, ambiguous
	}
	return written, err
}

// applyAt applies a write at the given time, or at once if the time has passed.
func (m *Memory) applyAt(at time.Time, op objects.Op, o objects.Object) {
	left := time.Until(at)
	if left <= 0 {
		// A timer that has already expired when it is created must be avoided:
		// under testing/synctest its function runs on the thread that created
		// it, and two such functions at once share one context of the race
		// detector, which crashes the process.
		m.apply(op, o)
		return
	}
	time.AfterFunc(left, func() { m.apply(op, o) })
}
