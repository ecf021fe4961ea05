package atmostonce

import (
	"sync/atomic"
	"time"
)

// steadyClock never goes back. It starts at the wall-clock time and then
// follows elapsed time. If the table followed a wall clock that steps back, an
// expired key, whose entry has been dropped, would be valid again and would run
// twice.
type steadyClock struct {
	read    func() time.Time
	start   time.Time
	elapsed atomic.Int64
}

func newSteadyClock(read func() time.Time) *steadyClock {
	return &steadyClock{read: read, start: read()}
}

// now returns a time that is not before any time it returned earlier.
func (c *steadyClock) now() time.Time {
	elapsed := int64(c.read().Sub(c.start))
	for {
		last := c.elapsed.Load()
		if elapsed <= last {
			return c.start.Add(time.Duration(last))
		}
		if c.elapsed.CompareAndSwap(last, elapsed) {
			return c.start.Add(time.Duration(elapsed))
		}
	}
}
