package proof

import (
	"context"
	"slices"
	"sync"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/node"
	"pollengauge.dev/node/testing/memnet"
	"pollengauge.dev/standin"
)

// MemberSpec describes a node and its upstream.
type MemberSpec struct {
	Host    string
	Service string
	Zone    string
	Slots   int
	// Adjust changes the node's settings before it starts.
	Adjust func(*node.Settings)
}

// Member is a running node with its upstream.
type Member struct {
	MemberSpec
	Node     *node.Node
	Upstream *Upstream
}

// Cluster is a set of nodes with their upstreams on one in-memory network.
type Cluster struct {
	Net    *memnet.Network
	Store  *standin.Memory
	Ledger *Ledger

	mu       sync.Mutex
	members  map[string]*Member
	stopping sync.WaitGroup
}

// NewCluster returns a cluster without members.
func NewCluster() *Cluster {
	return &Cluster{
		Net:     memnet.New(),
		Store:   standin.NewMemory(),
		Ledger:  newLedger(),
		members: make(map[string]*Member),
	}
}

// gossipInterval is shorter than a node's default because a test cluster runs
// for only a few seconds.
const gossipInterval = 200 * time.Millisecond

// Start starts a node and its upstream on a host where no node runs.
func (c *Cluster) Start(spec MemberSpec) (*Member, error) {
	host := c.Net.Host(spec.Host)
	settings := node.DefaultSettings()
	settings.Service = spec.Service
	settings.Network = host
	settings.Store = &pausedStore{store: c.Store, net: c.Net, host: spec.Host}
	settings.Peers = c.gossipAddrs()
	settings.GossipInterval = gossipInterval
	settings.DrainTimeout = 10 * time.Second
	if spec.Zone != "" {
		settings.Zone = spec.Zone
	}
	if spec.Adjust != nil {
		spec.Adjust(&settings)
	}
	n, err := node.New(settings)
	if err != nil {
		return nil, err
	}
	if err := n.Start(context.Background()); err != nil {
		return nil, err
	}
	up, err := startUpstream(c.Net, spec.Host, spec.Service, c.Ledger, n.Addr("outbound"))
	if err != nil {
		n.Close()
		return nil, err
	}
	m := &Member{MemberSpec: spec, Node: n, Upstream: up}
	c.mu.Lock()
	c.members[spec.Host] = m
	c.mu.Unlock()
	return m, n.Announce(node.Announcement{
		Service:    spec.Service,
		Addr:       up.addr,
		Slots:      spec.Slots,
		ShedStatus: ShedStatus,
	})
}

func (c *Cluster) gossipAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addrs []string
	for _, m := range c.members {
		addrs = append(addrs, m.Node.Addr("gossip"))
	}
	slices.Sort(addrs)
	return addrs
}

// Member returns the member that runs on a host, or nil if there is none.
func (c *Cluster) Member(host string) *Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[host]
}

// Hosts returns the hosts with a running node in sorted order.
func (c *Cluster) Hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []string
	for host := range c.members {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// remove removes a member from the running members and returns it.
func (c *Cluster) remove(host string) (*Member, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[host]
	if m == nil {
		return nil, &UnknownMemberError{Host: host}
	}
	delete(c.members, host)
	return m, nil
}

// Kill stops a node and its upstream abruptly, as when the VM is lost.
func (c *Cluster) Kill(host string) error {
	m, err := c.remove(host)
	if err != nil {
		return err
	}
	c.Ledger.SetDraining(host, false)
	c.Net.Kill(host)
	c.Net.Thaw(host)
	c.stopping.Go(func() {
		m.Upstream.close()
		m.Node.Close()
	})
	return nil
}

// SetDraining starts or cancels a drain of a host's node.
func (c *Cluster) SetDraining(host string, draining bool) error {
	m := c.Member(host)
	if m == nil {
		return &UnknownMemberError{Host: host}
	}
	// The ledger's record of the drain is deleted first: the node may accept calls
	// as soon as its drain is cancelled, and they must not count as violations.
	if !draining {
		c.Ledger.SetDraining(host, false)
	}
	m.Node.SetDraining(draining)
	if draining {
		c.Ledger.SetDraining(host, true)
	}
	return nil
}

// Exit drains a node, shuts it down gracefully, and then stops its upstream. The
// channel receives the result of the drain.
func (c *Cluster) Exit(ctx context.Context, host string) (<-chan error, error) {
	m, err := c.remove(host)
	if err != nil {
		return nil, err
	}
	ended := make(chan error, 1)
	c.stopping.Go(func() {
		c.Ledger.SetDraining(host, true)
		err := m.Node.Drain(ctx)
		c.Ledger.SetDraining(host, false)
		m.Upstream.close()
		ended <- err
	})
	return ended, nil
}

// Apply writes a configuration to the platform's store, from which the nodes
// receive it.
func (c *Cluster) Apply(ctx context.Context, set config.Set, opts config.ApplyOptions) (config.Result, error) {
	opts.Now = time.Now()
	return config.Apply(ctx, c.Store, set, opts)
}

// Watch records in the ledger the configuration version that each node has in
// force.
func (c *Cluster) Watch() {
	for _, host := range c.Hosts() {
		if m := c.Member(host); m != nil {
			c.Ledger.Version(m.Node.ID(), m.Node.Status().ConfigVersion)
		}
	}
}

// Close heals the network, kills all members and waits until they have stopped.
func (c *Cluster) Close() {
	c.Net.HealAll()
	for _, host := range c.Hosts() {
		_ = c.Kill(host)
	}
	c.stopping.Wait()
}
