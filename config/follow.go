package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"pollengauge.dev/objects"
)

// FollowOptions configures Follow. The zero value is usable.
type FollowOptions struct {
	// OnError, if set, is called with the errors of failed calls and of rejected
	// Sets.
	OnError func(error)
	// Backoff is the delay between retries. A lower Max picks up the first change
	// after an outage sooner; a higher Max reduces the load on the platform. Zero
	// Max means DefaultFollowBackoff, which suits a handful of followers.
	Backoff objects.Backoff
	// Rand is the source of jitter; nil means a randomly seeded source.
	Rand *rand.Rand
}

// DefaultFollowBackoff is the default maximum delay between failed calls of a
// follower. It is short, so that a change accepted right after an outage is active
// within seconds.
const DefaultFollowBackoff = 4 * time.Second

// Follow watches the platform and offers every stored Set to s until ctx is done.
// Each follower holds one open watch on the platform, so only a few nodes follow
// and the others learn of changes by gossip.
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

// offerEvent offers the Set of an event. It ignores deletions: an accepted Set stays
// active.
func (s *Store) offerEvent(event objects.Event, onError func(error)) {
	if event.Type != objects.EventPut || event.Object.Name != ObjectName {
		return
	}
	if _, err := s.OfferObject(event.Object); err != nil && onError != nil {
		onError(err)
	}
}

// OfferObject decodes the platform's object and offers its Set, as Offer does for
// an encoded Set.
func (s *Store) OfferObject(object objects.Object) (bool, error) {
	document, err := DecodeDocument(object.Value)
	if err != nil {
		return false, err
	}
	return s.OfferSet(document.Set, SourcePlatform)
}

// Peer requests the encoded Set of another node, which that node reads with
// Store.Encoded.
type Peer func(ctx context.Context) ([]byte, error)

// BootstrapResult describes the responses that a newly started node received.
type BootstrapResult struct {
	Status Status
	// Queried is the number of queried sources: the peers and the platform. Responded
	// is the number of those that responded with a usable Set, or, for the
	// platform, that no Set is stored.
	Queried   int
	Responded int
	// PlatformResponded is true if the platform responded, even if it responded that no
	// Set is stored.
	PlatformResponded bool
	// Failures are the errors of the sources that gave no usable response.
	Failures []error
}

// Bootstrap queries the platform and all peers in parallel and activates the
// highest version received. It returns when all have responded or ctx is done, so
// ctx needs a deadline; a response that arrives after Bootstrap has returned is
// still offered to s.
//
// If no Set is received (Status.HasStoredSet is false), the embedded default is active:
// the node serves requests and treats every call that may change something as
// unrepeatable. The caller must report that state and retry with Follow or
// Bootstrap. If the platform responded that nothing is stored, the default is what
// operators chose.
//
// Individual peers may be stale or malicious: a version lower than another one
// received is ignored, and an invalid Set counts as a failure.
func Bootstrap(ctx context.Context, s *Store, store objects.Store, peers []Peer) BootstrapResult {
	responses := make(chan sourceResponse, len(peers)+1)
	go func() { responses <- queryPlatform(ctx, s, store) }()
	for _, peer := range peers {
		go func() { responses <- queryPeer(ctx, s, peer) }()
	}
	result := BootstrapResult{Queried: len(peers) + 1}
	for range result.Queried {
		select {
		case a := <-responses:
			result.add(a)
		case <-ctx.Done():
			result.Status = s.Status()
			return result
		}
	}
	result.Status = s.Status()
	return result
}

type sourceResponse struct {
	platform bool
	err      error
}

func (r *BootstrapResult) add(a sourceResponse) {
	if a.err != nil {
		r.Failures = append(r.Failures, a.err)
		return
	}
	r.Responded++
	r.PlatformResponded = r.PlatformResponded || a.platform
}

func queryPlatform(ctx context.Context, s *Store, store objects.Store) sourceResponse {
	object, err := store.Get(ctx, ObjectKind, ObjectName)
	if missing := (*objects.NotFoundError)(nil); errors.As(err, &missing) {
		return sourceResponse{platform: true}
	}
	if err == nil {
		_, err = s.OfferObject(object)
	}
	return sourceResponse{platform: true, err: err}
}

func queryPeer(ctx context.Context, s *Store, peer Peer) sourceResponse {
	data, err := peer(ctx)
	if err == nil {
		_, err = s.Offer(data, SourcePeer)
	}
	return sourceResponse{err: err}
}
