package config

import "time"

// KnownVersionLifetime is how long a version counts as known to exist after the last
// notice of it. A node that sees the version on the platform keeps announcing it for as
// long as it is stored there.
//
// Without this limit, a version number that was never stored, sent by a faulty
// peer, would circulate among the nodes for ever, and each of them would consider
// itself behind.
const KnownVersionLifetime = time.Minute

// knownVersion is the highest version known to exist. It is immutable once stored.
type knownVersion struct {
	version uint64
	// lastKnown is the time at which the version was last known to exist.
	lastKnown time.Time
}

func (h *knownVersion) isFresh(now time.Time) bool {
	return h != nil && now.Sub(h.lastKnown) < KnownVersionLifetime
}

// RecordVersionNotice records that a version was known to exist at the given time,
// whether or not this node can activate it. It ignores notices that are
// KnownVersionLifetime old or older.
func (s *Store) RecordVersionNotice(version uint64, at, now time.Time) {
	next := &knownVersion{version: version, lastKnown: at}
	for next.isFresh(now) {
		known := s.newestKnown.Load()
		if known.isFresh(now) && (version < known.version || (version == known.version && !at.After(known.lastKnown))) {
			return
		}
		if s.newestKnown.CompareAndSwap(known, next) {
			return
		}
	}
}

// Newest returns the highest version known to exist and the time at which it was
// last known. It is higher than the active version if this node rejected the newest
// Set or has not received it yet.
func (s *Store) Newest(now time.Time) (version uint64, at time.Time) {
	activeVersion := s.Current().Version()
	if known := s.newestKnown.Load(); known.isFresh(now) && known.version > activeVersion {
		return known.version, known.lastKnown
	}
	return activeVersion, now
}

// IsBehind reports whether a version higher than the active one is known to exist.
func (s *Store) IsBehind(now time.Time) bool {
	newest, _ := s.Newest(now)
	return newest > s.Current().Version()
}
