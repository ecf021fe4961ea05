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

// bootstrapKind is the kind of the platform objects that name nodes to join. There are
// at most maxBootstraps of them. bootstrapTimeout bounds the platform calls that read
// them, or the configuration, at the start of a node.
const (
	bootstrapKind    = "pollengauge-bootstrap"
	maxBootstraps    = 8
	bootstrapTimeout = 3 * time.Second
)

// seeds returns gossip addresses to join: the peers in the settings and, if the
// platform responds, the addresses in its bootstrap objects. An unavailable platform is
// no error as long as the settings name a peer.
func (n *Node) seeds(ctx context.Context) ([]string, error) {
	addrs := slices.Clone(n.settings.Peers)
	if n.store == nil {
		return addrs, nil
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
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
			n.readStoredFleetSize(o)
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

// isAddress reports whether the value of a bootstrap object is an address to join.
// Another program may have stored any other value there.
func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || !call.ValidToken(host, maxHostLength) || strings.ContainsAny(host, `"{}[],/`) {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// maxHostLength is the maximum length of a host name (RFC 1035), in bytes.
const maxHostLength = 253

// offerBootstrap stores this node's address in a bootstrap object: in a free place, or
// in a place whose node is known to be gone. It does not matter which node has a place,
// so a write that loses a race is not repeated.
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
		// A place without a valid address is free. Otherwise eight such objects would
		// prevent two starting nodes from ever finding each other.
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
