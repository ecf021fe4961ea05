package incarnation

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"pollengauge.dev/objects"
)

// Kind is the kind of the platform objects that hold departures.
const Kind = "pollengauge-departures"

// Log stores the departures of the upstream beside one node in one object of the platform.
// Its methods may be called concurrently.
type Log struct {
	store objects.Store
	name  string

	mu sync.Mutex
	// object is the object as last read or written, and exists whether there is one. Both
	// hold only while read is set.
	object objects.Object
	exists bool
	read   bool
}

// NewLog returns the log of the node at an address, which is the same for each of its
// processes.
func NewLog(store objects.Store, addr string) *Log {
	return &Log{store: store, name: "vm-" + strings.Map(nameRune, addr)}
}

// nameRune replaces the characters of an address that the name of an object can't have. The
// name must also start with a letter or a digit.
func nameRune(r rune) rune {
	if strings.ContainsRune("[]%/", r) {
		return '_'
	}
	return r
}

// Load reads the stored departures that still bind. The error is one of the package objects.
func (l *Log) Load(ctx context.Context, now time.Time) ([]Departure, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(ctx, now)
}

func (l *Log) load(ctx context.Context, now time.Time) ([]Departure, error) {
	object, err := l.store.Get(ctx, Kind, l.name)
	var absent *objects.NotFoundError
	if errors.As(err, &absent) {
		l.object, l.exists, l.read = objects.Object{}, false, true
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	l.object, l.exists, l.read = object, true, true
	return decode(object.Value, now), nil
}

// Forget makes the next call read the object again. It is needed after the platform has been
// restored to an earlier state.
func (l *Log) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read = false
}

// Store adds departures to the stored ones. It has taken effect only if it returns nil; the
// error is one of the package objects, and the call may then be repeated.
func (l *Log) Store(ctx context.Context, departures []Departure, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.read {
		if _, err := l.load(ctx, now); err != nil {
			return err
		}
	}
	stored := decode(l.object.Value, now)
	all := merge(stored, departures)
	if l.exists && slices.Equal(stored, all) {
		return nil
	}
	value, err := encode(all)
	if err != nil {
		return err
	}
	return l.write(ctx, value)
}

// write writes the object. After a failure the object has to be read again: the write may
// have taken effect, or another one has.
func (l *Log) write(ctx context.Context, value []byte) error {
	var written objects.Object
	var err error
	if l.exists {
		next := l.object
		next.Value = value
		written, err = l.store.Update(ctx, next)
	} else {
		written, err = l.store.Create(ctx, Kind, l.name, value)
	}
	if err != nil {
		l.read = false
		return err
	}
	written.Value = bytes.Clone(value)
	l.object, l.exists = written, true
	return nil
}
