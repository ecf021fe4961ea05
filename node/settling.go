package node

import (
	"context"
	"time"

	"pollengauge.dev/objects"
)

const (
	// settlePause is the time between two checks whether the membership has settled.
	settlePause = 250 * time.Millisecond
	// minSettleChecks is the number of checks before the first election. It takes place in
	// any case after maxSettleChecks, and after maxLoneChecks at a node that knows no
	// other member: without a watch, it may not learn of a new configuration.
	minSettleChecks = 4
	maxSettleChecks = 24
	maxLoneChecks   = 12
	// quietChecks is the number of consecutive checks without a change after which the
	// membership counts as settled.
	quietChecks = 3
	// settledShare is the share of the members known to the peer that knows most which a
	// settled node knows. A few may have come or gone since.
	settledShare = 0.9
)

// settling decides when a node that has just started knows the members of its fleet.
type settling struct{ checks, quiet, known int }

// settled records the number of members that this node knows, itself included, and the
// largest number that a peer reported to know, and reports whether the node may take part
// in elections.
func (s *settling) settled(alive, largestPeer int) bool {
	s.checks++
	s.quiet++
	if alive != s.known {
		s.known, s.quiet = alive, 0
	}
	switch {
	case s.checks >= maxSettleChecks:
		return true
	case alive == 1:
		return s.checks >= maxLoneChecks
	}
	complete := float64(alive) >= settledShare*float64(largestPeer)
	return s.checks >= minSettleChecks && s.quiet >= quietChecks && complete
}

// awaitSettled waits until this node has learned of the members, and returns false if ctx
// ends first.
//
// A node that has just started knows few members and would elect itself as a watcher.
// When all nodes of a fleet start, each would list and watch for a moment, which is more
// reads than the platform allows, and the time until a node knows the others grows with
// the fleet.
func (n *Node) awaitSettled(ctx context.Context) bool {
	var s settling
	for {
		if !objects.Pause(ctx, settlePause) {
			return false
		}
		if stats := n.gossip.Stats(); s.settled(stats.Alive, stats.LargestPeer) {
			return true
		}
	}
}
