package proof

import (
	"context"

	"pollengauge.dev/node/testing/memnet"
	"pollengauge.dev/objects"
)

// pausedStore is the platform's store as one host sees it. While the host's VM
// is paused, the store sends no requests, and a response that arrives in the
// meantime is returned only after the VM resumes. The delay may be arbitrarily
// long and may outlast the context, since the clock continues while the process
// stands still. A condition that held when the platform responded may have
// become false long before the process sees it.
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
