package proof

import (
	"context"

	"pollengauge.dev/node/testing/memnet"
	"pollengauge.dev/objects"
)

// pausedStore is the platform as one host reaches it. While the VM is paused
// nothing is asked, and what the platform answered meanwhile is only seen once
// it goes on, however long ago that was and whether or not its context has
// ended: the clock went on, the process did not. A check that was true when
// the platform answered may be long untrue by then.
type pausedStore struct {
	store objects.Store
	net   *memnet.Network
	host  string
}

// Get implements objects.Store.
func (s *pausedStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	s.net.AwaitThaw(s.host)
	defer s.net.AwaitThaw(s.host)
	return s.store.Get(ctx, kind, name)
}

// List implements objects.Store.
func (s *pausedStore) List(ctx context.Context, kind, prefix string) ([]objects.Object, uint64, error) {
	s.net.AwaitThaw(s.host)
	defer s.net.AwaitThaw(s.host)
	return s.store.List(ctx, kind, prefix)
}

// Create implements objects.Store.
func (s *pausedStore) Create(ctx context.Context, kind, name string, value []byte) (objects.Object, error) {
	s.net.AwaitThaw(s.host)
	defer s.net.AwaitThaw(s.host)
	return s.store.Create(ctx, kind, name, value)
}

// Update implements objects.Store.
func (s *pausedStore) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	s.net.AwaitThaw(s.host)
	defer s.net.AwaitThaw(s.host)
	return s.store.Update(ctx, o)
}

// Delete implements objects.Store.
func (s *pausedStore) Delete(ctx context.Context, kind, name string, version uint64) error {
	s.net.AwaitThaw(s.host)
	defer s.net.AwaitThaw(s.host)
	return s.store.Delete(ctx, kind, name, version)
}

// Watch implements objects.Store.
func (s *pausedStore) Watch(ctx context.Context, kind string, from uint64) ([]objects.Event, uint64, error) {
	s.net.AwaitThaw(s.host)
	defer s.net.AwaitThaw(s.host)
	return s.store.Watch(ctx, kind, from)
}
