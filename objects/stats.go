package objects

import (
	"errors"
	"sync/atomic"
)

// Stats is a snapshot of a client's counters since the client was created.
type Stats struct {
	// Reads and Writes count the calls that obtained a connection, in the same
	// way as the platform: each page of a list and each watch counts as one.
	Reads  uint64
	Writes uint64
	// Watches is the number of Reads that were watches, and Relaxed the number that
	// were relaxed.
	Watches uint64
	Relaxed uint64
	// Events counts the events that watches returned, including repeated ones.
	Events uint64
	// The remaining fields count failed calls by the type of error. A malformed
	// response to a write counts as both Malformed and Ambiguous.
	Conflicts   uint64
	NotFound    uint64
	Unavailable uint64
	Ambiguous   uint64
	OverBudget  uint64
	Compacted   uint64
	Malformed   uint64
}

type counters struct {
	reads, writes, watches, relaxed, events                                       atomic.Uint64
	conflicts, notFound, unavailable, ambiguous, overBudget, compacted, malformed atomic.Uint64
}

func (c *counters) sent(q Query) {
	switch {
	case q.Op.Writes():
		c.writes.Add(1)
	case q.Op == OpWatch:
		c.watches.Add(1)
		c.reads.Add(1)
	case q.Relaxed:
		c.relaxed.Add(1)
		c.reads.Add(1)
	default:
		c.reads.Add(1)
	}
}

func (c *counters) failed(err error) {
	if protocol := (*ProtocolError)(nil); errors.As(err, &protocol) {
		c.malformed.Add(1)
	}
	switch err.(type) {
	case *ConflictError:
		c.conflicts.Add(1)
	case *NotFoundError:
		c.notFound.Add(1)
	case *UnavailableError:
		c.unavailable.Add(1)
	case *AmbiguousError:
		c.ambiguous.Add(1)
	case *RateError:
		c.overBudget.Add(1)
	case *CompactedError:
		c.compacted.Add(1)
	}
}

func (c *counters) snapshot() Stats {
	return Stats{
		Reads:       c.reads.Load(),
		Writes:      c.writes.Load(),
		Watches:     c.watches.Load(),
		Relaxed:     c.relaxed.Load(),
		Events:      c.events.Load(),
		Conflicts:   c.conflicts.Load(),
		NotFound:    c.notFound.Load(),
		Unavailable: c.unavailable.Load(),
		Ambiguous:   c.ambiguous.Load(),
		OverBudget:  c.overBudget.Load(),
		Compacted:   c.compacted.Load(),
		Malformed:   c.malformed.Load(),
	}
}
