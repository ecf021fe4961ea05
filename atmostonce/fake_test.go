package atmostonce

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is the fault that one write to the fake store, or one message,
// encounters.
type fault int

const (
	works        fault = iota
	down               // not applied; the writer is informed
	lostBefore         // not applied; the writer doesn't know
	lostAfter          // applied; the writer doesn't know
	appliedLater       // applied by flush; the writer doesn't know
)

// fakeStore is a ClaimStore with conditional writes and selectable faults.
type fakeStore struct {
	claims  map[string]StoredClaim
	version int
	// next returns the fault of the next write. For a read only the fault down
	// counts.
	next    func() fault
	delayed []func()
	writes  int
	// meanwhile, if not nil, is called with the number of each store call after
	// the call took effect and before the caller receives the response.
	meanwhile func(call int)
	calls     int
}

func newFakeStore() *fakeStore {
	return &fakeStore{claims: make(map[string]StoredClaim), next: func() fault { return works }}
}

// script applies the given faults, in order, to the next writes and reads.
func (s *fakeStore) script(list ...fault) { s.next = faults(list...) }

// faults returns a function that yields the listed faults in order, and then the
// value works, which means no fault.
func faults(list ...fault) func() fault {
	return func() fault {
		if len(list) == 0 {
			return works
		}
		f := list[0]
		list = list[1:]
		return f
	}
}

func (s *fakeStore) flush() {
	for _, apply := range s.delayed {
		apply()
	}
	s.delayed = nil
}

// answered counts a completed store call and calls meanwhile.
func (s *fakeStore) answered() {
	s.calls++
	if s.meanwhile != nil {
		s.meanwhile(s.calls)
	}
}

func (s *fakeStore) write(name string, apply func() error) error {
	s.writes++
	defer s.answered()
	switch s.next() {
	case down:
		return &ClaimUnavailableError{Name: name}
	case lostBefore:
		return &ClaimAmbiguousError{Name: name}
	case lostAfter:
		_ = apply()
		return &ClaimAmbiguousError{Name: name}
	case appliedLater:
		s.delayed = append(s.delayed, func() { _ = apply() })
		return &ClaimAmbiguousError{Name: name}
	}
	return apply()
}

func (s *fakeStore) put(name string, claim Claim) Version {
	s.version++
	v := Version(rune('0' + s.version))
	s.claims[name] = StoredClaim{Name: name, Version: v, Claim: claim}
	return v
}

func (s *fakeStore) Create(_ context.Context, name string, claim Claim) (v Version, err error) {
	return v, s.write(name, func() error {
		if _, ok := s.claims[name]; ok {
			return &ClaimExistsError{Name: name}
		}
		v = s.put(name, claim)
		return nil
	})
}

func (s *fakeStore) Get(_ context.Context, name string) (Claim, Version, error) {
	defer s.answered()
	if s.next() == down {
		return Claim{}, "", &ClaimUnavailableError{Name: name}
	}
	if stored, ok := s.claims[name]; ok {
		return stored.Claim, stored.Version, nil
	}
	return Claim{}, "", &ClaimNotFoundError{Name: name}
}

func (s *fakeStore) Update(_ context.Context, name string, claim Claim, version Version) (v Version, err error) {
	return v, s.write(name, func() error {
		if s.claims[name].Version != version {
			return &ClaimConflictError{Name: name}
		}
		v = s.put(name, claim)
		return nil
	})
}

func (s *fakeStore) Delete(_ context.Context, name string, version Version) error {
	return s.write(name, func() error {
		if s.claims[name].Version != version {
			return &ClaimConflictError{Name: name}
		}
		delete(s.claims, name)
		return nil
	})
}

func (s *fakeStore) List(_ context.Context, after string, limit int) ([]StoredClaim, error) {
	var list []StoredClaim
	for _, name := range slices.Sorted(maps.Keys(s.claims)) {
		if name > after && len(list) < limit {
			list = append(list, s.claims[name])
		}
	}
	return list, nil
}

// fakeClock is a wall clock without monotonic readings, so that it can step
// back.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time         { return c.now }
func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

var testStart = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func testRandom(seed byte) io.Reader { return rand.NewChaCha8([32]byte{seed}) }

// testNode creates a table with its own clock. seed determines its incarnation.
func testNode(seed byte, edit func(*Config)) (*Table, *fakeClock) {
	clock := &fakeClock{now: testStart}
	random := testRandom(seed)
	cfg := Config{Service: "filing", Incarnation: NewIncarnation(random), Clock: clock.read, Random: random}
	if edit != nil {
		edit(&cfg)
	}
	t, err := NewTable(cfg)
	if err != nil {
		panic(err)
	}
	return t, clock
}

func withStore(s ClaimStore) func(*Config) { return func(c *Config) { c.Store = s } }

// link sends the messages of a hand-over to a table and applies faults to them
// in order.
type link struct {
	to *Table
	// fault returns the fault of the next message: works, lostBefore, lostAfter
	// or appliedLater.
	fault   func() fault
	delayed []func()
}

// linkError represents a broken connection.
type linkError struct{}

func (*linkError) Error() string { return "connection broken" }

func (l *link) send(deliver func() error) error {
	f := works
	if l.fault != nil {
		f = l.fault()
	}
	switch f {
	case works:
		return deliver()
	case lostAfter:
		_ = deliver()
	case appliedLater:
		l.delayed = append(l.delayed, func() { _ = deliver() })
	}
	return &linkError{}
}

func (l *link) flush() {
	for _, deliver := range l.delayed {
		deliver()
	}
	l.delayed = nil
}

func (l *link) Stage(ctx context.Context, c Chunk) error {
	return l.send(func() error { return l.to.Stage(ctx, c) })
}

func (l *link) Commit(ctx context.Context, r CommitRequest) error {
	return l.send(func() error { return l.to.Commit(ctx, r) })
}

func (l *link) Abort(ctx context.Context, r AbortRequest) error {
	return l.send(func() error { return l.to.Abort(ctx, r) })
}
