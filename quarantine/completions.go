package quarantine

import "sync/atomic"

// completionSlots is the number of completed requests that are remembered. A popular
// request is noted so often that rare requests with the same slot do not displace it
// for long.
const completionSlots = 1024

// Completions remembers requests that completed at one incarnation of an upstream, with
// a bias to popular ones. Noting a request costs one atomic store. The zero value is
// empty.
type Completions struct {
	slots [completionSlots]atomic.Uint64
}

// Note records that a request completed.
func (c *Completions) Note(f Fingerprint) { c.slots[f%completionSlots].Store(uint64(f)) }

// Reset removes all requests.
func (c *Completions) Reset() {
	for i := range c.slots {
		c.slots[i].Store(0)
	}
}

// Has reports whether a request is known to have completed.
func (c *Completions) Has(f Fingerprint) bool { return c.slots[f%completionSlots].Load() == uint64(f) }
