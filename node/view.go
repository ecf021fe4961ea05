package node

import "pollengauge.dev/membership"

// GossipStats returns the counters of this node's membership exchange, zero before
// Start.
func (n *Node) GossipStats() membership.Stats {
	if n.gossip == nil {
		return membership.Stats{}
	}
	return n.gossip.Stats()
}

// Member returns this node's view of an incarnation, including one that is gone.
// Views of different nodes differ until an update has spread.
func (n *Node) Member(id string) (membership.Member, membership.State, bool) {
	if n.gossip == nil {
		return membership.Member{}, membership.Alive, false
	}
	return n.gossip.Lookup(id)
}

// ConfigVersion returns the version of the configuration in force on this node.
func (n *Node) ConfigVersion() uint64 { return n.config.Current().Version() }
