package atmostonce

import (
	"context"
	"time"
)

// Collector deletes expired claims whose owner crashed before it could delete
// them. One collector per service is enough; several do no harm.
//
// It doesn't trust the clocks of other nodes. It deletes a claim only if its
// expiry has passed and this collector has seen the same version for more than
// one window. If the expiry alone decided, an owner whose clock is a day behind
// would lose live claims, and their keys could run again on other nodes.
type Collector struct {
	store  ClaimStore
	lister ClaimLister
	window time.Duration
	// tracked maps the names of expired claims to the version seen and the
	// time, by the collector's own clock, at which it was first seen.
	tracked    map[string]sighting
	maxTracked int
	after      string
}

type sighting struct {
	version Version
	first   time.Time
}

// NewCollector creates a collector. window is Config.Window of the tables.
// maxTracked limits the number of claims tracked at one time, about 150 bytes
// each.
func NewCollector(store ClaimStore, lister ClaimLister, window time.Duration, maxTracked int) *Collector {
	return &Collector{store: store, lister: lister, window: window, maxTracked: maxTracked, tracked: make(map[string]sighting)}
}

// Step lists one page of claims and deletes those that are due. now must never
// go back; use Table.Now. Step returns the number of claims deleted.
func (c *Collector) Step(ctx context.Context, now time.Time, page int) (int, error) {
	claims, err := c.lister.List(ctx, c.after, page)
	if err != nil {
		return 0, err
	}
	c.after = ""
	if len(claims) == page {
		c.after = claims[len(claims)-1].Name
	}
	deleted := 0
	for _, stored := range claims {
		if !c.due(stored, now) {
			continue
		}
		if err := c.store.Delete(ctx, stored.Name, stored.Version); err != nil {
			continue
		}
		delete(c.tracked, stored.Name)
		deleted++
	}
	c.dropOldSightings(now)
	return deleted, nil
}

// due records the sighting of a claim and reports whether the claim may be
// deleted.
func (c *Collector) due(stored StoredClaim, now time.Time) bool {
	if stored.Claim.ExpiresUnix >= now.Unix() {
		return false
	}
	seen, ok := c.tracked[stored.Name]
	if !ok && len(c.tracked) >= c.maxTracked {
		return false
	}
	if !ok || seen.version != stored.Version {
		c.tracked[stored.Name] = sighting{version: stored.Version, first: now}
		return false
	}
	return now.Sub(seen.first) > c.window
}

// dropOldSightings drops sightings older than two windows, so that claims which
// other nodes have deleted don't use up maxTracked.
func (c *Collector) dropOldSightings(now time.Time) {
	for name, seen := range c.tracked {
		if now.Sub(seen.first) > 2*c.window {
			delete(c.tracked, name)
		}
	}
}
