package node

import (
	"context"
	"errors"
	"strconv"
	"time"

	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// fleetSizeName is the name of the object that stores the size of the fleet. It has the
// same kind as the objects that name nodes to join.
//
// The stored size keeps customers within their limits when a network partition divides
// the fleet and all nodes of one side are restarted during it. Those nodes have seen no
// other members and would consider their side to be the complete fleet. They would
// lease the complete limit of each customer, as the other side does.
const fleetSizeName = "fleet-size"

const (
	// fleetSizeInterval is the time between two comparisons of the size with the stored
	// one. It is short because nodes that all restart before the size was stored form
	// groups that don't know of each other, and each leases the complete limits.
	// fleetSizeTimeout bounds the platform calls of one comparison.
	fleetSizeInterval = time.Second
	fleetSizeTimeout  = time.Second
	maxFleetSize      = 1 << 20
)

// readStoredFleetSize reads the stored size of the fleet.
func (n *Node) readStoredFleetSize(o objects.Object) {
	size, err := strconv.Atoi(string(o.Value))
	if err != nil || size < 1 || size > maxFleetSize {
		n.log.Emit(observe.BootstrapForeign, observe.Int("objects", 1))
		return
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.storedSize = size
	n.quotas.fleet.RecordReportedSize(size, n.now())
}

// updateStoredFleetSize stores the size of the fleet if it has changed. Only the first
// member does so. If two members both consider themselves the first, they store the same
// size.
func (n *Node) updateStoredFleetSize(ctx context.Context) {
	q := n.quotas
	q.mu.Lock()
	size, steady, whole := q.fleet.Places(), q.lastSize == q.fleet.Places(), q.fleet.Complete()
	q.lastSize = size
	same := size == q.storedSize
	q.mu.Unlock()
	if n.store == nil || !steady || !whole || same || n.config.Current().Customers().Empty() || !n.isFirstMember() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fleetSizeTimeout)
	defer cancel()
	if err := n.storeFleetSize(ctx, size); err != nil {
		n.log.Emit(observe.FleetSizeUnkept, observe.Err(err))
	}
}

func (n *Node) storeFleetSize(ctx context.Context, size int) error {
	o, err := n.store.Get(ctx, bootstrapKind, fleetSizeName)
	value := []byte(strconv.Itoa(size))
	switch {
	case errors.As(err, new(*objects.NotFoundError)):
		_, err = n.store.Create(ctx, bootstrapKind, fleetSizeName, value)
	case err == nil && string(o.Value) != string(value):
		o.Value = value
		_, err = n.store.Update(ctx, o)
	}
	if err == nil {
		n.quotas.mu.Lock()
		n.quotas.storedSize = size
		n.quotas.mu.Unlock()
	}
	return err
}

// isFirstMember reports whether this node is the first member in the order of
// watchRank.
func (n *Node) isFirstMember() bool {
	return n.earlierMembers(func(membership.Member) bool { return true }) == 0
}
