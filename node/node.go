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
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
	"pollengauge.dev/routing"
	"pollengauge.dev/secure"
)

// Node is one running process of the system. New makes it, Start opens its
// listeners, Drain ends it gracefully, Close at once.
type Node struct {
	// settings have the service as nodes name it to each other.
	settings Settings
	// origin is the service as the operators name it.
	origin  string
	id      string
	network Network
	// between is the network to and from other nodes; tls is nil without TLS.
	between Network
	tls     *secure.Source

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
	// graph links runs of the upstream to its calls, shedder knows the
	// pressure on the routes of callers, and below that on calls of the
	// upstream. They are in use where a dialect is spoken.
	graph   *admission.CallGraph
	shedder *admission.Shedder
	below   *admission.Shedder
	stored  *admission.Brownout
	budget  atomic.Pointer[retry.Budget]
	// budgets has the serviceRetries of each service where a dialect is spoken.
	budgets sync.Map
	// adjusted has the settings that may have changed since the start.
	adjusted atomic.Pointer[Adjustment]
	repeats  *retry.Repeats
	// quarantine has the requests under which upstreams end.
	quarantine *quarantineState
	// quotas holds customers below their limits.
	quotas  *quotaState
	lag     lagMeter
	offered offered
	// unsettled are fates that no table holds any more.
	unsettled unsettled
	keys      *atmostonce.Table
	handover  *rpc.Server
	witnesses *witnesses
	// collector belongs to the maintenance goroutine.
	collector *atmostonce.Collector
	// changes belongs to the maintenance goroutine.
	changes       *levelChanges
	memberChanges *memberChanges
	visits        *visits
	peers         *http.Transport
	peerRoom      *peerRoom

	announceMu sync.Mutex
	// announced is guarded by announceMu.
	announced  announcedInstances
	drainMu    sync.Mutex
	drainTimer *time.Timer
	targetsMu  sync.Mutex
	// targets is what the router was given last; targetsMu guards it.
	targets  []routing.Target
	upstream atomic.Pointer[upstream]

	listeners map[Listener]net.Listener
	servers   []*http.Server
	active    atomic.Int64
	// begun counts the requests that were begun before their turn.
	begun    atomic.Int64
	draining atomic.Bool
	// ending is set once the process is to end.
	ending atomic.Bool
	// closed is set once it takes no requests any more.
	closed atomic.Bool
	// ownSlots are those of the upstream here; joined tells that the others
	// may know of them.
	ownSlots atomic.Int64
	joined   atomic.Bool
	// work measures the upstream here, for the members to place their calls by.
	work routing.WorkMeter
	// conns counts the open connections of each HTTP listener.
	conns     map[Listener]*atomic.Int64
	started   time.Time
	stop      context.CancelFunc
	done      sync.WaitGroup
	requestID atomic.Uint64
	// storedVersion is what the platform was last seen to hold; unreadable tells
	// that the one it holds now has no version that can be read.
	storedVersion atomic.Uint64
	unreadable    atomic.Bool
	// configSince is when the configuration in force was accepted, in
	// nanoseconds of the Unix epoch.
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
		settings:  settings,
		origin:    origin,
		config:    config.NewStore(),
		ring:      observe.NewRing(settings.Lookback),
		listeners: make(map[Listener]net.Listener),
		started:   time.Now(),
		exit:      make(chan struct{}),
		changes:   newLevelChanges(),
		conns:     newConnCounts(),
	}
	n.adjusted.Store(&Adjustment{DrainTimeout: settings.DrainTimeout, RetryRatio: settings.RetryRatio})
	n.configSince.Store(n.started.UnixNano())
	n.id = string(atmostonce.NewIncarnation(rand.Reader))
	n.visits = newVisits(n.id[:idPrefix] + ".")
	for _, build := range []func() error{n.buildView, n.buildNetworks, n.buildPlatform, n.buildDecisions, n.buildKeys} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

const idPrefix = 12

// buildDecisions makes the decision cores.
func (n *Node) buildDecisions() error {
	s := n.settings
	gateConfig := admission.Config{Slots: s.Slots, DepthAware: !s.Ablate.NoDepth}
	if n.spoken() {
		gateConfig.DepthAware = false // a dialect does not tell which run a call belongs to
		gateConfig.SlotShare = slotShare
		gateConfig.MaxQueueWait = maxQueueWait
		gateConfig.QueueLimit = queueLimit
	}
	n.graph = admission.NewCallGraph()
	n.shedder = admission.NewShedder()
	n.below = admission.NewShedder()
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
	if n.stored, err = admission.NewBrownout(admission.BrownoutConfig{
		MaxAge:         maxStoredAge,
		NeutralHeaders: slices.Concat(admission.DefaultNeutralHeaders, s.NeutralHeaders),
	}); err != nil {
		return err
	}
	n.followRatio()
	n.repeats = retry.NewRepeats(retry.RepeatsConfig{Seed: n.random(), Start: n.started})
	n.quarantine = newQuarantineState()
	n.quotas = newQuotaState(s.Quota)
	n.router = routing.NewRouter(routing.Config{
		Node:      n.id,
		Zone:      s.Zone,
		Region:    s.Region,
		Start:     n.started,
		SlowStart: n.slowStart(),
		// A gate that drains refuses by itself.
		LastResort: n.spoken(),
	})
	return nil
}

// maxStoredAge bounds stored answers for brownouts; a profile may ask for less.
const maxStoredAge = time.Hour

// buildKeys makes the table of idempotency keys and its hand-over.
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
	n.witnesses = newWitnesses(n.between)
	n.handover, err = newHandoverServer(n)
	return err
}

// Start opens the listeners and begins to serve. The platform need not be up.
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
	n.done.Go(func() { n.tellSlotsOnceJoined(ctx) })
	n.watchTLS(ctx)
	n.done.Go(func() { n.maintain(ctx) })
	if n.spoken() {
		n.done.Go(func() { n.lag.run(ctx) })
	}
	n.done.Go(func() { n.runWitness(ctx) })
	n.done.Go(func() { n.runKeptRecords(ctx) })
	n.log.Emit(observe.NodeStarted, observe.Str("id", n.id), observe.Str("zone", n.settings.Zone), observe.Str("region", n.settings.Region))
	return nil
}

// Close ends the node at once; calls in flight are cut off.
func (n *Node) Close() {
	if n.stop != nil {
		n.stop()
	}
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.closeListeners()
	if n.gossip != nil {
		_ = n.gossip.Close()
	}
	n.peers.CloseIdleConnections()
	n.witnesses.transport.CloseIdleConnections()
	if up := n.upstream.Load(); up != nil {
		up.transport.CloseIdleConnections()
	}
	n.done.Wait()
	n.stopExport()
	n.log.Flush()
}

// ExitRequested is closed when an operator asked for the end of the process.
func (n *Node) ExitRequested() <-chan struct{} { return n.exit }

func (n *Node) requestExit() { n.exitOnce.Do(func() { close(n.exit) }) }

// ID returns the node's incarnation.
func (n *Node) ID() string { return n.id }

func (n *Node) now() time.Time { return time.Now() }

// random returns one random word for a decision.
func (*Node) random() uint64 { return randv2.Uint64() }

func (n *Node) newRequestID() string {
	const base = 36
	return n.visits.prefix + "r" + strconv.FormatUint(n.requestID.Add(1), base)
}
