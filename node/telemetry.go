package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// spanExporter sends hops to a trace collector.
type spanExporter interface {
	Add(observe.Hop)
	Counts() (queued, dropped int64)
	Shutdown(context.Context) error
}

// buildTelemetry creates the logger, the metrics and, if an endpoint is set, the span
// exporter.
func (n *Node) buildTelemetry() error {
	n.log = n.settings.Log
	if n.log == nil {
		n.log = observe.NopLogger()
	}
	n.log = n.log.With(observe.Str("node", n.id[:idPrefix]), observe.Str("service", n.settings.Service))
	n.metrics = observe.NewMetrics(observe.MetricsConfig{Node: n.id, Service: n.settings.Service, Zone: n.settings.Zone})
	n.metrics.OnScrape(n.updateGauges)
	if n.settings.OTLPEndpoint == "" {
		return nil
	}
	exporter, err := observe.NewExporter(context.Background(), observe.ExporterConfig{
		Endpoint: n.settings.OTLPEndpoint,
		Node:     n.id,
		Service:  n.settings.Service,
		Zone:     n.settings.Zone,
	})
	if err != nil {
		return err
	}
	n.exporter = exporter
	return nil
}

// export passes a hop to the trace collector, if one is configured.
func (n *Node) export(h *observe.Hop) {
	if n.exporter != nil {
		n.exporter.Add(*h)
	}
}

const exportTimeout = 2 * time.Second

func (n *Node) stopExport() {
	if n.exporter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if err := n.exporter.Shutdown(ctx); err != nil {
		n.log.Emit(observe.TraceExportFailed, observe.Err(err))
	}
}

// updateGauges copies the state of the node's components into the metrics.
func (n *Node) updateGauges() {
	gate := n.gate.Snapshot()
	n.metrics.Limit.Update(int64(gate.Limit))
	n.metrics.InFlight.Update(int64(gate.InFlight))
	n.metrics.Blocked.Update(int64(gate.Blocked))
	n.metrics.QueueLength.Update(int64(gate.Queued))
	n.metrics.AdmissionLevel.Update(int64(gate.AdmitLevel))
	n.metrics.Load.Update(float64(gate.Load) / loadUnit)
	n.metrics.Draining.Update(boolGauge(n.draining.Load()))
	n.metrics.ConfigAge.Update(n.now().Sub(time.Unix(0, n.configSince.Load())).Seconds())
	n.metrics.ConfigVersion.Update(int64(n.config.Status().Version))
	newest, _ := n.config.Newest(n.now())
	n.metrics.ConfigNewest.Update(int64(newest))
	keys := n.keyCounts()
	n.metrics.Keys.With("running").Update(int64(keys.Running))
	n.metrics.Keys.With("done").Update(int64(keys.Done))
	n.metrics.Keys.With("unknown").Update(int64(keys.Unknown))
	if n.exporter != nil {
		queued, dropped := n.exporter.Counts()
		setCounter(n.metrics.Spans.With("queued"), uint64(queued))
		setCounter(n.metrics.Spans.With("dropped"), uint64(dropped))
	}
	for listener, open := range n.conns {
		n.metrics.Connections.With(string(listener)).Update(open.Load())
	}
	n.updateLinkMetrics()
	leftOut, dropped := n.log.LinesLost()
	setCounter(n.metrics.LogLinesLost.With("left-out"), uint64(leftOut))
	setCounter(n.metrics.LogLinesLost.With("dropped"), uint64(dropped))
	n.updateUpstreamLoad()
	n.updateIgnoredLoads()
	n.updateServiceGauges()
	n.updateQuarantineGauges()
	n.updateSlotTimes()
	if n.gossip != nil {
		stats := n.gossip.Stats()
		setCounter(n.metrics.GossipBytes.With(observe.DirectionInbound), stats.BytesIn)
		setCounter(n.metrics.GossipBytes.With(observe.DirectionOutbound), stats.BytesOut)
		setCounter(n.metrics.GossipMessages.With(observe.DirectionInbound), stats.Received)
		setCounter(n.metrics.GossipMessages.With(observe.DirectionOutbound), stats.Sent)
		n.metrics.Members.With("alive").Update(int64(stats.Alive))
		n.metrics.Members.With("suspect").Update(int64(stats.Suspect))
		n.metrics.Members.With("dead").Update(int64(stats.Dead))
		n.metrics.Members.With("left").Update(int64(stats.Left))
	}
}

// maxServiceLabels is the maximum number of services with metrics of their own. It is
// bounded because the names come from other members.
const maxServiceLabels = 64

// updateServiceGauges exports what this node knows of each service that it calls.
func (n *Node) updateServiceGauges() {
	services := n.router.Services()
	slices.Sort(services)
	for _, service := range services[:min(len(services), maxServiceLabels)] {
		var load, count int
		var worst call.Level
		var beliefs loadBeliefs
		for _, target := range n.router.Snapshot(service) {
			beliefs.add(&target)
			load += target.Load
			count++
			worst = max(worst, target.Level)
		}
		beliefs.export(n.metrics, service)
		n.metrics.ServiceLevel.With(service).Update(int64(worst))
		if count > 0 {
			n.metrics.ServiceLoad.With(service).Update(float64(load) / float64(count) / loadUnit)
		}
		if n.usesDialect() {
			n.metrics.RetryBudgetLeft.With(service).Update(int64(n.retriesOf(service).bound.Left(n.now())))
		}
	}
}

// setCounter raises a counter to a total that is counted elsewhere.
func setCounter(c metrics.Counter, total uint64) { c.Inc(int64(total) - c.Count()) }

const loadUnit = 1000

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// MetricsHandler serves the metrics in the Prometheus text format.
func (n *Node) MetricsHandler() http.Handler { return n.metrics }

// Status returns a snapshot of the node for the top command and for scripts.
func (n *Node) Status() observe.NodeStatus {
	gate := n.gate.Snapshot()
	status := observe.NodeStatus{
		Node:          n.id,
		Service:       n.settings.Service,
		Zone:          n.settings.Zone,
		Region:        n.settings.Region,
		ConfigVersion: n.config.Status().Version,
		At:            n.now(),
		Limit:         gate.Limit,
		InFlight:      gate.InFlight,
		Blocked:       gate.Blocked,
		Queue:         gate.Queued,
		AdmitLevel:    gate.AdmitLevel,
		Load:          gate.Load,
		Draining:      n.draining.Load(),
		NoUpstream:    n.upstream.Load() == nil,
		Keys:          n.keyCounts(),
		Targets:       n.targetStatuses(),
	}
	for _, p := range n.config.Current().Profiles() {
		n.metrics.Profile(p.Name).LevelBelow.Update(int64(n.downstreamLevel(p.Name)))
		status.Profiles = append(status.Profiles, n.metrics.Profile(p.Name).Status())
	}
	if n.gossip != nil {
		stats := n.gossip.Stats()
		status.Members = observe.MemberCounts{Alive: stats.Alive, Suspect: stats.Suspect, Dead: stats.Dead, Left: stats.Left}
	}
	if usage, err := observe.ReadProcessUsage(); err == nil {
		status.CPU = usage.CPU
		status.ResidentBytes = usage.ResidentBytes
	}
	return status
}

// downstreamLevel returns the downstream admission level in force for a profile, as
// learned from the answers to this node's root requests.
func (n *Node) downstreamLevel(profile string) call.Level {
	_, inForce := n.feedback.Admit(profile, call.MaxLevel, n.now())
	return inForce
}

func (n *Node) keyCounts() observe.KeyCounts {
	counts := n.keys.Counts()
	return observe.KeyCounts{
		Running:  counts[atmostonce.StateDispatched] + counts[atmostonce.StateClaimed] + counts[atmostonce.StateClaiming],
		Done:     counts[atmostonce.StateDone],
		Unknown:  counts[atmostonce.StateUnknown],
		Capacity: n.settings.KeyEntries,
	}
}
