package node

import "time"

// An upstream's limit ends once limitEndResponses responses in a row name none, and
// limitEndTime has passed since the last one that did. Some upstreams name their limit in a
// part of their responses only, and responses to calls sent earlier may come late.
const (
	limitEndTime      = time.Second
	limitEndResponses = 3
)

// limitState follows the limit that one incarnation of the upstream names in its responses.
// It is pure; the caller serializes its use.
//
// Load pattern: an upstream in need takes fewer calls than it has slots for, and states how
// many. It may name another limit in each response, or leave it out of some. A process
// that starts beside it knows none of this, until a response or a call of another node
// states it.
type limitState struct {
	limited bool
	limit   float64
	// heard is set once a response has shown whether the incarnation names a limit.
	heard     bool
	namedAt   time.Time
	withoutIt int
}

// observe records whether a response names a limit, and reports whether the limit in force
// changes.
func (s *limitState) observe(limit float64, named bool, now time.Time) (changed bool) {
	s.heard = true
	if named {
		return s.name(limit, now)
	}
	if !s.limited {
		return false
	}
	s.withoutIt++
	if s.withoutIt < limitEndResponses || now.Sub(s.namedAt) < limitEndTime {
		return false
	}
	s.limited, s.limit, s.withoutIt = false, 0, 0
	return true
}

// adopt records the limit that another node has heard of. It counts only until the first
// response, which is newer.
func (s *limitState) adopt(limit float64, now time.Time) (changed bool) {
	return !s.heard && s.name(limit, now)
}

func (s *limitState) name(limit float64, now time.Time) (changed bool) {
	changed = !s.limited || s.limit != limit
	s.limited, s.limit, s.namedAt, s.withoutIt = true, limit, now, 0
	return changed
}
