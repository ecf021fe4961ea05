package node

import "pollengauge.dev/observe"

// noteStored records which configuration version the platform stores, if it can be
// read.
func (n *Node) noteStored(version uint64, readable bool) {
	n.storedUnreadable.Store(!readable)
	if readable {
		n.storedVersion.Store(version)
		n.renewStoredNotice()
	}
}

// renewStoredNotice renews the notice of a version that the platform stores and that is not
// in force here, for nodes that don't watch the platform.
func (n *Node) renewStoredNotice() {
	if version := n.storedVersion.Load(); version > n.ConfigVersion() {
		now := n.now()
		n.config.RecordVersionNotice(version, now, now)
	}
}

// configBehind reports whether a later configuration than the one in force is known to
// exist.
func (n *Node) configBehind() bool { return n.laterThan(n.ConfigVersion()) }

// laterThan reports whether a later configuration than version is known to exist, or
// the platform stores one of which not even the version can be read.
func (n *Node) laterThan(version uint64) bool {
	newest, _ := n.config.Newest(n.now())
	return n.storedUnreadable.Load() || newest > version
}

// behindSeen counts for how many consecutive checks a version has been missing here.
type behindSeen struct {
	looks int
	// reported is the version that was last reported as missing.
	reported uint64
}

// checksUntilBehind is the number of consecutive checks at which a version counts as
// missing. Until then it may still be on its way.
const checksUntilBehind = 3

// logConfigBehind logs, once for each version, that other nodes know a version that is
// not in force here.
//
// Nodes that watch the platform log a version that they refuse. All other nodes would
// use an old configuration and look like nodes that have the newest one.
func (n *Node) logConfigBehind() {
	seen := &n.changes.behind
	if !n.configBehind() {
		seen.looks = 0
		return
	}
	seen.looks++
	newest, _ := n.config.Newest(n.now())
	if seen.looks < checksUntilBehind || newest == seen.reported {
		return
	}
	seen.reported = newest
	n.log.Emit(observe.ConfigBehind, observe.Int64("version", int64(n.ConfigVersion())), observe.Int64("newest", int64(newest)))
}
