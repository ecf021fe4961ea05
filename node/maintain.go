package node

import (
	"context"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
)

const (
	maintainInterval = time.Second
	sweepTicks       = 5
	fleetSizeTicks   = int(fleetSizeInterval / maintainInterval)
	syncLimit        = 10
	collectTicks     = 600
	collectPage      = 500
	collectTracked   = 20_000
)

// Each node's share of the platform's rate limits: 560 nodes within their shares stay
// under 2,000 reads and 400 writes a second. The few nodes whose callers send keys may
// exceed their shares, up to the maximum, while the platform accepts the calls.
const (
	platformReads     = 3
	platformWrites    = 0.7
	platformMaxReads  = 200
	platformMaxWrites = 100
)

// buildPlatform creates the client of the platform's object API, unless the settings
// provide a store or name no platform.
func (n *Node) buildPlatform() error {
	if n.settings.Store != nil {
		n.store = n.observed(n.settings.Store)
		return nil
	}
	if n.settings.PlatformURL == "" {
		return nil
	}
	client, err := n.settings.OpenPlatform(objects.Options{
		Endpoint:     n.settings.PlatformURL,
		ReadRate:     platformReads,
		WriteRate:    platformWrites,
		MaxReadRate:  platformMaxReads,
		MaxWriteRate: platformMaxWrites,
	})
	if err != nil {
		return err
	}
	n.store = n.observed(client)
	return nil
}

func (n *Node) observed(store objects.Store) objects.Store {
	return &observedStore{Store: store, metrics: n.metrics, log: n.log, restored: n.storeRestored}
}

// maintain runs the periodic background work that is not on the path of a call.
func (n *Node) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.keys.Sync(ctx, syncLimit)
		n.renewStoredNotice()
		n.reportChanges()
		n.announceWorkTimes()
		if count%sweepTicks == 0 {
			n.keys.Sweep()
			n.sweepQuarantine()
			n.reportSlotShares()
			n.metrics.Rotate()
		}
		if count%fleetSizeTicks == 0 {
			n.updateStoredFleetSize(ctx)
		}
		if count%collectTicks == 0 {
			n.collectClaims(ctx)
		}
	}
}

func (n *Node) claimStore() *claimStore {
	return &claimStore{store: n.store, service: n.settings.Service, log: n.log, counts: n.metrics.Claims}
}

// collectClaims deletes expired claims of nodes that are gone. Only the first member of
// the service by rank does it.
func (n *Node) collectClaims(ctx context.Context) {
	if n.store == nil || !n.firstOfService() {
		return
	}
	if n.collector == nil {
		claims := n.claimStore()
		n.collector = atmostonce.NewCollector(claims, claims, n.settings.KeyWindow, collectTracked)
	}
	// A failed step is repeated at the next call; the store reports why it failed.
	_, _ = n.collector.Step(ctx, n.keys.Now(), collectPage)
}

func (n *Node) firstOfService() bool {
	sameService := func(m membership.Member) bool { return m.Service == n.settings.Service }
	return n.earlierMembers(sameService) == 0
}
