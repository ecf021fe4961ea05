package demo

import (
	"context"
	"sync"
	"time"

	"pollengauge.dev/demo/upstream"
)

// vm is one upstream VM. The process beside it, a node or a forwarder, belongs to
// the fabric.
type vm struct {
	service  Service
	replica  int
	zone     string
	upstream *upstream.Server
}

// fabric is one of the compared systems: it carries the calls of a fleet.
type fabric interface {
	// attach starts the process beside v and sets the outbound address of v.
	attach(ctx context.Context, v *vm) error
	// edges returns the addresses at which clients reach a service.
	edges(service string) []string
	// outbound returns the address to which v sends its calls.
	outbound(v *vm) string
	// mintPath returns the path at which edges mint idempotency keys, or "" if
	// they don't mint any.
	mintPath() string
	close()
}

// fleet holds all upstreams of a deployment.
type fleet struct {
	deployment *Deployment
	ledger     *upstream.Ledger
	seed       uint64

	mu  sync.Mutex
	vms []*vm
}

func newFleet(d *Deployment, seed uint64) *fleet {
	return &fleet{deployment: d, ledger: upstream.NewLedger(), seed: seed}
}

// reporting defines how the replicas of a service report their load: the first
// reports the real load, the second an outdated load, and the third no load.
var reporting = []upstream.Reporting{
	{Factor: 1},
	{Factor: 1, Lag: 2 * time.Second},
	{Factor: 0},
}

// boot starts the upstream of one replica and adds it to the fleet.
func (f *fleet) boot(s Service, replica int) (*vm, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, err := upstream.New(upstream.Settings{
		Service:     s.Name,
		Replica:     replica,
		Workers:     f.deployment.slots(s),
		Connections: f.deployment.connections(s),
		Graph:       f.deployment.Graph,
		Ledger:      f.ledger,
		Seed:        f.seed + uint64(len(f.vms)),
	})
	if err != nil {
		return nil, err
	}
	u.SetReporting(reporting[replica%len(reporting)])
	v := &vm{service: s, replica: replica, zone: f.deployment.zone(replica), upstream: u}
	f.vms = append(f.vms, v)
	return v, nil
}

// start boots every replica, attaches it to system and waits until the system is
// ready.
func (f *fleet) start(ctx context.Context, system fabric) error {
	for _, s := range f.deployment.Services {
		for replica := range s.Replicas {
			v, err := f.boot(s, replica)
			if err != nil {
				return err
			}
			if err := system.attach(ctx, v); err != nil {
				return err
			}
		}
	}
	return f.awaitReady(ctx, system)
}

// find returns the most recently booted VM of a replica, or nil if there is
// none.
func (f *fleet) find(service string, replica int) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.vms) - 1; i >= 0; i-- {
		if v := f.vms[i]; v.service.Name == service && v.replica == replica {
			return v
		}
	}
	return nil
}

func (f *fleet) all() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*vm(nil), f.vms...)
}

func (f *fleet) close() {
	for _, v := range f.all() {
		v.upstream.Close()
	}
}
