package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"pollengauge.dev/objects"
)

// FollowOptions sets up Follow. The zero value is usable.
type FollowOptions struct {
	// OnError, if set, is told of failed calls and refused Sets.
	OnError func(error)
	// Backoff spaces retries. A lower Max sees the first change after an
	// outage sooner; a higher one spares the platform. Zero Max means
	// DefaultFollowBackoff, which suits a handful of followers.
	Backoff objects.Backoff
	// Rand is the source of jitter; nil means a randomly seeded one.
	Rand *rand.Rand
}

// DefaultFollowBackoff is a follower's longest pause between failed calls, so that
// a change accepted right after an outage is in force within seconds.
const DefaultFollowBackoff = 4 * time.Second

// Follow watches the platform and offers every stored Set to s, until ctx is
// done. Each follower costs the platform one waiting watch, so a few nodes
// follow and the others hear from them by gossip.
func Follow(ctx context.Context, store objects.Store, s *Store, opts FollowOptions) {
	if opts.Backoff.Max <= 0 {
		opts.Backoff.Max = DefaultFollowBackoff
	}
	watcher := &objects.Watcher{
		Store:   store,
		Kind:    ObjectKind,
		Handle:  func(event objects.Event) { s.offerEvent(event, opts.OnError) },
		OnError: opts.OnError,
		Backoff: opts.Backoff,
		Rand:    opts.Rand,
	}
	watcher.Run(ctx)
}

// offerEvent ignores a deletion: a Set that was accepted stays in force.
func (s *Store) offerEvent(event objects.Event, onError func(error)) {
	if event.Type != objects.EventPut || event.Object.Name != ObjectName {
		return
	}
	if _, err := s.OfferObject(event.Object); err != nil && onError != nil {
		onError(err)
	}
}

// OfferObject is Offer for the platform's object.
func (s *Store) OfferObject(object objects.Object) (bool, error) {
	document, err := DecodeDocument(object.Value)
	if err != nil {
		return false, err
	}
	return s.OfferSet(document.Set, SourcePlatform)
}

// Peer asks one other node for its encoded Set, as its Store.Encoded gives it.
type Peer func(ctx context.Context) ([]byte, error)

// BootstrapResult tells what a fresh node heard.
type BootstrapResult struct {
	Status Status
	// Asked and Answered count the platform and the peers.
	Asked    int
	Answered int
	// Stored is true if the platform answered, be it that no Set is stored.
	Stored bool
	// Failures are the errors of those that gave nothing usable.
	Failures []error
}

// Bootstrap asks the platform and all peers at once and puts the highest
// version that it hears in force. It returns when all have answered or ctx
// is done, so ctx needs a deadline; an answer that comes later still counts.
//
// If none is heard (Status.Heard is false) the embedded default is in force:
// the node serves, and treats every call that may change something as
// unrepeatable. The caller reports that state and keeps asking, by Follow or
// by Bootstrap again. If the platform answered that nothing is stored, the
// default is what operators chose.
//
// One peer of several may be stale or hostile: a lower version than another's
// is passed over, and an invalid Set is a failure.
func Bootstrap(ctx context.Context, s *Store, store objects.Store, peers []Peer) BootstrapResult {
	answers := make(chan answer, len(peers)+1)
	go func() { answers <- askPlatform(ctx, s, store) }()
	for _, peer := range peers {
		go func() { answers <- askPeer(ctx, s, peer) }()
	}
	result := BootstrapResult{Asked: len(peers) + 1}
	for range result.Asked {
		select {
		case a := <-answers:
			result.add(a)
		case <-ctx.Done():
			result.Status = s.Status()
			return result
		}
	}
	result.Status = s.Status()
	return result
}

type answer struct {
	platform bool
	err      error
}

func (r *BootstrapResult) add(a answer) {
	if a.err != nil {
		r.Failures = append(r.Failures, a.err)
		return
	}
	r.Answered++
	r.Stored = r.Stored || a.platform
}

func askPlatform(ctx context.Context, s *Store, store objects.Store) answer {
	object, err := store.Get(ctx, ObjectKind, ObjectName)
	if missing := (*objects.NotFoundError)(nil); errors.As(err, &missing) {
		return answer{platform: true}
	}
	if err == nil {
		_, err = s.OfferObject(object)
	}
	return answer{platform: true, err: err}
}

func askPeer(ctx context.Context, s *Store, peer Peer) answer {
	data, err := peer(ctx)
	if err == nil {
		_, err = s.Offer(data, SourcePeer)
	}
	return answer{err: err}
}
