package control

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"pollengauge.dev/membership"
	"pollengauge.dev/node"
	"pollengauge.dev/objects"
	platformstore "pollengauge.dev/platform/store"
)

// The design's deployment: services are spread evenly over the zones.
const (
	services = 25
	zones    = 6
	// regionZones is the number of zones in one region.
	regionZones = 3
	slots       = 300
	cutZone     = "zone-0"
	// noUpstream is announced as the upstream's address. Nothing calls it.
	noUpstream = "127.0.0.1:1"
	pollStep   = 20 * time.Millisecond
)

// member is one node of the fleet.
type member struct {
	*node.Node
	host *host
}

// fleet is a number of nodes and their platform.
type fleet struct {
	fabric *fabric
	// store is this process's platform, also when others are joined.
	store  *store
	client *objects.Client
	// join is the fleet of another process, empty if there is none.
	join Join
	// started counts the nodes ever started, which places the next one.
	started int

	// mu guards what the sampler reads.
	mu      sync.Mutex
	members []*member
	// gone are the nodes that left or were killed. Their counts stay in the
	// sums: a node that leaves spends most on the way out.
	gone []*member
}

func newFleet(cfg Config) (*fleet, error) {
	store, err := startStore()
	if err != nil {
		return nil, err
	}
	endpoint := store.url
	if cfg.Join.Platform != "" {
		endpoint = cfg.Join.Platform
	}
	// The client is an operator's.
	client, err := platformstore.New(objects.Options{Endpoint: endpoint})
	if err != nil {
		store.close()
		return nil, &FleetError{Step: "client", Cause: err}
	}
	return &fleet{
		fabric: newFabric(cfg.InMemory),
		store:  store,
		client: client,
		join:   cfg.Join,
	}, nil
}

// start starts count nodes, one right after the other.
func (f *fleet) start(ctx context.Context, count int) error {
	for range count {
		if err := f.startOne(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startOne(ctx context.Context) error {
	place := f.started
	f.started++
	zone := place % zones
	s := node.DefaultSettings()
	s.Service = "service-" + strconv.Itoa(place%services)
	s.Zone = "zone-" + strconv.Itoa(zone)
	s.Region = "region-" + strconv.Itoa(zone/regionZones)
	s.OpenPlatform = platformstore.Open
	s.PlatformURL = f.store.url
	if f.join.Gossip != "" {
		s.PlatformURL = f.join.Platform
		s.Peers = []string{f.join.Gossip}
	}
	h := f.fabric.host(s.Zone)
	s.Network = h
	n, err := node.New(s)
	if err != nil {
		return &FleetError{Step: "settings", Cause: err}
	}
	if err := n.Start(ctx); err != nil {
		return &FleetError{Step: "start", Cause: err}
	}
	f.mu.Lock()
	f.members = append(f.members, &member{Node: n, host: h})
	f.mu.Unlock()
	if err := n.Announce(node.Announcement{Service: s.Service, Addr: noUpstream, Slots: slots}); err != nil {
		return &FleetError{Step: "announce", Cause: err}
	}
	return nil
}

// take removes the last count members from the list.
func (f *fleet) take(count int) []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	rest := len(f.members) - count
	taken := f.members[rest:]
	f.members = f.members[:rest:rest]
	f.gone = append(f.gone, taken...)
	return taken
}

// kill ends a node as when its VM is lost.
func (f *fleet) kill(m *member) {
	f.fabric.lose(m.host)
	m.Close()
}

// leave ends nodes gracefully, all at once.
func leave(ctx context.Context, members []*member) {
	var group sync.WaitGroup
	for _, m := range members {
		// What Drain returns is of no importance: there are no calls in flight.
		group.Go(func() { _ = m.Drain(ctx) })
	}
	group.Wait()
}

func (f *fleet) close() {
	var group sync.WaitGroup
	for _, m := range f.members {
		group.Go(m.Close)
	}
	group.Wait()
	f.client.Close()
	f.store.close()
}

// await waits until every member satisfies the condition, which stays true
// once it is. It reports how long that took, and whether it came to pass
// within limit.
func (f *fleet) await(ctx context.Context, since time.Time, limit time.Duration, condition func(*member) bool) (time.Duration, bool) {
	ctx, cancel := context.WithDeadline(ctx, since.Add(limit))
	defer cancel()
	waiting := f.members
	for {
		var left []*member
		for _, m := range waiting {
			if !condition(m) {
				left = append(left, m)
			}
		}
		if waiting = left; len(waiting) == 0 {
			return time.Since(since), true
		}
		select {
		case <-ctx.Done():
			return time.Since(since), false
		case <-time.After(pollStep):
		}
	}
}

// awaitOne waits until one member satisfies the condition, or limit is over.
func (f *fleet) awaitOne(ctx context.Context, limit time.Duration, condition func(*member) bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !slices.ContainsFunc(f.members, condition) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// sees is the condition that a node knows count members, itself included.
func sees(count int) func(*member) bool {
	return func(m *member) bool { return m.GossipStats().Alive == count }
}

// holds is the condition that a node believes all of ids to be in a state.
func holds(state membership.State, ids ...string) func(*member) bool {
	return func(m *member) bool {
		for _, id := range ids {
			if _, is, known := m.Member(id); !known || is != state {
				return false
			}
		}
		return true
	}
}

func both(first, second func(*member) bool) func(*member) bool {
	return func(m *member) bool { return first(m) && second(m) }
}

func idsOf(members []*member) []string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID()
	}
	return ids
}
