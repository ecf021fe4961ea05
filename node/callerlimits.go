package node

import (
	"net/http"
	"time"

	"pollengauge.dev/config"
)

// dialectIdleTimeout is how long an idle connection of a caller is kept open where a
// dialect is used and the configuration gives no time. Such callers open connections
// by the hundred, and abandoned ones hold file descriptors.
const dialectIdleTimeout = 15 * time.Second

// forCallers reports whether callers from outside use l.
func (n *Node) forCallers(l Listener) bool {
	return l == EdgeListener || (l == OutboundListener && n.usesDialect())
}

// limitCaller enforces the limits of the current configuration on a caller's request.
func (n *Node) limitCaller(w http.ResponseWriter, r *http.Request) error {
	limits := n.config.Current().Limits()
	// With a dialect, the limit is one of the head as sent, which the listener enforces.
	if limits.HeaderBytes > 0 && !n.usesDialect() {
		limit := n.headLimitOf(EdgeListener)
		limit.bytes = limits.HeaderBytes
		if err := limit.check(r); err != nil {
			return err
		}
	}
	if limits.BodyBytes == 0 {
		return nil
	}
	limit := int64(limits.BodyBytes)
	if r.ContentLength > limit {
		return &BodyLimitError{Got: r.ContentLength, Limit: limit}
	}
	if r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	return nil
}

// idleTimeout returns how long an idle connection of a caller is kept open.
func (n *Node) idleTimeout() time.Duration {
	limit := time.Duration(n.config.Current().Limits().IdleTimeout)
	switch {
	case limit > 0:
		return limit
	case n.usesDialect():
		return dialectIdleTimeout
	}
	return keepAliveTimeout
}

// longestIdle returns the idle timeout that net/http enforces on connections of l.
// Those of callers are closed earlier, by watchIdle.
func (n *Node) longestIdle(l Listener) time.Duration {
	if n.forCallers(l) {
		return time.Duration(config.MaxIdleTimeout)
	}
	return keepAliveTimeout
}

// pastDeadline is a deadline in the past, which ends a read at once.
var pastDeadline = time.Unix(1, 0)
