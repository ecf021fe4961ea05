package node

import (
	"context"
	"crypto/rand"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"net/rpc"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/headread"
	"pollengauge.dev/incarnation"
	"pollengauge.dev/membership"
	"pollengauge.dev/node/inflight"
	"pollengauge.dev/node/pipelining"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/peerlink"
	"pollengauge.dev/retry"
	"pollengauge.dev/routing"
	"pollengauge.dev/secure"
	"pollengauge.dev/shutdown"
)

// Node is one running process of the system. New creates it and Start opens its
// listeners. Drain stops it gracefully, Close stops it at once.
type Node struct {
	// settings are the process settings; their Service is the name that nodes use among
	// each other.
	settings Settings
	// configuredService is the service name as the operators configured it.
	configuredService string
	id                string
	network           Network
	// reservedHeaders are the headers that stripReservedHeaders removes where a dialect is
	// used.
	reservedHeaders map[string]struct{}
	// peerNetwork is the network to and from other nodes; tls is nil without TLS.
	peerNetwork Network
	tls         *secure.Source

	log     *observe.Logger
	metrics *observe.Metrics
	ring    *observe.Ring
	// exporter is nil unless spans are exported.
	exporter spanExporter

	config   *config.Store
	store    objects.Store
	gossip   *membership.Gossip
	router   *routing.Router
	gate     *admission.Gate
	feedback *admission.Feedback
	ranker   *admission.Ranker
	// graph links each run of the upstream to the calls that the upstream makes.
	// shedder tracks the downstream pressure on the routes of callers; downstreamShedder
	// tracks the pressure on the upstream's own calls. All three are used only with a
	// dialect.
	graph             *admission.CallGraph
	shedder           *admission.Shedder
	downstreamShedder *admission.Shedder
	brownoutStore     *admission.Brownout
	budget            atomic.Pointer[retry.Budget]
	// budgets holds the serviceRetries of each service. It is used only with a dialect.
	budgets sync.Map
	// adjusted holds the settings that can change while the node runs.
	adjusted atomic.Pointer[Adjustment]
	// repeats is nil with a dialect: it recognizes requests by what callers state in the
	// project's own interface. It takes a megabyte.
	repeats *retry.RepeatDetector
	// quarantine tracks the requests under which upstreams crash.
	quarantine *quarantineState
	// quotas enforces the rate limits of customers.
	quotas *quotaState
	// slots ranks customers by the slot time that they take.
	slots     *slotShares
	lag       lagMeter
	offered   offered
	abandoned abandonedRuns
	// unsettled lists calls with an unknown fate that no key table holds.
	unsettled unsettled
	keys      *atmostonce.Table
	handover  *rpc.Server
	witnesses *witnesses
	// collector is used by the maintenance goroutine only.
	collector *atmostonce.Collector
	// changes is used by the maintenance goroutine only.
	changes       *loggedState
	memberChanges *memberChanges
	visits        *visits
	heardNotices  *heardNotices
	// restored has an element if the store has been restored and this node has not yet
	// stored again what is its own.
	restored chan struct{}
	peers    *http.Transport
	// links and linkServer are the two sides of shared connections with other nodes. Both are
	// nil if the settings allow HTTP/1.1 only.
	links       *peerlink.Client
	linkServer  *peerlink.Server
	peerLimiter *peerLimiter

	announceMu sync.Mutex
	// incarnations is guarded by announceMu.
	incarnations incarnation.Tracker
	departures   *departureLog
	drainMu      sync.Mutex
	// drainTimers is guarded by drainMu, and so are the changes of drainCauses, which holds a
	// drainCause.
	drainCauses atomic.Uint32
	drainTimers map[drainCause]*time.Timer
	targetsMu   sync.Mutex
	// targets is the last list of targets passed to the router; targetsMu guards it.
	targets  []routing.Target
	upstream atomic.Pointer[upstream]

	listeners map[Listener]net.Listener
	servers   []*http.Server
	active    atomic.Int64
	// inflight tracks the requests of all listeners but the admin listener.
	inflight inflight.Registry
	// earlyRuns counts the pipelined requests that were started before their turn.
	earlyRuns atomic.Int64
	draining  atomic.Bool
	// ending is set once the process has begun to shut down.
	ending atomic.Bool
	// shutdownPlan has the times of the shutdown, nil before it.
	shutdownPlan atomic.Pointer[shutdown.Plan]
	// callTimes measures how long the requests of callers and of the upstream on this VM
	// take, runTimes the runs at that upstream.
	callTimes, runTimes shutdown.Meter
	// drainTimedOut is set once the time of the drain was over with requests open.
	drainTimedOut atomic.Bool
	// closed is set once the node refuses all new requests.
	closed atomic.Bool
	// ownSlots are the slots of the upstream on this VM. joined is set once the node has
	// joined the gossip and may announce them.
	ownSlots atomic.Int64
	joined   atomic.Bool
	// triedSeeds are the addresses that this node found while it knew no other member, nil
	// if it has not looked for any.
	triedSeeds atomic.Pointer[[]string]
	// reportedLoad is the load that the upstream on this VM reported last, nil if none.
	reportedLoad atomic.Pointer[receivedLoad]
	// work measures the work time of the upstream on this VM, which other members use to
	// place their calls.
	work routing.WorkMeter
	// conns counts the open connections of each HTTP listener.
	conns map[Listener]*atomic.Int64
	// headBudget bounds the memory of large heads of requests.
	headBudget *headread.Budget
	// readAhead bounds the memory of requests that were read before their turn.
	readAhead *pipelining.ReadAhead
	// callerConns are the connections of callers.
	callerConns idleConns
	// callerListeners are the listeners for callers.
	callerListeners []*rawListener
	// lingering counts the closed connections that wait for their peer's end.
	lingering atomic.Int64
	started   time.Time
	stop      context.CancelFunc
	done      sync.WaitGroup
	requestID atomic.Uint64
	// storedVersion is the configuration version that the platform held when last read.
	// storedUnreadable is set while the platform holds a configuration whose version
	// can't be read.
	storedVersion    atomic.Uint64
	storedUnreadable atomic.Bool
	// configSince is when the configuration in force was accepted, in nanoseconds of the
	// Unix epoch.
	configSince atomic.Int64
	exit        chan struct{}
	exitOnce    sync.Once
}

// New checks the settings and builds a node that does not listen yet.
func New(settings Settings) (*Node, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	origin := settings.Service
	if settings.Dialect != nil {
		settings.Service = call.ServiceToken(origin)
	}
	n := &Node{
		settings:          settings,
		configuredService: origin,
		config:            config.NewStore(),
		ring:              observe.NewRing(settings.Lookback),
		listeners:         make(map[Listener]net.Listener),
		started:           time.Now(),
		exit:              make(chan struct{}),
		changes:           newLoggedState(),
		conns:             newConnCounts(),
		drainTimers:       make(map[drainCause]*time.Timer),
		headBudget:        headread.NewBudget(int64(settings.HeadMemory)),
		readAhead:         pipelining.NewReadAhead(int64(settings.HeadMemory) / readAheadDivisor),
	}
	if n.usesDialect() {
		n.reservedHeaders = reservedHeadersOf(settings.Dialect)
	}
	n.adjusted.Store(&Adjustment{DrainTimeout: settings.DrainTimeout, RetryRatio: settings.RetryRatio})
	n.configSince.Store(n.started.UnixNano())
	n.id = string(atmostonce.NewIncarnation(rand.Reader))
	n.visits = newVisits(n.id[:idPrefix] + ".")
	n.heardNotices = newHeardNotices()
	n.restored = make(chan struct{}, 1)
	for _, build := range []func() error{n.buildTelemetry, n.buildNetworks, n.buildPlatform, n.buildDecisions, n.buildKeys} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	n.departures = newDepartureLog(n.log)
	return n, nil
}

const idPrefix = 12

// buildDecisions creates the parts that decide: gate, feedback, ranker, brownout store,
// retry budget, quarantine, quotas, slot shares and router.
func (n *Node) buildDecisions() error {
	s := n.settings
	gateConfig := admission.Config{Slots: s.Slots, DepthAware: !s.Ablate.NoDepth}
	if n.usesDialect() {
		gateConfig.DepthAware = false // a dialect doesn't say which run a call belongs to
		gateConfig.SlotShare = slotShare
		gateConfig.MaxQueueWait = maxQueueWait
		gateConfig.QueueLimit = queueLimit
	}
	n.graph = admission.NewCallGraph()
	n.shedder = admission.NewShedder()
	n.downstreamShedder = admission.NewShedder()
	if s.Ablate.NoAdmission {
		gateConfig.MinLimit = s.Slots
		gateConfig.InitialLimit = s.Slots
	}
	gate, err := admission.NewGate(gateConfig)
	if err != nil {
		return err
	}
	n.gate = gate
	if n.feedback, err = admission.NewFeedback(admission.FeedbackConfig{}); err != nil {
		return err
	}
	if n.ranker, err = admission.NewRanker(admission.RankerConfig{Seed: n.random()}); err != nil {
		return err
	}
	if n.brownoutStore, err = admission.NewBrownout(admission.BrownoutConfig{
		MaxAge:         maxStoredAge,
		NeutralHeaders: slices.Concat(admission.DefaultNeutralHeaders, s.NeutralHeaders),
	}); err != nil {
		return err
	}
	n.followRetryRatio()
	if !n.usesDialect() {
		n.repeats = retry.NewRepeatDetector(retry.RepeatDetectorConfig{Seed: n.random(), Start: n.started})
	}
	n.quarantine = newQuarantineState()
	n.quotas = newQuotaState(s.Quota)
	n.slots = newSlotShares()
	n.router = routing.NewRouter(routing.Config{
		Node:      n.id,
		Zone:      s.Zone,
		Region:    s.Region,
		Start:     n.started,
		SlowStart: n.slowStart(),
		// With a dialect, a draining gate itself refuses what it no longer accepts, so
		// a draining member may be picked if no other is left.
		PickDraining: n.usesDialect(),
	})
	return nil
}

// maxStoredAge bounds the age of answers that are stored for brownouts; a profile may
// set a lower bound.
const maxStoredAge = time.Hour

// buildKeys creates the table of idempotency keys, the witnesses and the handover
// server.
func (n *Node) buildKeys() error {
	cfg := atmostonce.Config{
		Service:        n.keyService(),
		Incarnation:    atmostonce.Incarnation(n.id),
		MaxEntries:     n.settings.KeyEntries,
		MaxAnswerBytes: int64(n.settings.MaxAnswerBytes),
		Window:         n.settings.KeyWindow,
	}
	if n.store != nil {
		cfg.Store = n.claimStore()
	}
	var err error
	if n.keys, err = atmostonce.NewTable(cfg); err != nil {
		return err
	}
	n.witnesses = newWitnesses(n.peerNetwork)
	n.handover, err = newHandoverServer(n)
	return err
}

// Start opens the listeners and begins to serve. The platform doesn't have to be
// reachable.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.stop = context.WithCancel(context.WithoutCancel(ctx))
	if err := n.listenAll(); err != nil {
		n.closeListeners()
		return err
	}
	n.serve(EdgeListener, http.HandlerFunc(n.serveEdge), n.settings.EdgeConns)
	n.serve(PeerListener, http.HandlerFunc(n.servePeer), n.settings.PeerInbound)
	n.serve(OutboundListener, n.outboundHandler(), n.settings.EdgeConns)
	n.serve(AdminListener, n.adminHandler(), adminConns)
	if err := n.startMembership(ctx); err != nil {
		n.Close()
		return err
	}
	n.startConfig(ctx)
	n.done.Go(func() { n.announceSlotsOnceJoined(ctx) })
	n.watchTLS(ctx)
	n.done.Go(func() { n.maintain(ctx) })
	if n.usesDialect() {
		n.done.Go(func() { n.lag.run(ctx) })
	}
	n.done.Go(func() { n.runWitness(ctx) })
	n.done.Go(func() { n.runRecordStore(ctx) })
	n.done.Go(func() { n.followRestores(ctx) })
	n.startDepartures(ctx)
	n.log.Emit(observe.NodeStarted, observe.Str("id", n.id), observe.Str("zone", n.settings.Zone), observe.Str("region", n.settings.Region))
	return nil
}

// Close stops the node at once; calls in flight are aborted.
func (n *Node) Close() {
	if n.stop != nil {
		n.stop()
	}
	n.cutOpen(n.closeCause())
	n.abandoned.close()
	for _, server := range n.servers {
		_ = server.Close()
	}
	// The close of a caller's connection is not always noticed: net/http does not read on
	// while a pipelined request waits for its turn.
	n.visits.abortAll()
	n.closeListeners()
	if n.gossip != nil {
		_ = n.gossip.Close()
	}
	n.peers.CloseIdleConnections()
	n.closeLinks()
	n.witnesses.transport.CloseIdleConnections()
	if up := n.upstream.Load(); up != nil {
		up.transport.CloseIdleConnections()
	}
	n.done.Wait()
	n.stopExport()
	n.log.Flush()
}

// ExitRequested returns a channel that is closed when an operator requests that the
// process exits.
func (n *Node) ExitRequested() <-chan struct{} { return n.exit }

func (n *Node) requestExit() { n.exitOnce.Do(func() { close(n.exit) }) }

// ID returns the node's incarnation.
func (n *Node) ID() string { return n.id }

func (n *Node) now() time.Time { return time.Now() }

// random returns 64 random bits.
func (*Node) random() uint64 { return randv2.Uint64() }

func (n *Node) newRequestID() string {
	const base = 36
	return n.visits.prefix + "r" + strconv.FormatUint(n.requestID.Add(1), base)
}
