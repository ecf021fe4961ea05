package play

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pollengauge.dev/bench/experiment/workload"
	"pollengauge.dev/bench/internal/zonenet"
	"pollengauge.dev/config"
	"pollengauge.dev/node"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// Timing of a fleet.
const (
	announceInterval = 1500 * time.Millisecond
	joinPoll         = 500 * time.Millisecond
	// joinTimeout is for some hundred nodes.
	joinTimeout = 2 * time.Minute
	// learnTime lets configuration and announcements spread after the joining.
	learnTime = 3 * time.Second
	// endTime lets what is still asleep see that all is closed: a bubble must
	// not end before its goroutines.
	endTime = 10 * time.Second
	// seedPeers is how many of the first nodes the others ask for members.
	seedPeers = 3
)

// vm is one VM: an upstream with its node, and callers beside them.
type vm struct {
	service *workload.Service
	replica int
	// place counts the VMs of all services.
	place int
	zone  string
	host  *zonenet.Host
	// name is the host's.
	name string
	// life counts the starts of the VM.
	life int

	node     *node.Node
	upstream *server
	// callers is how callers on this VM reach its node.
	callers *http.Transport
	stop    context.CancelFunc
}

// fleet is all VMs of a workload.
type fleet struct {
	workload *workload.Workload
	set      config.Set
	network  *zonenet.Network
	store    objects.Store
	meter    *meter
	seed     uint64
	ending   sync.WaitGroup

	vms []*vm

	// mu guards the rest.
	mu sync.Mutex
	// up are the VMs on which callers are, by service.
	up    map[string][]*vm
	peers []string
	// delays has what is added to the ways of a host.
	delays map[string]time.Duration
}

// newFleet starts all VMs. stopped is as for Run.
func newFleet(ctx context.Context, w *workload.Workload, seed uint64, m *meter, stopped func() bool) (*fleet, error) {
	f := &fleet{
		workload: w,
		set:      configuration(w),
		network:  zonenet.New(zonenet.Distances{Zone: w.Network.ZoneDelay, Connect: w.Network.ConnectDelay}),
		store:    standin.NewMemory(),
		meter:    m,
		seed:     seed,
		up:       make(map[string][]*vm),
		delays:   make(map[string]time.Duration),
	}
	f.network.SetDelay(f.delay)
	err := f.start(ctx, stopped)
	if err == nil {
		err = f.join(ctx, stopped)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, stopped func() bool) error {
	for i := range f.workload.Services {
		s := &f.workload.Services[i]
		for replica := range s.Replicas {
			if stopped() {
				return &StoppedError{}
			}
			if err := f.add(ctx, s, replica); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) add(ctx context.Context, s *workload.Service, replica int) error {
	zone := "zone-" + strconv.Itoa(len(f.vms)%f.workload.Network.Zones)
	name := zonenet.HostName(s.Name+"-"+strconv.Itoa(replica), zone)
	v := &vm{service: s, replica: replica, place: len(f.vms), zone: zone, name: name, host: f.network.Host(name)}
	f.vms = append(f.vms, v)
	return f.boot(ctx, v)
}

// boot starts a VM, for the first time or again.
func (f *fleet) boot(ctx context.Context, v *vm) error {
	v.life++
	listener, err := v.host.Listen("upstream:0")
	if err != nil {
		return &StartError{Service: v.service.Name, Cause: err}
	}
	seed := f.seedOf(v)
	v.upstream = newServer(serverSettings{
		workload: f.workload, service: v.service, replica: v.replica, seed: seed, meter: f.meter, listener: listener,
	})
	n, err := node.New(f.nodeSettings(v, seed))
	if err == nil {
		err = n.Start(ctx)
	}
	if err == nil {
		err = n.OfferConfig(f.set)
	}
	if err != nil {
		v.upstream.close()
		return &StartError{Service: v.service.Name, Cause: err}
	}
	v.node = n
	v.upstream.callThrough(v.host.DialContext, n.Addr(node.OutboundListener))
	v.callers = newTransport(v.host.DialContext, n.Addr(node.OutboundListener))
	first := v.announcement()
	if err := n.Announce(first); err != nil {
		v.shut()
		return &StartError{Service: v.service.Name, Cause: err}
	}
	announcing, stop := context.WithCancel(ctx)
	v.stop = stop
	f.ending.Go(func() { keepAnnouncing(announcing, n, first) })
	f.setUp(v)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.peers) < seedPeers {
		f.peers = append(f.peers, n.Addr(node.GossipListener))
	}
	return nil
}

// setUp has callers begin operations on a VM.
func (f *fleet) setUp(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up[v.service.Name] = append(f.up[v.service.Name], v)
}

// setDown has callers use the other VMs.
func (f *fleet) setDown(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := v.service.Name
	f.up[name] = slices.DeleteFunc(f.up[name], func(other *vm) bool { return other == v })
}

// seedOf is another one for each life of each VM.
func (f *fleet) seedOf(v *vm) uint64 {
	const lives = 1 << 8
	const places = 1 << 12
	return (f.seed*places+uint64(v.place))*lives + uint64(v.life)
}

func (f *fleet) nodeSettings(v *vm, seed uint64) node.Settings {
	s := node.DefaultSettings()
	s.Service = v.service.Name
	s.Zone = v.zone
	s.Edge = ""
	s.Slots = v.service.Slots
	s.Dialect = dialect{}
	s.RetryRatio = f.workload.RetryRatio
	s.Store = f.store
	s.Network = v.host
	s.Seed = seed
	s.Ablate = f.workload.Ablate
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Peers = append([]string(nil), f.peers...)
	return s
}

func (v *vm) announcement() node.Announcement {
	return node.Announcement{
		Service:  v.service.Name,
		Addr:     v.upstream.listener.Addr().String(),
		Slots:    v.service.Slots,
		Instance: v.name + "-" + strconv.Itoa(v.life),
	}
}

// keepAnnouncing sends the heartbeats of an upstream.
func keepAnnouncing(ctx context.Context, n *node.Node, a node.Announcement) {
	for objects.Pause(ctx, announceInterval) {
		a.Sequence++
		_ = n.Announce(a)
	}
}

// join waits until every node knows all others.
func (f *fleet) join(ctx context.Context, stopped func() bool) error {
	for range int(joinTimeout / joinPoll) {
		if stopped() {
			return &StoppedError{}
		}
		if f.joined() {
			objects.Pause(ctx, learnTime)
			return nil
		}
		objects.Pause(ctx, joinPoll)
	}
	return &StartError{}
}

func (f *fleet) joined() bool {
	for _, v := range f.vms {
		if v.node.Status().Members.Alive < len(f.vms) {
			return false
		}
	}
	return true
}

// callersOf draws a VM of a service on which a caller is, nil if all are down.
func (f *fleet) callersOf(service string, random *rand.Rand) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	up := f.up[service]
	if len(up) == 0 {
		return nil
	}
	return up[random.IntN(len(up))].callers
}

// shut ends what runs on a VM.
func (v *vm) shut() {
	if v.stop != nil {
		v.stop()
	}
	if v.node != nil {
		v.node.Close()
	}
	if v.callers != nil {
		v.callers.CloseIdleConnections()
	}
	v.upstream.close()
}

func (f *fleet) close() {
	f.network.HealAll()
	for _, v := range f.vms {
		if v.upstream != nil {
			v.shut()
		}
	}
	f.ending.Wait()
	time.Sleep(endTime)
}
