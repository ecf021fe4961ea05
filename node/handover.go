package node

import (
	"context"
	"errors"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/routing"
)

// handoverRetryInterval is the time between two attempts of a hand-over.
const handoverRetryInterval = 100 * time.Millisecond

// handOver transfers this node's keys to another member of the service.
func (n *Node) handOver(ctx context.Context) {
	n.keys.Freeze()
	if err := n.keys.WaitIdle(ctx); err != nil {
		n.log.Emit(observe.DrainTimeout, observe.Int("keys_in_flight", n.keys.InFlight()))
	}
	for {
		to, ok := n.otherMember()
		if !ok {
			n.logNoSuccessor()
			return
		}
		if ended := n.handOverTo(ctx, to); ended {
			return
		}
	}
}

// handOverTo transfers the keys to one member and reports whether the hand-over has
// ended: either the member has the keys, or the time for it is over. If the response to
// a commit is lost, the hand-over is only repeated to the same successor. A second
// successor could become a second owner of the same keys.
func (n *Node) handOverTo(ctx context.Context, to routing.Target) (ended bool) {
	n.log.Emit(observe.HandoverBegun, observe.Str("to", to.ID), observe.Int("keys", n.keys.Len()))
	for {
		err := n.keys.HandOver(ctx, atmostonce.Incarnation(to.ID), &successor{node: n, addr: to.Addr})
		if err == nil {
			n.log.Emit(observe.HandoverCommitted, observe.Str("to", to.ID))
			return true
		}
		ambiguous := n.handoverAmbiguous(err)
		if !objects.Pause(ctx, handoverRetryInterval) {
			n.log.Emit(observe.HandoverFailed, observe.Err(err))
			return true
		}
		if !ambiguous {
			return false
		}
	}
}

// logNoSuccessor logs that keys are lost because the service has no other member. It
// logs nothing for an empty table, because no loss is visible from here. An empty table
// is still handed over where another member exists: keys that were minted and not yet
// presented are not in the table, and without an owner their callers would get the
// outcome unknown.
func (n *Node) logNoSuccessor() {
	if n.keys.Len() > 0 {
		n.log.Emit(observe.HandoverFailed, observe.Str("cause", "no other member of the service"))
	}
}

// handoverAmbiguous reports whether the successor may already have the keys, and logs
// it if so.
func (n *Node) handoverAmbiguous(err error) bool {
	var failed *atmostonce.HandOverError
	if !errors.As(err, &failed) || !failed.Ambiguous {
		return false
	}
	n.log.Emit(observe.HandoverAmbiguous, observe.Err(err))
	return true
}

// cancelHandover makes the key table accept new keys again after a cancelled drain.
func (n *Node) cancelHandover() { n.logKeyError(n.keys.Thaw()) }

// otherMember returns another member of this service that is not draining.
func (n *Node) otherMember() (routing.Target, bool) {
	picked, err := n.router.PickFor(routing.Call{Service: n.settings.Service, Exclude: []string{n.id}, NoProbe: true}, n.random(), n.now())
	if err != nil {
		return routing.Target{}, false
	}
	picked.Done(routing.Feedback{}, n.now())
	return picked.Target, true
}
