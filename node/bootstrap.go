package node

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// bootstrapKind is the kind of the few objects that name nodes to join.
const (
	bootstrapKind = "pollengauge-bootstrap"
	maxBootstraps = 8
	bootstrapTime = 3 * time.Second
)

// seeds returns gossip addresses to join: the settings' peers and, if it
// answers, the platform's few bootstrap objects. The platform being down is no
// failure as long as one peer is known.
func (n *Node) seeds(ctx context.Context) ([]string, error) {
	addrs := slices.Clone(n.settings.Peers)
	if n.store == nil {
		return addrs, nil
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTime)
	defer cancel()
	found, _, err := n.store.List(ctx, bootstrapKind, "")
	if err != nil {
		if len(addrs) > 0 {
			return addrs, nil
		}
		n.log.Emit(observe.BootstrapFailed, observe.Err(err))
		return nil, err
	}
	var unreadable int
	for _, o := range found {
		if o.Name == fleetSizeName {
			n.heardFleetSize(o)
			continue
		}
		if !isAddress(string(o.Value)) {
			unreadable++
			continue
		}
		addrs = append(addrs, string(o.Value))
	}
	if unreadable > 0 {
		n.log.Emit(observe.BootstrapForeign, observe.Int("objects", unreadable))
	}
	n.offerBootstrap(ctx, slices.DeleteFunc(found, func(o objects.Object) bool { return o.Name == fleetSizeName }))
	return addrs, nil
}

// isAddress tells whether an object names a place to join. Another writer may
// have left anything there.
func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || !call.ValidToken(host, maxHostLength) || strings.ContainsAny(host, `"{}[],/`) {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// maxHostLength is the longest name of a host (RFC 1035), in bytes.
const maxHostLength = 253

// offerBootstrap puts this node's address among the bootstrap objects: into a
// free place, or over one whose node is known to be gone. Which node holds a
// place is of no importance, so a lost race is left lost.
func (n *Node) offerBootstrap(ctx context.Context, found []objects.Object) {
	own := n.gossipAddr()
	taken := make(map[string]objects.Object, len(found))
	for _, o := range found {
		if string(o.Value) == own {
			return
		}
		taken[o.Name] = o
	}
	for place := range maxBootstraps {
		name := "place-" + string(rune('0'+place))
		o, ok := taken[name]
		if !ok {
			_, _ = n.store.Create(ctx, bootstrapKind, name, []byte(own))
			return
		}
		// A place that holds no address is free: eight of them would keep two nodes
		// that start from ever finding each other.
		free := !isAddress(string(o.Value))
		if free || (!n.gossipAddrAlive(string(o.Value)) && n.gossip.Stats().Alive > 1) {
			o.Value = []byte(own)
			_, _ = n.store.Update(ctx, o)
			return
		}
	}
}

func (n *Node) gossipAddrAlive(addr string) bool {
	return slices.ContainsFunc(n.gossip.Members(), func(m membership.Member) bool { return m.GossipAddr == addr })
}
