package objects

import (
	"context"
	"errors"
)

// maxRaces is how many lost races UpdateSettled takes before it gives the
// conflict to its caller. Each lost race is another writer's success, so a
// writer that loses this often meets far too many others on one object.
const maxRaces = 16

// UpdateSettled changes one object by conditional writes, and settles a write
// whose answer was lost by reading back, so the change is never applied twice.
//
// mutate gets the stored object (Version 0 if there is none) and returns the
// new value; it may be called again after a lost race and must not have
// effects of its own. isMine reports whether an object already holds this
// change, for example by a change id in the value.
//
// While the platform is down after an ambiguous write, UpdateSettled goes on
// reading back until ctx is done. It then returns the *AmbiguousError, as it
// does when another writer has replaced the object before it could be read
// back: nobody can tell then whether the change had been there. An object
// that UpdateSettled may create must not be deleted while it runs.
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
		if !lost || races == maxRaces {
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

// read returns the stored object, with Version 0 if there is none.
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

// write puts value over base and settles an ambiguous answer. If the stored
// object still is base, the write is sent again on the same condition: should
// the first one arrive late, only one of the two can meet that version.
func (s *settler) write(base Object, value []byte, isMine func(Object) bool) (Object, error) {
	rnd := newRand()
	var ambiguous *AmbiguousError
	for attempt := 0; ; attempt++ {
		written, err := s.put(base, value)
		if err == nil {
			return written, nil
		}
		if unsettled, ok := err.(*AmbiguousError); ok {
			ambiguous = unsettled
		}
		if ambiguous == nil {
			return Object{}, err
		}
		Pause(s.ctx, askedDelay(err)+Backoff{}.Delay(attempt, rnd))
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

// readBack reads until the platform answers or ctx is done.
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
		Pause(s.ctx, askedDelay(err)+Backoff{}.Delay(attempt, rnd))
	}
}
