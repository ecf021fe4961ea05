// Package zonenet is the in-memory network of a deployment: hosts in
// availability zones, with the distance between zones and the cost of a new
// connection. It runs in virtual time.
package zonenet

import (
	"context"
	"net"
	"strings"
	"time"

	"pollengauge.dev/node/testing/memnet"
)

// Distances are what a message and a new connection cost.
type Distances struct {
	// Zone is the one-way delay between two zones. Within one there is none.
	Zone time.Duration
	// Connect is what a new connection to another host costs.
	Connect time.Duration
	// Client is a host outside all zones, to which there is no delay. It may be
	// empty.
	Client string
}

// Network is a memnet.Network with distances.
type Network struct {
	*memnet.Network
	distances Distances
}

// New returns an empty network.
func New(d Distances) *Network {
	n := &Network{Network: memnet.New(), distances: d}
	n.SetDelay(n.Delay)
	return n
}

// HostName names a host of a zone.
func HostName(name, zone string) string { return name + "." + zone }

// Delay is the one-way delay from one host to another. Hosts are named as by
// HostName.
func (n *Network) Delay(from, to string) time.Duration {
	client := n.distances.Client
	if client != "" && (from == client || to == client) || zoneOf(from) == zoneOf(to) {
		return 0
	}
	return n.distances.Zone
}

func zoneOf(host string) string {
	_, zone, _ := strings.Cut(host, ".")
	return zone
}

// Host is the network as one host sees it.
type Host struct {
	*memnet.Host
	name    string
	connect time.Duration
}

// Host returns the host of that name.
func (n *Network) Host(name string) *Host {
	return &Host{Host: n.Network.Host(name), name: name, connect: n.distances.Connect}
}

// Dial implements node.Network.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if !strings.HasPrefix(addr, h.name+":") {
		time.Sleep(h.connect)
	}
	return h.Host.Dial(ctx, addr)
}

// DialContext has the signature that http.Transport wants.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return h.Dial(ctx, addr)
}
