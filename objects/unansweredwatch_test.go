package objects

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// unansweredStore is a Store whose watches get no response while its object changes.
type unansweredStore struct {
	Store
	lists int
}

func (s *unansweredStore) List(context.Context, string, string) ([]Object, uint64, error) {
	s.lists++
	return []Object{{Kind: "kind", Name: "one", Version: uint64(s.lists), Revision: uint64(s.lists), Value: []byte("{}")}}, uint64(s.lists), nil
}

func (s *unansweredStore) Watch(ctx context.Context, _ string, _ uint64) ([]Event, uint64, error) {
	Pause(ctx, time.Second)
	return nil, 0, &UnavailableError{Op: OpWatch}
}

// The platform drops its event history, and its watches get no response for a
// while. A watcher that reacted to an unanswered watch only with another watch
// would learn of a change a second later; it must list instead.
func TestUnansweredWatchIsFollowedByList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unansweredStore{}
		var seen []uint64
		w := &Watcher{Store: store, Kind: "kind", Handle: func(e Event) { seen = append(seen, e.Object.Version) }}
		ctx, cancel := context.WithTimeout(t.Context(), 1300*time.Millisecond)
		defer cancel()
		w.Run(ctx)
		qt.New(t).Check(seen, qt.DeepEquals, []uint64{1, 2})
	})
}
