package observe

import (
	"runtime"
	"sync"

	"github.com/rcrowley/go-metrics"

	"pollengauge.dev/call"
)

// MetricsConfig names the node in the metric pollengauge_node_info.
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

// Metrics holds the metrics of a node. Its fields are families and handles
// that may be used directly; those of a profile come from Profile.
type Metrics struct {
	Limit, InFlight, Blocked, QueueLength metrics.Gauge
	UpstreamsEnded                        metrics.Counter
	// Quarantine is by change, Quarantined by state.
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

	// ConfigNewest is the highest version known of, in force or not.
	ConfigVersion, ConfigNewest metrics.Gauge

	ConfigAge     metrics.GaugeFloat64
	PlatformCalls Counters
	PlatformTime  Histograms

	RootsWithoutContext, ForgedHeaders, Panics, Begun metrics.Counter
	Malformed, Unrouted                               Counters
	// Strangers are requests without the key of a customer, by reason.
	Strangers Counters
	// Quotas are requests of customers with a limit, by what became of them.
	Quotas Counters
	Spans  Counters

	// RetryBudgetLeft, ServiceLevel and ServiceLoad are by service.
	RetryBudgetLeft, ServiceLevel Gauges
	ServiceLoad                   FloatGauges
	// Connections are by listener.
	Connections  Gauges
	LogLinesLost Counters

	calls, refused, attempts, retries, credits, brownouts Counters
	queueWait, callTime                                   Histograms
	levelBelow                                            Gauges

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
	m.queueWait = m.histograms(queueWaitMetric)
	m.callTime = m.histograms(callTimeMetric)
	m.levelBelow = m.gauges(levelBelowMetric)
}

func (m *Metrics) addAdmission() {
	m.Limit = m.gauges(limitMetric).With()
	m.Quarantine = m.counters(quarantineMetric)
	m.Quarantined = m.gauges(heldMetric)
	m.UpstreamsEnded = m.counters(endedMetric).With()
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
	m.Connections = m.gauges(connectionsMetric)
	m.LogLinesLost = m.counters(logLinesMetric)
}

func (m *Metrics) addClusterAndPlatform() {
	m.Members = m.gauges(membersMetric)
	m.GossipBytes = m.counters(gossipBytesMetric)
	m.GossipMessages = m.counters(gossipMessagesMetric)
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
	m.Unrouted = m.counters(unroutedMetric)
	m.Strangers = m.counters(strangersMetric)
	m.Quotas = m.counters(quotasMetric)
	m.Panics = m.counters(panicsMetric).With()
	m.Begun = m.counters(begunMetric).With()
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
			// The gauges keep their last values; a scrape must not fail for it.
			return
		}
		m.processCPU.Update(usage.CPU.Seconds())
		m.memory.Update(float64(usage.ResidentBytes))
	})
}

// OnScrape adds a function that updates gauges right before each exposition.
// Add all of them before the first scrape.
func (m *Metrics) OnScrape(hook func()) { m.hooks = append(m.hooks, hook) }

// Registry returns the go-metrics registry that holds every series, for
// reporters of that library. Its names are family{values}.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// Rotate ends the window of every histogram. Call it every few seconds: the
// percentiles that top shows cover the last one to two windows.
func (m *Metrics) Rotate() {
	for _, h := range []Histograms{m.queueWait, m.callTime, m.PlatformTime} {
		h.each(func(_ []string, handle *Histogram) { handle.Rotate() })
	}
}

// maxProfiles bounds the profiles that have metrics of their own. A profile
// name can come from a peer whose configuration is newer.
const maxProfiles = 64

// Profile returns the metrics of a profile. Keep the result where you can; a
// lookup costs a read lock and allocates nothing after the first.
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

// Reasons returns every reason that has counters of its own, without ReasonNone.
func Reasons() []call.Reason {
	reasons := make([]call.Reason, 0, len(adviceTable))
	for _, a := range adviceTable {
		reasons = append(reasons, a.Reason)
	}
	return reasons
}
