package admission

import "time"

// WorkKind is a kind of work that a node is about to begin.
type WorkKind uint8

const (
	// NewRequest is a request from a caller.
	NewRequest WorkKind = iota
	// PeerCall is a call sent by another node, which can send it elsewhere
	// instead.
	PeerCall
)

// Lags of a node's own work above which the node refuses new work.
const (
	// maxNewRequestLag is well above the pauses caused by garbage collection and
	// by a CPU quota, which last up to a tenth of a second.
	maxNewRequestLag = 200 * time.Millisecond
	// maxPeerCallLag is higher, because the request of a peer's call has already
	// done work.
	maxPeerCallLag = 400 * time.Millisecond
)

// ShouldRefuse reports whether a node should refuse a piece of work, given the lag
// with which the node currently does its own work.
//
// Load pattern: a VM has too little CPU for its load, as in a surge or on an
// oversubscribed host. Each request is read late, so that its caller may
// already be gone, but it is forwarded all the same. The backlog grows, and the
// work that is done is useless. Refusing a request costs a fraction of
// forwarding it, so that the node catches up.
func ShouldRefuse(lag time.Duration, work WorkKind) bool {
	if work == PeerCall {
		return lag > maxPeerCallLag
	}
	return lag > maxNewRequestLag
}
