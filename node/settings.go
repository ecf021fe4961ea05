package node

import (
	"net"
	"net/url"
	"strconv"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/quota"
)

// Settings are a node's process settings. They come from flags and environment
// variables. Configuration that can change while the node runs (profiles, assignments)
// is stored in the platform instead.
type Settings struct {
	// Service is the service whose upstream runs on this VM: 1 to 63 characters of
	// [a-z0-9-], or, with a Dialect, any text of up to 1024 bytes without control
	// characters. Calls from other services use this name.
	Service string
	// Zone is this VM's availability zone and Region its region. Routing prefers targets
	// in the same zone, then targets in the same region.
	Zone   string
	Region string

	// Edge, Peer, Outbound, Gossip and Admin are the listeners' host:port. Port 0
	// selects a free port. Outbound and Admin belong on loopback: a client that can
	// reach them can spend this upstream's credit or drain the node.
	Edge, Peer, Outbound, Gossip, Admin string

	// AdvertisePeer and AdvertiseGossip are the host:port at which other nodes reach the
	// Peer and Gossip listeners where these differ from the bound addresses, for example
	// behind port mapping. Empty means the bound address.
	AdvertisePeer, AdvertiseGossip string

	// PlatformURL is the platform's object API. Empty means that the node runs without
	// the platform and learns everything from its peers.
	PlatformURL string
	// OpenPlatform creates the client of PlatformURL, as store.Open does for the
	// published protocol. It is required if PlatformURL is set and Store is not.
	OpenPlatform func(objects.Options) (objects.Store, error)
	// Peers are gossip addresses of other nodes. The node joins through them when the
	// platform lists no nodes or is unreachable. One reachable peer is enough.
	Peers []string

	// Slots bounds the concurrent calls in the upstream until the upstream announces its
	// own bound.
	Slots int
	// UpstreamConns bounds the connections to the local upstream. A value above Slots
	// only helps an upstream that answers out of order.
	UpstreamConns int
	// PeerConns bounds the concurrent calls to each other node, and PeerCalls those to
	// all other nodes together; each call takes a connection. Further calls are refused
	// as not run.
	PeerConns, PeerCalls int
	// PeerProtocol is how calls to the upstreams beside other nodes are sent.
	PeerProtocol PeerProtocol
	// EdgeConns and PeerInbound bound accepted connections, so that a flood of
	// connections can't exhaust the node's memory.
	EdgeConns, PeerInbound int

	// MaxHeaderBytes bounds a request's header block.
	MaxHeaderBytes int
	// HeadMemory bounds the memory, in bytes, that requests with large header blocks take
	// together: those of more than some 60 fields, or more than 8 KiB. Further ones wait, and
	// are refused as not run after two seconds. The small ones are bounded by the numbers of
	// connections.
	HeadMemory int
	// MaxReplayBytes bounds how much of a request body is buffered in memory for a
	// retry. A longer body is streamed and sent only once.
	MaxReplayBytes int
	// MaxAnswerBytes bounds one stored answer of a keyed call.
	MaxAnswerBytes int
	// KeyEntries bounds the number of idempotency keys in the table. A full table
	// refuses new keyed calls; it never evicts a live key.
	KeyEntries int
	// KeyWindow is how long a key's fate is stored. An older key is refused as expired.
	KeyWindow time.Duration
	// BodyTimeout bounds the time to read one request body, so that a slow sender can't
	// hold a slot forever.
	BodyTimeout time.Duration
	// DrainTimeout bounds how long a drain waits for calls in flight.
	DrainTimeout time.Duration
	// NeutralHeaders are request headers that don't influence the answer, in addition to
	// the default ones. A header that differs on each request, such as a correlation id,
	// must be listed, or no stored answer ever matches in a brownout. A header that
	// identifies a caller must not be listed, or callers receive each other's answers.
	NeutralHeaders []string
	// Lookback is how many hops the node records for explain.
	Lookback int

	// Quota is how far the requests of a customer may exceed its limit. All nodes must
	// have the same value.
	Quota quota.Tolerance

	// GossipInterval is the time between two membership exchanges.
	GossipInterval time.Duration

	// TLS secures the connections between nodes.
	TLS TLSSettings

	// Dialect translates between this node and its callers and upstream. Nil selects
	// this project's own interface, with its edge listener. With a Dialect all requests
	// arrive at Outbound, and Edge may be empty.
	Dialect Dialect
	// RetryRatio bounds the retries to each service if a Dialect is set, as a share of
	// this node's first attempts; without a Dialect the configuration sets the ratio. 0
	// allows no retries; the default is a tenth.
	RetryRatio float64
	// ConfigKind and ConfigName identify the platform object that holds the
	// configuration in the form that Dialect reads. Empty selects this project's own
	// object.
	ConfigKind, ConfigName string

	// Store replaces the HTTP client of the platform (embedding, tests).
	Store objects.Store
	// Network replaces TCP (tests). TLS is layered on top of it.
	Network Network
	// Log receives the numbered events. Nil logs nothing.
	Log *observe.Logger
	// OTLPEndpoint receives spans as OTLP over HTTP. Empty exports nothing.
	OTLPEndpoint string
	// TraceRatio is the share of new traces that are sampled for export, 0 to 1.
	TraceRatio float64
	// Seed makes the node's random choices repeatable (tests). Zero selects a random
	// seed.
	Seed uint64
	// Ablate disables individual mechanisms, for measurements only.
	Ablate Ablation
}

// Ablation lists mechanisms that a measurement may disable to show the effect of each.
// The zero value leaves everything enabled.
type Ablation struct {
	NoAdmission  bool // the gate admits everything up to the slots
	NoFeedback   bool // the root ignores the admission levels of downstream services
	NoDepth      bool // time spent waiting for downstream calls counts as own time
	NoBudget     bool // retries have no ratio bound
	NoFairness   bool // ties are broken by request id only
	NoProgress   bool // a call whose request has already done work counts as new
	NoQuota      bool // customers have no limits
	EqualQuotas  bool // each node gets an equal part of a customer's limit
	NoSlotShare  bool // customers are ranked by the number of their requests
	NoRation     bool // retries are granted first come, first served, not to requests that need the fewest
	NoSealing    bool // a broken attempt counts as unsent (unsafe; shows why sealing is needed)
	NoVisitProof bool // an upstream's shed answer is trusted without proof (unsafe)

	// The rest are unsafe as well; they show that each mechanism is needed.
	NoQuarantine     bool // requests under which upstreams crash are still sent
	RepeatsEarn      bool // a call made by a retried run earns retries like a call of a first run
	CopiedCredit     bool // a call passes its full credit downstream and also retains it
	TransportReplays bool // http.Transport may resend a request by itself
	NoAbort          bool // an answer that breaks off ends like a complete one
	NoFingerprint    bool // a key's answer is returned to any caller that presents the key
	NoKeyHome        bool // any node runs a key, not only its owner
	NoDetach         bool // a keyed run is cancelled when its caller disconnects
	NoClosedVisit    bool // an upstream may call out after its answer
	NoDrainNews      bool // a drain is neither announced nor a reason to refuse calls
	NoDrainWait      bool // a drain aborts calls in flight
	SharedStream     bool // a later attempt sends the unread rest of an earlier attempt's stream
	NoWitness        bool // no other member is notified of calls, as in older builds
	SharedAnswers    bool // a stored answer is returned to any caller that requests its URL
}

// DefaultSettings returns settings that work for one node on loopback.
func DefaultSettings() Settings {
	return Settings{
		Zone:           "zone-a",
		Region:         "region-1",
		Edge:           "127.0.0.1:0",
		Peer:           "127.0.0.1:0",
		Outbound:       "127.0.0.1:0",
		Gossip:         "127.0.0.1:0",
		Admin:          "127.0.0.1:0",
		Slots:          100,
		RetryRatio:     config.DefaultRetryRatio,
		UpstreamConns:  400,
		PeerConns:      256,
		PeerProtocol:   PeerAuto,
		PeerCalls:      4096,
		EdgeConns:      10_000,
		PeerInbound:    10_000,
		MaxHeaderBytes: 32 << 10,
		HeadMemory:     16 << 20,
		MaxReplayBytes: 64 << 10,
		MaxAnswerBytes: 64 << 10,
		KeyEntries:     100_000,
		KeyWindow:      24 * time.Hour,
		BodyTimeout:    30 * time.Second,
		DrainTimeout:   30 * time.Second,
		Lookback:       4096,
		GossipInterval: time.Second,
		Quota:          quota.DefaultTolerance,
	}
}

// Check returns a *SettingsError that lists every invalid setting, or nil.
func (s Settings) Check() error {
	var c checker
	c.names(s)
	if s.Dialect == nil || s.Edge != "" {
		c.address("edge", s.Edge)
	}
	c.address("peer", s.Peer)
	c.address("outbound", s.Outbound)
	c.address("gossip", s.Gossip)
	c.address("admin", s.Admin)
	c.optionalAddress("advertise-peer", s.AdvertisePeer)
	c.optionalAddress("advertise-gossip", s.AdvertiseGossip)
	c.platformURL("platform", s.PlatformURL)
	if s.PlatformURL != "" && s.Store == nil && s.OpenPlatform == nil {
		c.add("platform", strconv.Quote(s.PlatformURL), "empty, because this program has no platform client")
	}
	for _, peer := range s.Peers {
		c.address("peers", peer)
	}
	c.number("slots", s.Slots, 1, 100_000)
	c.number("upstream-conns", s.UpstreamConns, 1, 100_000)
	c.number("peer-conns", s.PeerConns, 1, 100_000)
	c.number("peer-calls", s.PeerCalls, 1, 1_000_000)
	if s.PeerProtocol != PeerAuto && s.PeerProtocol != PeerHTTP1 && s.PeerProtocol != "" {
		c.add("peer-protocol", strconv.Quote(string(s.PeerProtocol)), "auto or http1")
	}
	c.number("edge-conns", s.EdgeConns, 1, 1_000_000)
	c.number("peer-inbound", s.PeerInbound, 1, 1_000_000)
	c.number("max-header-bytes", s.MaxHeaderBytes, 4<<10, 1<<20)
	c.number("head-memory", s.HeadMemory, 1<<20, 1<<30)
	c.number("max-replay-bytes", s.MaxReplayBytes, 0, 16<<20)
	c.number("max-answer-bytes", s.MaxAnswerBytes, 1<<10, 1<<20)
	c.number("key-entries", s.KeyEntries, 16, 10_000_000)
	c.number("lookback", s.Lookback, 64, 1_000_000)
	c.duration("key-window", s.KeyWindow, time.Minute, 14*24*time.Hour)
	c.duration("body-timeout", s.BodyTimeout, 100*time.Millisecond, time.Hour)
	c.duration("drain-timeout", s.DrainTimeout, 0, time.Hour)
	c.duration("quota-window", s.Quota.Window, 100*time.Millisecond, time.Hour)
	if !(s.Quota.Over >= 0 && s.Quota.Over <= 1) {
		c.add("quota-over", strconv.FormatFloat(s.Quota.Over, 'g', -1, 64), "0 to 1")
	}
	if !(s.Quota.Slack >= 0 && s.Quota.Slack <= 1e6) {
		c.add("quota-slack", strconv.FormatFloat(s.Quota.Slack, 'g', -1, 64), "0 to 1e6")
	}
	c.duration("gossip-interval", s.GossipInterval, 20*time.Millisecond, time.Minute)
	c.tls(s.TLS)
	return c.result()
}

type checker struct{ problems []*SettingError }

func (c *checker) add(name, value, allowed string) {
	c.problems = append(c.problems, &SettingError{Name: name, Value: value, Allowed: allowed})
}

func (c *checker) result() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &SettingsError{Problems: c.problems}
}

func (c *checker) address(name, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.add(name, strconv.Quote(value), "host:port with port 0 to 65535")
	}
}

func (c *checker) optionalAddress(name, value string) {
	if value != "" {
		c.address(name, value)
	}
}

func (c *checker) platformURL(name, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(name, strconv.Quote(value), "empty, or http://host:port or https://host:port")
	}
}

func (c *checker) number(name string, value, low, high int) {
	if value < low || value > high {
		c.add(name, strconv.Itoa(value), strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

func (c *checker) duration(name string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(name, value.String(), low.String()+" to "+high.String())
	}
}
