package node

import (
	"context"
	"errors"
	"strconv"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// fleetSizeName is the object beside those that name nodes to join, which has the size
// of the fleet.
//
// The failure: a cut divides the fleet, and all nodes of a side are restarted in it. They
// have seen nobody else, take their side for the whole fleet, and lend the whole limit of
// each customer, as the other side does.
const fleetSizeName = "fleet-size"

const (
	// fleetSizeEvery is how often the size is compared with what is stored, and
	// fleetSizeCalls bounds the calls of one comparison.
	fleetSizeEvery = 10 * time.Second
	fleetSizeCalls = time.Second
	maxFleetSize   = 1 << 20
)

// heardFleetSize takes in the size that is stored.
func (n *Node) heardFleetSize(o objects.Object) {
	size, err := strconv.Atoi(string(o.Value))
	if err != nil || size < 1 || size > maxFleetSize {
		n.log.Emit(observe.BootstrapForeign, observe.Int("objects", 1))
		return
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.storedSize = size
	n.quotas.fleet.Heard(size, n.now())
}

// keepFleetSize stores the size of the fleet where it has changed. The first member does
// it; two that both take themselves for the first store the same.
func (n *Node) keepFleetSize(ctx context.Context) {
	q := n.quotas
	q.mu.Lock()
	size, steady, whole := q.fleet.Places(), q.lastSize == q.fleet.Places(), q.fleet.Whole()
	q.lastSize = size
	same := size == q.storedSize
	q.mu.Unlock()
	if n.store == nil || !steady || !whole || same || n.config.Current().Customers().Empty() || !n.firstOfFleet() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fleetSizeCalls)
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

// firstOfFleet tells whether this node comes first in the order of all members.
func (n *Node) firstOfFleet() bool {
	own := watchRank(n.id)
	for _, m := range n.gossip.Members() {
		if watchRank(m.ID) < own {
			return false
		}
	}
	return true
}
