package objects

import "sync"

// A store that is restored from a copy loses the writes since the copy was made, also those
// that it has acknowledged, and gives out their revisions again. Each restore begins a new
// era. Revisions and versions of different eras can't be compared.

// EraReporter is implemented by stores that tell their era.
type EraReporter interface {
	// Era returns the era that the store has stated last, 0 if none.
	Era() uint64
}

// EraOf returns the era of a store, 0 if the store doesn't tell it.
func EraOf(store Store) uint64 {
	if reporter, ok := store.(EraReporter); ok {
		return reporter.Era()
	}
	return 0
}

// maxLateResponses is the number of responses of one earlier era in a row after which that
// era is taken for the store's. Responses that come late are fewer than the calls in flight;
// without the bound, one wrong header would make a client reject the store for ever.
const maxLateResponses = 16

// eraTracker follows the era that responses state. Its methods may be called concurrently.
type eraTracker struct {
	mu      sync.Mutex
	current uint64
	// late counts the responses in a row that state lateEra, an era below current.
	lateEra uint64
	late    int
}

// observe records the era of a response, 0 if the response doesn't state one. It returns the
// store's era, and reports whether the response is outdated: it was sent before the store
// was restored, and came late.
func (t *eraTracker) observe(era uint64) (current uint64, outdated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era == 0 {
		return t.current, false
	}
	if era >= t.current {
		t.current, t.late = era, 0
		return era, false
	}
	if era != t.lateEra {
		t.lateEra, t.late = era, 0
	}
	if t.late++; t.late > maxLateResponses {
		t.current, t.late = era, 0
		return era, false
	}
	return t.current, true
}

// era returns the store's era, 0 if none has been stated.
func (t *eraTracker) era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}
