package config

import "time"

// HeardFor is how long a version that was heard of counts without being heard of
// again. Whoever sees it on the platform tells of it all the while.
//
// The failure: a number that nobody ever wrote, from a faulty peer, goes round among
// the nodes, and each holds itself for behind for ever.
const HeardFor = time.Minute

// heardVersion is never changed after it was stored.
type heardVersion struct {
	version uint64
	// at is when it was last known to exist.
	at time.Time
}

func (h *heardVersion) counts(now time.Time) bool {
	return h != nil && now.Sub(h.at) < HeardFor
}

// Hear notes that a version was known to exist at a time, whether or not it can be
// put in force here. News that is too old to count is left out.
func (s *Store) Hear(version uint64, at, now time.Time) {
	next := &heardVersion{version: version, at: at}
	for next.counts(now) {
		known := s.heard.Load()
		if known.counts(now) && (version < known.version || (version == known.version && !at.After(known.at))) {
			return
		}
		if s.heard.CompareAndSwap(known, next) {
			return
		}
	}
}

// Newest returns the highest version that is known to exist, and when that was last
// known. It is above the one in force where that one was refused, or is still on its
// way.
func (s *Store) Newest(now time.Time) (version uint64, at time.Time) {
	inForce := s.Current().Version()
	if known := s.heard.Load(); known.counts(now) && known.version > inForce {
		return known.version, known.at
	}
	return inForce, now
}

// Behind reports whether a later version is known to exist than the one in force.
func (s *Store) Behind(now time.Time) bool {
	newest, _ := s.Newest(now)
	return newest > s.Current().Version()
}
