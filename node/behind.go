package node

import "pollengauge.dev/observe"

// noteStored notes which version the platform holds, as far as it can be read.
func (n *Node) noteStored(version uint64, readable bool) {
	n.unreadable.Store(!readable)
	if readable {
		n.storedVersion.Store(version)
		n.tellStored()
	}
}

// tellStored keeps the news fresh of a version that the platform holds and that is
// not in force here, for those that do not watch the platform.
func (n *Node) tellStored() {
	if version := n.storedVersion.Load(); version > n.ConfigVersion() {
		now := n.now()
		n.config.Hear(version, now, now)
	}
}

// behind tells whether a later configuration than the one in force is known of.
func (n *Node) behind() bool { return n.laterThan(n.ConfigVersion()) }

// laterThan tells whether a later configuration than a version is known of, or the
// platform holds one of which not even the version can be read.
func (n *Node) laterThan(version uint64) bool {
	newest, _ := n.config.Newest(n.now())
	return n.unreadable.Load() || newest > version
}

// behindSeen follows for how many looks a version has been missing here.
type behindSeen struct {
	looks int
	// reported is the version that was last reported as missing.
	reported uint64
}

// behindLooks is for how many looks in a row a version may be on its way before
// it counts as missing.
const behindLooks = 3

// reportBehind reports once of each version that others know and this node has
// not in force.
//
// The failure: nodes that watch the platform refuse a version, and say so. All
// others serve an old configuration and can't be told from those that have the
// newest.
func (n *Node) reportBehind() {
	seen := &n.changes.behind
	if !n.behind() {
		seen.looks = 0
		return
	}
	seen.looks++
	newest, _ := n.config.Newest(n.now())
	if seen.looks < behindLooks || newest == seen.reported {
		return
	}
	seen.reported = newest
	n.log.Emit(observe.ConfigBehind, observe.Int64("version", int64(n.ConfigVersion())), observe.Int64("newest", int64(newest)))
}
