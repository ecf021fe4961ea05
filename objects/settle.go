package objects

import (
	"context"
	"errors"
)

// maxLostRaces is the number of lost races after which UpdateSettled returns the
// next conflict to its caller. Another writer wins each race that UpdateSettled
// loses, so more losses mean that far too many writers change the same object.
const maxLostRaces = 16

// UpdateSettled changes one object with conditional writes. If the response to a
// write is lost, it reads the object back to find out whether the write took
// effect, so that the change is never applied twice.
//
// mutate receives the stored object (Version 0 if there is none) and returns the
// new value. It may be called again after a lost race and must not have side
// effects. isMine reports whether an object already contains this change, for
// example by looking for a change ID in the value.
//
// If the platform is down after an ambiguous write, UpdateSettled retries the
// read until ctx is done and then returns the *AmbiguousError. It also returns
// the *AmbiguousError if another writer has replaced the object before it could
// be read back, because the object then no longer shows whether the change had
// been applied. An object that UpdateSettled may create must not be deleted
// while it runs.
func UpdateSettled(ctx context.Context, store Store, kind, name string, mutate func(Object) ([]byte, error), isMine func(Object) bool) (Object, error) {
	s := settler{ctx: ctx, store: store, kind: kind, name: name}
	current, err := s.read()
	if err != nil {
		return Object{}, err
	}
	for races := 0; ; races++ {
		if current.Version > 0 && isMine(current) {
			return current, nil
		}
		value, err := mutate(current)
		if err != nil {
			return Object{}, err
		}
		written, err := s.write(current, value, isMine)
		conflict, lost := err.(*ConflictError)
		if !lost || races == maxLostRaces {
			return written, err
		}
		current = conflict.Current
	}
}

type settler struct {
	ctx   context.Context
	store Store
	kind  string
	name  string
}

// read returns the stored object, or one with Version 0 if there is none.
func (s *settler) read() (Object, error) {
	o, err := s.store.Get(s.ctx, s.kind, s.name)
	if missing := (*NotFoundError)(nil); errors.As(err, &missing) {
		return Object{Kind: s.kind, Name: s.name}, nil
	}
	return o, err
}

func (s *settler) put(base Object, value []byte) (Object, error) {
	if base.Version == 0 {
		return s.store.Create(s.ctx, s.kind, s.name, value)
	}
	base.Value = value
	return s.store.Update(s.ctx, base)
}

// write replaces base with value, and reads the object back if the outcome is
// ambiguous. If the stored object is still base, write sends the value again with
// the same expected version: should the first write arrive late, only one of the
// two can find that version and take effect.
func (s *settler) write(base Object, value []byte, isMine func(Object) bool) (Object, error) {
	rnd := newRand()
	var ambiguous *AmbiguousError
	for attempt := 0; ; attempt++ {
		written, err := s.put(base, value)
		if err == nil {
			return written, nil
		}
		if latest, ok := err.(*AmbiguousError); ok {
			ambiguous = latest
		}
		if ambiguous == nil {
			return Object{}, err
		}
		Pause(s.ctx, requestedDelay(err)+Backoff{}.Delay(attempt, rnd))
		current, err := s.readBack(ambiguous)
		if err != nil {
			return Object{}, err
		}
		if current.Version > 0 && isMine(current) {
			return current, nil
		}
		if current.Version != base.Version {
			return Object{}, ambiguous
		}
	}
}

// readBack retries reading the object until the platform responds. It returns
// ambiguous once ctx is done.
func (s *settler) readBack(ambiguous *AmbiguousError) (Object, error) {
	rnd := newRand()
	for attempt := 0; ; attempt++ {
		if s.ctx.Err() != nil {
			return Object{}, ambiguous
		}
		current, err := s.read()
		if err == nil {
			return current, nil
		}
		Pause(s.ctx, requestedDelay(err)+Backoff{}.Delay(attempt, rnd))
	}
}
