package config

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
)

// Source says where a Set came from.
type Source string

// The sources.
const (
	SourceDefault  Source = "default"
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Status describes what a Store has in force.
type Status struct {
	Version  uint64
	ChangeID string
	Hash     string
	Source   Source
	// Heard is false while the embedded default is in force because no
	// stored Set was ever heard of.
	Heard bool
}

// Store holds the Set that is in force on one node. Its version only goes up.
type Store struct {
	current atomic.Pointer[accepted]
	// heard is the highest version that was heard of lately, nil before any.
	heard atomic.Pointer[heardVersion]

	// mu is held while a Set is put in force and subscribers are told, so
	// that each of them sees every version once and in order.
	mu          sync.Mutex
	subscribers []*subscriber
}

// accepted is never changed after it was stored.
type accepted struct {
	compiled *Compiled
	encoded  []byte
	source   Source
}

type subscriber struct {
	notify func(*Compiled)
}

// NewStore returns a Store with the embedded default in force.
func NewStore() *Store {
	set := Default()
	encoded, err := Encode(set)
	if err != nil {
		panic(err) // Default has just validated the same Set.
	}
	s := &Store{}
	s.current.Store(&accepted{compiled: compile(set, encoded), encoded: encoded, source: SourceDefault})
	return s
}

// Current returns what is in force. It never returns nil and takes no lock.
func (s *Store) Current() *Compiled { return s.current.Load().compiled }

// Encoded returns the version in force and its encoding, which peers pass to
// Offer. The bytes must not be changed.
func (s *Store) Encoded() (version uint64, data []byte) {
	now := s.current.Load()
	return now.compiled.Version(), now.encoded
}

// Status returns what is in force and where it came from.
func (s *Store) Status() Status {
	now := s.current.Load()
	return Status{
		Version:  now.compiled.Version(),
		ChangeID: now.compiled.set.ChangeID,
		Hash:     now.compiled.hash,
		Source:   now.source,
		Heard:    now.source != SourceDefault,
	}
}

// Offer puts an encoded Set in force if it is valid and its version is
// higher than the one in force, and reports whether it did. A lower or equal
// Set is ignored without error, for gossip repeats and reorders. Other bytes
// under the version in force are a *ForkError, and invalid ones an
// *EncodingError or *ValidationError.
func (s *Store) Offer(data []byte, source Source) (bool, error) {
	if bytes.Equal(data, s.current.Load().encoded) {
		return false, nil
	}
	set, err := Decode(data)
	if err != nil {
		return false, err
	}
	next := &accepted{compiled: compile(set, data), encoded: bytes.Clone(data), source: source}
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
	return s.install(&accepted{compiled: compile(set, data), encoded: data, source: source})
}

// install compares and replaces under one lock.
//
// Failure: two Offers that both saw version 3 in force, one with 4 and one
// with 5, would end with whichever stored last. Symptom: a node falls back
// from 5 to 4. Comparing under the lock that guards the store is enough.
func (s *Store) install(next *accepted) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.current.Load()
	if next.compiled.Version() < now.compiled.Version() {
		return false, nil
	}
	if next.compiled.Version() == now.compiled.Version() && !firstStored(now, next) {
		return false, forked(now, next)
	}
	s.current.Store(next)
	for _, sub := range s.subscribers {
		sub.notify(next.compiled)
	}
	return true, nil
}

// firstStored tells whether next is what operators stored as version 0, in place of
// the embedded default.
func firstStored(now, next *accepted) bool {
	return now.source == SourceDefault && next.source == SourcePlatform
}

func forked(now, next *accepted) error {
	// Version 0 is each build's own default and makes no claim.
	if now.compiled.hash == next.compiled.hash || now.compiled.Version() == 0 {
		return nil
	}
	return &ForkError{
		Version:       now.compiled.Version(),
		KeptHash:      now.compiled.hash,
		KeptChange:    now.compiled.set.ChangeID,
		OfferedHash:   next.compiled.hash,
		OfferedChange: next.compiled.set.ChangeID,
		Source:        next.source,
	}
}

// Subscribe calls notify with what is in force, and then with each new
// version in order, until the returned function is called. Calls never
// overlap. notify must not call Offer, Subscribe or cancel, and must be quick.
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
