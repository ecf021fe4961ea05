package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/demo/upstream"
	"pollengauge.dev/node"
	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
	"pollengauge.dev/standin"
)

const (
	// gossipInterval is shorter than usual because the phases of the demo are
	// short.
	gossipInterval = 200 * time.Millisecond
	// announceInterval is the interval at which upstreams report their load to
	// their node.
	announceInterval = 500 * time.Millisecond
	// drainTimeout is the longest time that a node waits for a drain.
	drainTimeout = 10 * time.Second
	// author is the recorded author of configuration changes.
	author = "demo"
)

// nodeFabric is the fabric of pollengauge: calls go through its nodes.
type nodeFabric struct {
	deployment  *Deployment
	delays      *delays
	platform    *standin.Server
	platformURL string
	ablation    node.Ablation
	edgeList    *edgeList
	stop        context.CancelFunc
	ctx         context.Context

	mu              sync.Mutex
	nodes           map[*vm]*node.Node
	firstGossipAddr string
}

// newNodeFabric starts the stand-in of the platform and applies the deployment's
// profiles to it.
func newNodeFabric(ctx context.Context, d *Deployment, set config.Set, ablate node.Ablation) (*nodeFabric, error) {
	n := &nodeFabric{
		deployment: d,
		delays:     newDelays(d.ZoneDelay, d.ConnectDelay),
		platform:   standin.New(standin.Options{}),
		ablation:   ablate,
		edgeList:   newEdgeList(),
		nodes:      map[*vm]*node.Node{},
	}
	addr, err := n.platform.Start("127.0.0.1:0")
	if err != nil {
		return nil, &StartError{Part: "platform", Err: err}
	}
	n.platformURL = "http://" + addr
	n.ctx, n.stop = context.WithCancel(ctx)
	if _, err := n.apply(ctx, set, 0); err != nil {
		n.close()
		return nil, &StartError{Part: "profiles", Err: err}
	}
	return n, nil
}

// apply stores set on the platform as the version after expected. It fails if
// the platform holds another version.
func (n *nodeFabric) apply(ctx context.Context, set config.Set, expected uint64) (config.Result, error) {
	return config.Apply(ctx, n.platform, set, config.ApplyOptions{ExpectVersion: expected, Author: author, Now: time.Now()})
}

// change edits the set in force as an operator does: it reads the set, changes
// it and applies it on condition that nobody else has changed it meanwhile. It
// returns the new version.
func (n *nodeFabric) change(ctx context.Context, edit Edit) (uint64, error) {
	document, err := config.Read(ctx, n.platform)
	if err != nil {
		return 0, err
	}
	changed, err := edit.apply(document.Set)
	if err != nil {
		return 0, err
	}
	result, err := n.apply(ctx, changed, document.Set.Version)
	return result.Version, err
}

func (n *nodeFabric) attach(ctx context.Context, v *vm) error {
	started, err := node.New(n.settings(v))
	if err != nil {
		return &StartError{Part: "node of " + v.service.Name, Err: err}
	}
	if err := started.Start(ctx); err != nil {
		return &StartError{Part: "node of " + v.service.Name, Err: err}
	}
	n.mu.Lock()
	n.nodes[v] = started
	if n.firstGossipAddr == "" {
		n.firstGossipAddr = started.Addr("gossip")
	}
	n.mu.Unlock()
	n.delays.setZone(started.Addr("peer"), v.zone)
	v.upstream.SetOutbound(started.Addr("outbound"))
	if err := n.announce(ctx, v, started); err != nil {
		return &StartError{Part: "upstream of " + v.service.Name, Err: err}
	}
	go n.announceRepeatedly(v, started)
	n.edgeList.add(v.service.Name, started.Addr("edge"))
	return nil
}

// settings returns the settings of the node beside v.
func (n *nodeFabric) settings(v *vm) node.Settings {
	settings := node.DefaultSettings()
	settings.Service = v.service.Name
	settings.Zone = v.zone
	settings.Region = n.deployment.Region
	settings.Slots = v.upstream.Workers()
	settings.UpstreamConns = v.upstream.Connections()
	settings.PlatformURL, settings.OpenPlatform = n.platformURL, store.Open
	settings.GossipInterval = gossipInterval
	settings.DrainTimeout = drainTimeout
	settings.Network = &zoneNetwork{delays: n.delays, zone: v.zone}
	// The stamp differs on each attempt. Nodes assume that a custom header
	// influences the answer, so without this setting no stored answer would
	// ever match.
	settings.NeutralHeaders = []string{upstream.HeaderOperation}
	settings.Ablate = n.ablation
	if n.firstGossipAddr != "" {
		settings.Peers = []string{n.firstGossipAddr}
	}
	return settings
}

// announceRepeatedly announces the upstream to its node at regular intervals until
// the VM is removed or the fabric is closed.
func (n *nodeFabric) announceRepeatedly(v *vm, to *node.Node) {
	for n.ctx.Err() == nil && n.node(v) == to {
		_ = n.announce(n.ctx, v, to)
		objects.Pause(n.ctx, announceInterval)
	}
}

// announce sends the upstream's address, limits and load to its node, as any
// upstream does.
func (n *nodeFabric) announce(ctx context.Context, v *vm, to *node.Node) error {
	body, err := json.Marshal(node.Announcement{
		Service:     v.service.Name,
		Addr:        v.upstream.Addr(),
		Slots:       v.upstream.Workers(),
		Connections: v.upstream.Connections(),
		ShedStatus:  upstream.ShedStatus,
		Load:        v.upstream.Load(),
	})
	if err != nil {
		return err
	}
	url := "http://" + to.Addr("admin") + node.PathAnnounce
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &ReadyError{System: v.service.Name, Reason: "announcement failed with status " + strconv.Itoa(resp.StatusCode)}
	}
	return nil
}

// node returns the node beside v, or nil if it has been removed.
func (n *nodeFabric) node(v *vm) *node.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[v]
}

// removeNode removes the node beside v from the list of nodes and returns it.
func (n *nodeFabric) removeNode(v *vm) *node.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	gone := n.nodes[v]
	delete(n.nodes, v)
	return gone
}

// versions returns the configuration version of every node.
func (n *nodeFabric) versions() map[*node.Node]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	versions := make(map[*node.Node]uint64, len(n.nodes))
	for _, running := range n.nodes {
		versions[running] = running.Status().ConfigVersion
	}
	return versions
}

func (n *nodeFabric) edges(service string) []string { return n.edgeList.addrsOf(service) }

func (n *nodeFabric) outbound(v *vm) string { return n.node(v).Addr("outbound") }

func (n *nodeFabric) mintPath() string { return node.KeyPath }

func (n *nodeFabric) close() {
	n.stop()
	n.mu.Lock()
	nodes := n.nodes
	n.nodes = map[*vm]*node.Node{}
	n.mu.Unlock()
	var group sync.WaitGroup
	for _, running := range nodes {
		group.Go(running.Close)
	}
	group.Wait()
	_ = n.platform.Close()
}
