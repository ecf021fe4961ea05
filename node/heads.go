package node

import (
	"errors"
	"net"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/headread"
	"pollengauge.dev/observe"
)

const (
	// toolHeadBytes is the limit of a head where only operators, platforms and the upstream
	// send requests.
	toolHeadBytes = 16 << 10
	// minPeerHead is the least limit of a head from another node. That node may have a later
	// configuration with a higher limit.
	minPeerHead = 128 << 10
	// forwardedGrowth bounds how much longer a caller's head is in the form in which nodes
	// forward it: a field of three bytes may grow to five.
	forwardedGrowth = 2
	// guardedHeadBytes is how far a head may exceed the node's own limit where guard answers
	// it with a reason.
	guardedHeadBytes = 3 * nodeHeaderBytes
)

// headConfig returns how the heads of requests are read on a listener.
func (n *Node) headConfig(listener Listener) headread.Config {
	return headread.Config{
		Limits:  func() headread.Limits { return n.headLimits(listener) },
		Budget:  n.headBudget,
		Refused: func(r headread.Refusal) { n.noteRefusedHead(listener, r) },
	}
}

// headLimits returns the limits in force for heads on a listener.
func (n *Node) headLimits(listener Listener) headread.Limits {
	own := headread.Limits{Bytes: n.settings.MaxHeaderBytes + guardedHeadBytes, Timeout: readHeaderTimeout - headread.LastLook}
	inForce := n.config.Current().Limits()
	stated := inForce.HeaderBytes
	if inForce.HeaderTimeout > 0 && n.forCallers(listener) {
		own.Timeout = time.Duration(inForce.HeaderTimeout)
	}
	switch {
	case listener == AdminListener:
		own.Bytes = min(own.Bytes, toolHeadBytes)
	case !n.usesDialect():
	case n.forCallers(listener):
		own.Bytes = n.settings.MaxHeaderBytes
		if stated > 0 {
			own.Bytes = min(own.Bytes, stated)
		}
	case stated > 0:
		own.Bytes = min(n.settings.MaxHeaderBytes, max(forwardedGrowth*stated, minPeerHead)) + guardedHeadBytes
	}
	return own
}

// longestHead returns the time after which net/http itself gives a head up on l.
func (n *Node) longestHead(l Listener) time.Duration {
	if n.forCallers(l) {
		return time.Duration(config.MaxHeaderTimeout)
	}
	return readHeaderTimeout
}

// noteRefusedHead logs and counts a head that was refused before it was parsed.
func (n *Node) noteRefusedHead(listener Listener, r headread.Refusal) {
	event := observe.HeadRefused
	if errors.As(r, new(*headread.TooLargeError)) {
		event = observe.TooLarge
	}
	n.log.Emit(event, observe.Str("listener", string(listener)), observe.Err(r))
	n.metrics.HeadsRefused.With(r.Reason()).Inc(1)
}

// GuardHeads returns a listener for a server beside the node's own ones, at which only tools send
// requests. It accepts at most limit connections of l at a time, and reads their heads as on the
// admin listener. The functions of the server's ConnState must include headread.ConnState.
func (n *Node) GuardHeads(l net.Listener, limit int) net.Listener {
	return headread.NewListener(limitListener(l, limit, &n.lingering), limit, n.headConfig(AdminListener))
}
