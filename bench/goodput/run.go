package goodput

import (
	"context"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/demo"
	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/report"
	"pollengauge.dev/node"
)

// Config is one run.
type Config struct {
	Deployment *demo.Deployment
	// Set has the profiles in force.
	Set    config.Set
	System System
	Shape  Shape
	// Factor is the demand in the surge as a multiple of the capacity.
	Factor float64
	Course Course
	Seed   uint64
	// Fill is how long the system runs at the usual load before the course
	// begins, to fill the stored answers.
	Fill time.Duration
	// Watch is called every WatchEvery with the nodes of the cluster by
	// service, to trace a run. It may be nil.
	Watch      func(at time.Duration, nodes map[string][]*node.Node)
	WatchEvery time.Duration
}

// inFlightBound protects the machine from a load that nobody answers. Plain
// systems reach it in a surge; what is over it is not sent, which spares them.
const inFlightBound = 5_000

// Run carries the load of cfg through its system and returns what is known of
// it. It must be called inside a synctest bubble.
func Run(ctx context.Context, cfg Config) (report.Evidence, error) {
	d := cfg.Deployment
	c, err := newCluster(ctx, d, cfg.System, cfg.Set, cfg.Seed)
	if err != nil {
		return report.Evidence{}, err
	}
	defer c.close()
	ctx, cancel := context.WithTimeout(ctx, cfg.Fill+cfg.Course.Length+settle)
	defer cancel()
	runner := &load.Runner{
		Classes:     d.Classes,
		Edges:       func(service string) []string { return c.edges[service] },
		Delay:       d.ClientDelay,
		MaxInFlight: inFlightBound,
		Dial:        c.network.Host(clientHost).DialContext,
	}
	if cfg.System.Limiter == nil {
		runner.MintPath = node.KeyPath
	}
	if cfg.Fill > 0 {
		runner.Run(ctx, fill(cfg))
	}
	start := time.Now()
	if cfg.Watch != nil {
		c.ending.Go(func() { c.watch(ctx, cfg, start) })
	}
	if cfg.Shape == Slow {
		c.ending.Go(func() { c.slow(cfg) })
	}
	records := runner.Run(ctx, plan(cfg))
	return report.Evidence{
		Classes: d.Classes, Records: records, Ledger: c.ledger, Graph: d.Graph,
		Start: start, Deep: d.Deep, DeepSlots: deepSlots(d),
	}, nil
}

// slow makes the deep service slower for the time of a surge.
func (c *cluster) slow(cfg Config) {
	for _, change := range []struct {
		after  time.Duration
		factor float64
	}{{cfg.Course.Surge, cfg.Factor}, {cfg.Course.End - cfg.Course.Surge, 1}} {
		time.Sleep(change.after)
		for _, v := range c.vms {
			if v.service == cfg.Deployment.Deep {
				v.upstream.SetSlow(change.factor)
			}
		}
	}
}

func (c *cluster) watch(ctx context.Context, cfg Config, start time.Time) {
	nodes := make(map[string][]*node.Node)
	for _, v := range c.vms {
		nodes[v.service] = append(nodes[v.service], v.node)
	}
	tick := time.NewTicker(cfg.WatchEvery)
	defer tick.Stop()
	for at := time.Duration(0); at < cfg.Course.Length; {
		select {
		case <-c.stop:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at = time.Since(start)
		cfg.Watch(at, nodes)
	}
}
