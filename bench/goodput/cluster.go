package goodput

import (
	"context"
	"sync"
	"time"

	"pollengauge.dev/bench/internal/zonenet"
	"pollengauge.dev/config"
	"pollengauge.dev/demo"
	"pollengauge.dev/demo/baseline"
	"pollengauge.dev/demo/upstream"
	"pollengauge.dev/node"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

const (
	// gossipInterval is shorter than usual, so that setting up is short.
	gossipInterval = 200 * time.Millisecond
	// announceInterval is how often upstreams tell their node of their load.
	announceInterval = 500 * time.Millisecond
	// joinTime lets membership and configuration spread.
	joinTime = 3 * time.Second
	// endTime lets what is still asleep see that all is closed: a bubble must
	// not end before its goroutines.
	endTime = 5 * time.Second
	// plainTimeout bounds one attempt of a plain forwarder.
	plainTimeout = time.Second
)

// clientHost is where the load comes from. The load adds its own delay.
const clientHost = "client"

// reporting is how the replicas of a service report their load: the first
// honestly, the second late, the third claims to be idle.
var reporting = []upstream.Reporting{{Factor: 1}, {Factor: 1, Lag: 2 * time.Second}, {Factor: 0}}

// vm is one VM: the upstream and the process beside it.
type vm struct {
	service  string
	upstream *upstream.Server
	node     *node.Node
	plain    *baseline.Forwarder
}

// cluster is a whole deployment.
type cluster struct {
	deployment *demo.Deployment
	system     System
	network    *zonenet.Network
	store      objects.Store
	registry   *baseline.Registry
	ledger     *upstream.Ledger
	vms        []*vm
	edges      map[string][]string
	stop       chan struct{}
	ending     sync.WaitGroup
}

func newCluster(ctx context.Context, d *demo.Deployment, s System, set config.Set, seed uint64) (*cluster, error) {
	c := &cluster{
		deployment: d,
		system:     s,
		network:    zonenet.New(zonenet.Distances{Zone: d.ZoneDelay, Connect: d.ConnectDelay, Client: clientHost}),
		store:      standin.NewMemory(),
		registry:   baseline.NewRegistry(),
		ledger:     upstream.NewLedger(),
		edges:      make(map[string][]string),
		stop:       make(chan struct{}),
	}
	if _, err := config.Apply(ctx, c.store, set, config.ApplyOptions{Author: "bench"}); err != nil {
		return nil, err
	}
	for _, service := range d.Services {
		for replica := range service.Replicas {
			if err := c.boot(ctx, service, replica, seed); err != nil {
				c.close()
				return nil, err
			}
		}
	}
	time.Sleep(joinTime)
	return c, nil
}

// boot starts one VM.
func (c *cluster) boot(ctx context.Context, service demo.Service, replica int, seed uint64) error {
	zone := c.deployment.Zones[replica%len(c.deployment.Zones)]
	host := c.network.Host(zonenet.HostName(service.Name, zone))
	u, err := upstream.New(upstream.Settings{
		Service:     service.Name,
		Replica:     replica,
		Workers:     max(1, service.Slots/c.deployment.Scale),
		Connections: max(1, service.Connections/c.deployment.Scale),
		Graph:       c.deployment.Graph,
		Ledger:      c.ledger,
		Seed:        seed + uint64(len(c.vms)),
		Network:     host,
	})
	if err != nil {
		return err
	}
	u.SetReporting(reporting[replica%len(reporting)])
	v := &vm{service: service.Name, upstream: u}
	c.vms = append(c.vms, v)
	if c.system.Limiter != nil {
		return c.forward(v, host)
	}
	return c.attach(ctx, v, host, zone)
}

// forward starts a plain forwarder beside v.
func (c *cluster) forward(v *vm, host *zonenet.Host) error {
	f, err := baseline.Start(baseline.Settings{
		Service:        v.service,
		Upstream:       v.upstream.Addr(),
		Registry:       c.registry,
		Limiter:        c.system.Limiter(v.upstream.Workers(), v.upstream.Connections()),
		Attempts:       c.system.Attempts,
		AttemptTimeout: plainTimeout,
		Listen:         host.Listen,
		Dial:           host.DialContext,
		DialLocal:      host.DialContext,
	})
	if err != nil {
		return err
	}
	v.plain = f
	v.upstream.SetOutbound(f.Outbound())
	c.edges[v.service] = append(c.edges[v.service], f.Edge())
	return nil
}

// attach starts a node beside v.
func (c *cluster) attach(ctx context.Context, v *vm, host *zonenet.Host, zone string) error {
	settings := node.DefaultSettings()
	settings.Service = v.service
	settings.Zone = zone
	settings.Region = c.deployment.Region
	settings.Slots = v.upstream.Workers()
	settings.UpstreamConns = v.upstream.Connections()
	settings.Store = c.store
	settings.Network = host
	settings.GossipInterval = gossipInterval
	settings.Ablate = c.system.Ablate
	settings.NeutralHeaders = []string{upstream.HeaderOperation}
	for _, other := range c.vms {
		if other.node != nil {
			settings.Peers = []string{other.node.Addr("gossip")}
			break
		}
	}
	n, err := node.New(settings)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	v.node = n
	v.upstream.SetOutbound(n.Addr("outbound"))
	c.edges[v.service] = append(c.edges[v.service], n.Addr("edge"))
	if err := n.Announce(announcement(v)); err != nil {
		return err
	}
	c.ending.Go(func() { c.keepAnnouncing(v) })
	return nil
}

func announcement(v *vm) node.Announcement {
	return node.Announcement{
		Service:     v.service,
		Addr:        v.upstream.Addr(),
		Slots:       v.upstream.Workers(),
		Connections: v.upstream.Connections(),
		ShedStatus:  upstream.ShedStatus,
		Load:        v.upstream.Load(),
	}
}

// keepAnnouncing tells the node of the upstream's load.
func (c *cluster) keepAnnouncing(v *vm) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-tick.C:
		}
		_ = v.node.Announce(announcement(v))
	}
}

func (c *cluster) close() {
	close(c.stop)
	c.ending.Wait()
	for _, v := range c.vms {
		if v.node != nil {
			v.node.Close()
		}
		if v.plain != nil {
			v.plain.Close()
		}
		v.upstream.Close()
	}
	time.Sleep(endTime)
}
