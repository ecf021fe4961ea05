package node

import (
	"context"
	"math/rand/v2"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// A restored store lacks the latest writes, also acknowledged ones. Nothing that this
// project stores is written by anybody else, so nodes store again what is theirs: the
// addresses to join, the size of the fleet, and the records of quarantined requests.

// maxRestorePause is the longest random pause before a node stores again what a restored
// store may have lost. It spreads the calls of all nodes that learn of the restore at once.
const maxRestorePause = time.Second

// storeRestored notes that the store has been restored. It doesn't block.
func (n *Node) storeRestored() {
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// followRestores stores again what a restored store may have lost, until ctx ends.
func (n *Node) followRestores(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.restored:
		}
		if !objects.Pause(ctx, rand.N(maxRestorePause)) {
			return
		}
		n.storeAgain(ctx)
	}
}

// storeAgain stores again what is this project's. Only the first members do so, so that the
// number of calls doesn't grow with the fleet; departures are few, and each node stores its own. The size of the fleet follows at its next
// comparison.
func (n *Node) storeAgain(ctx context.Context) {
	n.quotas.mu.Lock()
	n.quotas.storedSize = 0
	n.quotas.mu.Unlock()
	n.storeDeparturesAgain()
	if !n.keepsBootstraps() {
		return
	}
	for _, record := range n.quarantine.ledger.RecordsToAnnounce(n.now()) {
		n.queueRecord(record, "")
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	// The read is exact, because a relaxed one may be from before the restore.
	if _, err := n.offerExactly(ctx); err != nil {
		n.log.Emit(observe.BootstrapFailed, observe.Err(err))
	}
}
