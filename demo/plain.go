package demo

import (
	"context"
	"sync"
	"time"

	"pollengauge.dev/demo/baseline"
)

const (
	plainAttempts = 3
	plainTimeout  = time.Second
	// staticFactor is the static limit per worker. With 2, one request per
	// worker can be queued.
	staticFactor = 2
	// aimdTarget is about ten times the usual latency of the bottleneck
	// service.
	aimdTarget = 250 * time.Millisecond
)

// limiterFactory returns a new limiter for the upstream of v.
type limiterFactory func(v *vm) baseline.Limiter

func noLimit(*vm) baseline.Limiter { return baseline.Unlimited{} }

func staticLimit(v *vm) baseline.Limiter {
	return baseline.NewStatic(staticFactor * v.upstream.Workers())
}

func aimdLimit(v *vm) baseline.Limiter {
	return baseline.NewAIMD(baseline.AIMDConfig{
		Start:  v.upstream.Workers(),
		Most:   v.upstream.Connections(),
		Target: aimdTarget,
	})
}

// plainFabric is the fabric of plain forwarding: calls go through forwarders.
type plainFabric struct {
	delays   *delays
	registry *baseline.Registry
	limiter  limiterFactory
	edgeList *edgeList

	mu         sync.Mutex
	forwarders map[*vm]*baseline.Forwarder
}

func newPlainFabric(d *Deployment, limiter limiterFactory) *plainFabric {
	return &plainFabric{
		delays:     newDelays(d.ZoneDelay, d.ConnectDelay),
		registry:   baseline.NewRegistry(),
		limiter:    limiter,
		edgeList:   newEdgeList(),
		forwarders: map[*vm]*baseline.Forwarder{},
	}
}

func (p *plainFabric) attach(_ context.Context, v *vm) error {
	network := &zoneNetwork{delays: p.delays, zone: v.zone}
	f, err := baseline.Start(baseline.Settings{
		Service:        v.service.Name,
		Upstream:       v.upstream.Addr(),
		Registry:       p.registry,
		Limiter:        p.limiter(v),
		Attempts:       plainAttempts,
		AttemptTimeout: plainTimeout,
		Dial:           network.dialContext,
	})
	if err != nil {
		return &StartError{Part: "forwarder of " + v.service.Name, Err: err}
	}
	p.mu.Lock()
	p.forwarders[v] = f
	p.mu.Unlock()
	p.delays.setZone(f.Inbound(), v.zone)
	v.upstream.SetOutbound(f.Outbound())
	p.edgeList.add(v.service.Name, f.Edge())
	return nil
}

func (p *plainFabric) edges(service string) []string { return p.edgeList.addrsOf(service) }

func (p *plainFabric) outbound(v *vm) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwarders[v].Outbound()
}

func (p *plainFabric) mintPath() string { return "" }

func (p *plainFabric) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.forwarders {
		f.Close()
	}
}
