package upstream

import (
	"net"

	"golang.org/x/net/netutil"
)

// newBoundedListener returns a listener that has at most limit connections open
// at once; 0 means no limit.
func newBoundedListener(l net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return l
	}
	return netutil.LimitListener(l, limit)
}
