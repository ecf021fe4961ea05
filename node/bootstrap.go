package node

import (
	"context"
	"math/rand/v2"
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
//
// A node that starts reads these objects with relaxed reads, whose cost is a tenth of an
// exact one. Exact calls are made by the few nodes that nominate themselves while no
// address is stored, by nodes that could not join, and by the first members in the order
// of watchRank, which keep the objects up to date. Their number does not grow with the
// fleet.
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
	found, err := n.findBootstraps(ctx, len(addrs) == 0)
	if err != nil {
		if len(addrs) > 0 {
			return addrs, nil
		}
		n.log.Emit(observe.BootstrapFailed, observe.Err(err))
		return nil, err
	}
	return append(addrs, n.bootstrapAddrs(found)...), nil
}

// findBootstraps reads the bootstrap objects. While a node that starts finds no address of
// another node, it repeats the relaxed read and nominates itself with increasing
// probability. A node that could not join through the stored addresses, and finds no new
// ones, makes an exact read and offers its own address in any case.
func (n *Node) findBootstraps(ctx context.Context, nominate bool) ([]objects.Object, error) {
	if n.gossip.Stats().Alive > 1 {
		return n.keepBootstraps(ctx)
	}
	for round := 0; ; round++ {
		found, err := objects.ListRelaxed(ctx, n.store, bootstrapKind, "")
		if err != nil {
			return nil, err
		}
		others := n.otherAddrs(found)
		tried := n.triedSeeds.Swap(&others)
		if tried != nil && round == 0 && !addsTo(*tried, others) {
			return n.offerExactly(ctx)
		}
		if !nominate || len(others) > 0 {
			return found, nil
		}
		if rand.Float64() < nominationProbability(round) {
			return n.offerExactly(ctx)
		}
		if !objects.Pause(ctx, nominationPause) {
			return found, nil
		}
	}
}

// offerExactly makes an exact read of the bootstrap objects, offers this node's address
// and returns the objects as read.
func (n *Node) offerExactly(ctx context.Context) ([]objects.Object, error) {
	found, _, err := n.store.List(ctx, bootstrapKind, "")
	if err == nil {
		n.offerBootstrap(ctx, found)
	}
	return found, err
}

// otherAddrs returns the addresses of other nodes that the objects name.
func (n *Node) otherAddrs(found []objects.Object) (addrs []string) {
	own := n.gossipAddr()
	for _, o := range found {
		if o.Name != fleetSizeName && string(o.Value) != own && isAddress(string(o.Value)) {
			addrs = append(addrs, string(o.Value))
		}
	}
	return addrs
}

// addsTo reports whether an address in found is not in known.
func addsTo(known, found []string) bool {
	return slices.ContainsFunc(found, func(addr string) bool { return !slices.Contains(known, addr) })
}

// bootstrapAddrs returns the addresses that the objects name, and reads the stored size
// of the fleet.
func (n *Node) bootstrapAddrs(found []objects.Object) (addrs []string) {
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
	return addrs
}

// keepBootstraps reads the bootstrap objects and offers this node's address if it is one
// of the first members in the order of watchRank. These members replace the addresses of
// nodes that are gone.
func (n *Node) keepBootstraps(ctx context.Context) ([]objects.Object, error) {
	found, err := objects.ListRelaxed(ctx, n.store, bootstrapKind, "")
	if err == nil && n.keepsBootstraps() {
		n.offerBootstrap(ctx, found)
	}
	return found, err
}

// keepsBootstraps reports whether this node is one of the members that keep the bootstrap
// objects up to date.
func (n *Node) keepsBootstraps() bool {
	return n.earlierMembers(func(membership.Member) bool { return true }) < maxBootstraps
}

// offerOnceSettled offers this node's address, if it is to be stored, as soon as this node
// knows the members.
func (n *Node) offerOnceSettled(ctx context.Context) {
	if !n.keepsBootstraps() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	if _, err := n.keepBootstraps(ctx); err != nil {
		n.log.Emit(observe.BootstrapFailed, observe.Err(err))
	}
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
		if o.Name == fleetSizeName {
			continue
		}
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
