package observe

import (
	"runtime"
	"sync"

	"github.com/rcrowley/go-metrics"

	"pollengauge.dev/call"
)

// MetricsConfig holds the label values of the metric pollengauge_node_info.
type MetricsConfig struct {
	Node    string
	Service string
	Zone    string
}

// Label values of Attempts, Gossip and Credits.
const (
	DirectionInbound  = "inbound"
	DirectionOutbound = "outbound"

	CreditGranted    = "granted"
	CreditHandedDown = "handed-down"
	CreditSpent      = "spent"
	CreditReturned   = "returned"
)

// PeerlinkMetrics are the metrics of the shared connections between nodes, by direction.
type PeerlinkMetrics struct {
	Conns, Streams                  Gauges
	Calls, Bytes, Writes, Malformed Counters
	Fallbacks                       metrics.Counter
}

// Metrics holds the metrics of a node. Its fields are families and handles for
// direct use; the method Profile returns the handles of a profile.
type Metrics struct {
	Limit, InFlight, Blocked, QueueLength metrics.Gauge
	UpstreamsEnded                        metrics.Counter
	CallsAfterDeparture                   metrics.Counter
	// Quarantine counts changes by kind; Quarantined holds the number of requests
	// by state.
	Quarantine               Counters
	Quarantined              Gauges
	AdmissionLevel, Draining metrics.Gauge
	Load                     metrics.GaugeFloat64

	Keys         Gauges
	Claims       Counters
	UnknownFates Counters
	WitnessNotes Counters

	Members                     Gauges
	GossipBytes, GossipMessages Counters

	Peerlink PeerlinkMetrics

	// ConfigNewest is the highest known configuration version, in force or not.
	ConfigVersion, ConfigNewest metrics.Gauge

	ConfigAge     metrics.GaugeFloat64
	PlatformCalls Counters
	PlatformTime  Histograms

	RootsWithoutContext, ForgedHeaders, Panics, Begun metrics.Counter
	Malformed, Unrouted, HeadsRefused                 Counters
	// RequestsCut counts requests whose connection closed without a complete response, by
	// cause.
	RequestsCut Counters
	// AbandonedRuns counts runs whose caller disconnected, by verdict and reason.
	AbandonedRuns Counters
	// UpstreamConns counts the connections opened to the upstream on this VM.
	UpstreamConns metrics.Counter
	// Strangers counts requests without the key of a customer, by reason.
	Strangers Counters
	// Quotas counts requests of customers with a limit, by result of the check.
	Quotas Counters
	// SlotTime holds the slot time of the customers that took most, in seconds.
	SlotTime FloatGauges
	// SlotTimeIgnored counts the slot times that were ignored.
	SlotTimeIgnored metrics.Counter
	Spans           Counters

	// UpstreamReported holds what the upstream on this VM reported last, one series for
	// each figure.
	UpstreamReported FloatGauges
	// RetryBudgetLeft, ServiceLevel and ServiceLoad have one series per service.
	RetryBudgetLeft, ServiceLevel Gauges
	ServiceLoad                   FloatGauges
	// TargetLoadTargets counts the targets of a service by belief in their load reports.
	TargetLoadTargets Gauges
	// TargetLoadAge has one series per service, TargetLoadIgnored one per reason.
	TargetLoadAge     FloatGauges
	TargetLoadIgnored Counters
	// Connections has one series per listener.
	Connections  Gauges
	LogLinesLost Counters

	calls, refused, attempts, retries, credits, brownouts, inTarget Counters
	queueWait, callTime                                             Histograms
	levelBelow                                                      Gauges

	processCPU, memory metrics.GaugeFloat64
	goroutines         metrics.Gauge

	registry metrics.Registry
	families []encoder
	hooks    []func()

	mu       sync.RWMutex
	profiles map[string]*ProfileMetrics
}

// NewMetrics returns the metrics of a node, all zero.
func NewMetrics(config MetricsConfig) *Metrics {
	m := &Metrics{registry: metrics.NewRegistry(), profiles: make(map[string]*ProfileMetrics)}
	m.addCalls()
	m.addAdmission()
	m.addServices()
	m.addClusterAndPlatform()
	m.addEdges()
	m.addProcess(config)
	return m
}

func (m *Metrics) addCalls() {
	m.calls = m.sparseCounters(callsMetric)
	m.refused = m.sparseCounters(refusedMetric)
	m.attempts = m.counters(attemptsMetric)
	m.retries = m.counters(retriesMetric)
	m.credits = m.counters(creditsMetric)
	m.brownouts = m.counters(brownoutsMetric)
	m.inTarget = m.counters(inTargetMetric)
	m.queueWait = m.histograms(queueWaitMetric)
	m.callTime = m.histograms(callTimeMetric)
	m.levelBelow = m.gauges(levelBelowMetric)
}

func (m *Metrics) addAdmission() {
	m.Limit = m.gauges(limitMetric).With()
	m.Quarantine = m.counters(quarantineMetric)
	m.Quarantined = m.gauges(quarantinedMetric)
	m.UpstreamsEnded = m.counters(crashesMetric).With()
	m.CallsAfterDeparture = m.counters(afterDepartureMetric).With()
	m.InFlight = m.gauges(inFlightMetric).With()
	m.Blocked = m.gauges(blockedMetric).With()
	m.QueueLength = m.gauges(queueMetric).With()
	m.AdmissionLevel = m.gauges(admitLevelMetric).With()
	m.Load = m.floatGauges(loadMetric).With()
	m.Draining = m.gauges(drainingMetric).With()
	m.Keys = m.gauges(keysMetric)
	m.Claims = m.counters(claimsMetric)
	m.WitnessNotes = m.counters(witnessMetric)
	m.UnknownFates = m.counters(unknownMetric)
}

func (m *Metrics) addServices() {
	m.RetryBudgetLeft = m.gauges(retryLeftMetric)
	m.ServiceLevel = m.gauges(serviceLevelMetric)
	m.ServiceLoad = m.floatGauges(serviceLoadMetric)
	m.UpstreamReported = m.floatGauges(upstreamReportedMetric)
	m.TargetLoadTargets = m.gauges(loadTargetsMetric)
	m.TargetLoadAge = m.floatGauges(loadAgeMetric)
	m.TargetLoadIgnored = m.counters(loadIgnoredMetric)
	m.Connections = m.gauges(connectionsMetric)
	m.LogLinesLost = m.counters(logLinesMetric)
}

func (m *Metrics) addClusterAndPlatform() {
	m.Members = m.gauges(membersMetric)
	m.GossipBytes = m.counters(gossipBytesMetric)
	m.GossipMessages = m.counters(gossipMessagesMetric)
	m.Peerlink = PeerlinkMetrics{
		Conns:     m.gauges(peerlinkConnsMetric),
		Streams:   m.gauges(peerlinkStreamsMetric),
		Calls:     m.counters(peerlinkCallsMetric),
		Bytes:     m.counters(peerlinkBytesMetric),
		Writes:    m.counters(peerlinkWritesMetric),
		Malformed: m.counters(peerlinkMalformedMetric),
		Fallbacks: m.counters(peerlinkFallbacksMetric).With(),
	}
	m.ConfigVersion = m.gauges(configVersionMetric).With()
	m.ConfigNewest = m.gauges(configNewestMetric).With()
	m.ConfigAge = m.floatGauges(configAgeMetric).With()
	m.PlatformCalls = m.counters(platformCallsMetric)
	m.PlatformTime = m.histograms(platformTimeMetric)
}

func (m *Metrics) addEdges() {
	m.RootsWithoutContext = m.counters(rootsMetric).With()
	m.ForgedHeaders = m.counters(forgedMetric).With()
	m.Malformed = m.counters(malformedMetric)
	m.HeadsRefused = m.counters(headsRefusedMetric)
	m.Unrouted = m.counters(unroutedMetric)
	m.RequestsCut = m.counters(requestsCutMetric)
	m.AbandonedRuns = m.counters(abandonedRunsMetric)
	m.UpstreamConns = m.counters(upstreamConnsMetric).With()
	m.Strangers = m.counters(unauthenticatedMetric)
	m.Quotas = m.counters(quotasMetric)
	m.SlotTime = m.floatGauges(slotTimeMetric)
	m.SlotTimeIgnored = m.counters(slotIgnoredMetric).With()
	m.Panics = m.counters(panicsMetric).With()
	m.Begun = m.counters(pipelinedMetric).With()
	m.Spans = m.counters(spansMetric)
}

func (m *Metrics) addProcess(config MetricsConfig) {
	m.gauges(infoMetric).With(config.Node, config.Service, config.Zone).Update(1)
	m.processCPU = m.floatGauges(cpuMetric).With()
	m.memory = m.floatGauges(memoryMetric).With()
	m.goroutines = m.gauges(goroutinesMetric).With()
	m.OnScrape(func() {
		m.goroutines.Update(int64(runtime.NumGoroutine()))
		usage, err := ReadProcessUsage()
		if err != nil {
			// The gauges retain their last values, and the scrape goes on.
			return
		}
		m.processCPU.Update(usage.CPU.Seconds())
		m.memory.Update(float64(usage.ResidentBytes))
	})
}

// OnScrape adds a function that updates gauges before each scrape. All functions
// must be added before the first scrape.
func (m *Metrics) OnScrape(hook func()) { m.hooks = append(m.hooks, hook) }

// Registry returns the go-metrics registry with all series, for reporters of
// that library. Its names have the form family{values}.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// Rotate starts a new window in all histograms. It should be called every few
// seconds: the percentiles on the top screen cover the last one to two windows.
func (m *Metrics) Rotate() {
	for _, h := range []Histograms{m.queueWait, m.callTime, m.PlatformTime} {
		h.each(func(_ []string, handle *Histogram) { handle.Rotate() })
	}
}

// maxProfiles bounds the number of profiles with their own metrics. Names that
// this node doesn't know can come from peers with a newer configuration.
const maxProfiles = 64

// Profile returns the metrics of a profile. Callers should store the result where
// possible: each lookup takes a read lock. Only the first one allocates.
func (m *Metrics) Profile(name string) *ProfileMetrics {
	m.mu.RLock()
	p := m.profiles[name]
	m.mu.RUnlock()
	if p != nil {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.profiles) >= maxProfiles {
		name = other
	}
	if p = m.profiles[name]; p == nil {
		p = m.newProfile(name)
		m.profiles[name] = p
	}
	return p
}

// Reasons returns all reasons with their own counters, except ReasonNone.
func Reasons() []call.Reason {
	reasons := make([]call.Reason, 0, len(adviceTable))
	for _, a := range adviceTable {
		reasons = append(reasons, a.Reason)
	}
	return reasons
}
