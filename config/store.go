package config

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
)

// Source names where a Set came from.
type Source string

// The values of Source.
const (
	SourceDefault  Source = "default"
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Status describes the active Set of a Store.
type Status struct {
	Version  uint64
	ChangeID string
	Hash     string
	Source   Source
	// HasStoredSet reports whether a stored Set was received. While it is false, the
	// embedded default is active.
	HasStoredSet bool
}

// Store holds the active Set of one node. The version of the active Set never
// decreases.
type Store struct {
	current atomic.Pointer[activeSet]
	// newestKnown is the highest version recently known to exist, nil if none was
	// reported.
	newestKnown atomic.Pointer[knownVersion]

	// mu is held while a Set is activated and subscribers are notified, so that
	// each subscriber sees every version once and in order.
	mu          sync.Mutex
	subscribers []*subscriber
}

// activeSet is a Set that the Store accepted. It is immutable once stored.
type activeSet struct {
	compiled *Compiled
	encoded  []byte
	source   Source
}

type subscriber struct {
	notify func(*Compiled)
}

// NewStore returns a Store in which the embedded default is active.
func NewStore() *Store {
	set := Default()
	encoded, err := Encode(set)
	if err != nil {
		panic(err) // Default returns a Set that it has validated.
	}
	s := &Store{}
	s.current.Store(&activeSet{compiled: compile(set, encoded), encoded: encoded, source: SourceDefault})
	return s
}

// Current returns the active Set. It never returns nil and takes no lock.
func (s *Store) Current() *Compiled { return s.current.Load().compiled }

// Encoded returns the active version and its encoding, which other nodes pass to
// Offer. Callers must not modify the bytes.
func (s *Store) Encoded() (version uint64, data []byte) {
	active := s.current.Load()
	return active.compiled.Version(), active.encoded
}

// Status returns the active version and its source.
func (s *Store) Status() Status {
	active := s.current.Load()
	return Status{
		Version:      active.compiled.Version(),
		ChangeID:     active.compiled.set.ChangeID,
		Hash:         active.compiled.hash,
		Source:       active.source,
		HasStoredSet: active.source != SourceDefault,
	}
}

// Offer activates an encoded Set if it is valid and its version is higher than the
// active one, and reports whether it did. It ignores lower versions and repeats of
// the active Set without an error, because gossip repeats and reorders messages.
// Other content under the active version is a *ForkError; invalid data is an
// *EncodingError or *ValidationError.
func (s *Store) Offer(data []byte, source Source) (bool, error) {
	if bytes.Equal(data, s.current.Load().encoded) {
		return false, nil
	}
	set, err := Decode(data)
	if err != nil {
		return false, err
	}
	next := &activeSet{compiled: compile(set, data), encoded: bytes.Clone(data), source: source}
	return s.install(next)
}

// OfferSet is Offer for a Set that is not encoded yet.
func (s *Store) OfferSet(set Set, source Source) (bool, error) {
	data, err := Encode(set)
	if err != nil {
		return false, err
	}
	if bytes.Equal(data, s.current.Load().encoded) {
		return false, nil
	}
	return s.install(&activeSet{compiled: compile(set, data), encoded: data, source: source})
}

// install compares versions and replaces the active Set under one lock.
//
// Without the lock, two concurrent Offers of versions 4 and 5 could both read
// version 3 as active, and if version 4 was stored last the node would fall back
// from 5 to 4.
func (s *Store) install(next *activeSet) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := s.current.Load()
	if next.compiled.Version() < active.compiled.Version() {
		return false, nil
	}
	if next.compiled.Version() == active.compiled.Version() && !replacesDefault(active, next) {
		return false, forkError(active, next)
	}
	s.current.Store(next)
	for _, sub := range s.subscribers {
		sub.notify(next.compiled)
	}
	return true, nil
}

// replacesDefault reports whether next is a version 0 stored on the platform that
// replaces the embedded default.
func replacesDefault(active, next *activeSet) bool {
	return active.source == SourceDefault && next.source == SourcePlatform
}

func forkError(active, next *activeSet) error {
	// Version 0 is the embedded default, which may differ between builds.
	if active.compiled.hash == next.compiled.hash || active.compiled.Version() == 0 {
		return nil
	}
	return &ForkError{
		Version:       active.compiled.Version(),
		ActiveHash:    active.compiled.hash,
		ActiveChange:  active.compiled.set.ChangeID,
		OfferedHash:   next.compiled.hash,
		OfferedChange: next.compiled.set.ChangeID,
		Source:        next.source,
	}
}

// Subscribe calls notify with the active Set, and then with each new version in
// order, until the returned function is called. Calls never overlap. notify must
// return quickly and must not call Offer, Subscribe or cancel.
func (s *Store) Subscribe(notify func(*Compiled)) (cancel func()) {
	sub := &subscriber{notify: notify}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, sub)
	notify(s.current.Load().compiled)
	return func() { s.unsubscribe(sub) }
}

func (s *Store) unsubscribe(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = slices.DeleteFunc(s.subscribers, func(other *subscriber) bool { return other == sub })
}
