package objects

import "sync/atomic"

// A store that is restored from a copy loses the writes since the copy was made, also those
// that it has acknowledged, and gives out their revisions again. Each restore begins a new
// era. Revisions and versions of different eras can't be compared.

// EraReporter is implemented by stores that tell their era.
type EraReporter interface {
	// Era returns the highest era that the store has stated so far, 0 if none.
	Era() uint64
}

// EraOf returns the era of a store, 0 if the store doesn't tell it.
func EraOf(store Store) uint64 {
	if reporter, ok := store.(EraReporter); ok {
		return reporter.Era()
	}
	return 0
}

// eraTracker follows the era that responses state. Its methods may be called concurrently.
type eraTracker struct{ highest atomic.Uint64 }

// observe records the era of a response, 0 if the response doesn't state one. It returns the
// highest era known before, and reports whether the response is outdated: it was sent
// before the store was restored, and came late.
func (t *eraTracker) observe(era uint64) (before uint64, outdated bool) {
	for {
		before = t.highest.Load()
		if era == 0 || era == before {
			return before, false
		}
		if era < before {
			return before, true
		}
		if t.highest.CompareAndSwap(before, era) {
			return before, false
		}
	}
}
