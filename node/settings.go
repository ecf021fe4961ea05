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

// Settings are a node's process settings. They come from flags and
// environment variables; what may change while the node runs (profiles,
// assignments) lives in the platform instead.
type Settings struct {
	// Service is the service whose upstream runs on this VM, 1 to 63 of
	// [a-z0-9-], with a Dialect any text of up to 1024 bytes without control
	// characters. Calls from other services name it.
	Service string
	// Zone is this VM's availability zone and Region its region. Routing
	// stays inside the zone first, then inside the region.
	Zone   string
	Region string

	// Edge, Peer, Outbound, Gossip and Admin are the listeners' host:port.
	// Port 0 takes a free port. Outbound and Admin belong on loopback: who
	// reaches them can spend this upstream's credit or drain it.
	Edge, Peer, Outbound, Gossip, Admin string

	// AdvertisePeer and AdvertiseGossip are the host:port at which other nodes
	// reach the Peer and Gossip listeners where that is not the bound address,
	// as behind port mapping. Empty is the bound address.
	AdvertisePeer, AdvertiseGossip string

	// PlatformURL is the platform's object API. Empty means that the node
	// lives from its peers alone.
	PlatformURL string
	// OpenPlatform makes the client of PlatformURL, as store.Open does for the
	// published protocol. It is needed where there is a PlatformURL and no Store.
	OpenPlatform func(objects.Options) (objects.Store, error)
	// Peers are gossip addresses of other nodes, asked when the platform has
	// none or is down. One that answers is enough.
	Peers []string

	// Slots bounds the calls in the upstream at once until it announces its
	// own bound.
	Slots int
	// UpstreamConns bounds the connections to the local upstream. More than
	// Slots only helps an upstream that answers out of order.
	UpstreamConns int
	// PeerConns bounds the calls at each other node at once, and PeerCalls those
	// at all of them; each takes a connection. More are refused as not run.
	PeerConns, PeerCalls int
	// EdgeConns and PeerInbound bound accepted connections, so that a flood
	// of connections can't take the node's memory.
	EdgeConns, PeerInbound int

	// MaxHeaderBytes bounds a request's header block.
	MaxHeaderBytes int
	// MaxReplayBytes bounds the part of a request body held in memory for a
	// retry. A longer body is streamed and tried once.
	MaxReplayBytes int
	// MaxAnswerBytes bounds one stored answer of a keyed call.
	MaxAnswerBytes int
	// KeyEntries bounds the idempotency keys remembered. A full table refuses
	// new keyed calls; it never forgets a live one.
	KeyEntries int
	// KeyWindow is how long a key's fate is kept. A key older than this is
	// refused as expired.
	KeyWindow time.Duration
	// BodyTimeout bounds the reading of one request body, so that a slow
	// sender can't hold a slot for ever.
	BodyTimeout time.Duration
	// DrainTimeout bounds how long a drain waits for calls in flight.
	DrainTimeout time.Duration
	// NeutralHeaders are request headers that have no bearing on the answer,
	// besides the usual ones. A header that differs with each request, such as
	// a correlation id, must be listed, or no stored answer is ever found in a
	// brownout; one that identifies a caller must not be, or callers are shown
	// one another's answers.
	NeutralHeaders []string
	// Lookback is how many hops the explain ring holds.
	Lookback int

	// Quota is how far the requests of a customer may exceed its limit. The same has
	// to hold at all nodes.
	Quota quota.Tolerance

	// GossipInterval is the time between two membership exchanges.
	GossipInterval time.Duration

	// TLS secures the connections between nodes.
	TLS TLSSettings

	// Dialect is how callers and the upstream speak. Nil is this project's own
	// interface, with its edge listener; with a Dialect all requests come in
	// at Outbound, and Edge may be empty.
	Dialect Dialect
	// RetryRatio bounds the retries on each service where a Dialect is given,
	// as a share of this node's first attempts; elsewhere the configuration
	// gives it. 0 allows none; the default is a tenth.
	RetryRatio float64
	// ConfigKind and ConfigName are the object that holds the configuration in
	// the form that Dialect reads. Empty is this project's own object.
	ConfigKind, ConfigName string

	// Store replaces the HTTP client of the platform (embedding, tests).
	Store objects.Store
	// Network replaces TCP (tests). TLS goes on top of it.
	Network Network
	// Log takes the numbered events. Nil logs nothing.
	Log *observe.Logger
	// OTLPEndpoint receives spans as OTLP over HTTP. Empty exports nothing.
	OTLPEndpoint string
	// TraceRatio is the share of new traces that are sampled for export, 0 to 1.
	TraceRatio float64
	// Seed makes the node's random choices repeatable (tests). Zero takes a
	// random one.
	Seed uint64
	// Ablate switches single mechanisms off, for measurement only.
	Ablate Ablation
}

// Ablation names mechanisms that a measurement may switch off to show what
// each is worth. The zero value leaves everything on.
type Ablation struct {
	NoAdmission  bool // the gate takes everything up to the slots
	NoFeedback   bool // the root ignores admission levels below
	NoDepth      bool // time spent waiting for calls below counts as own time
	NoBudget     bool // no ratio bound on retries
	NoFairness   bool // tie-break by request id only
	NoProgress   bool // a call whose request has work done counts as new
	NoQuota      bool // customers have no limits
	EqualQuotas  bool // each node has the same part of a customer's limit
	NoRation     bool // retries go to who asks first, not to who needs the fewest
	NoSealing    bool // a broken attempt counts as unsent (unsafe; shows why)
	NoVisitProof bool // an upstream's shed answer is believed (unsafe)

	// The rest are unsafe as well, and there to show that each is needed.
	NoQuarantine     bool // requests under which upstreams end are sent on
	RepeatsEarn      bool // a call of a run that is a retry earns retries like a first one
	CopiedCredit     bool // a call hands down its whole credit and keeps it
	TransportReplays bool // http.Transport may resend a request by itself
	NoAbort          bool // an answer that breaks off ends like a whole one
	NoFingerprint    bool // a key's answer goes to whoever brings the key
	NoKeyHome        bool // any node runs a key, not its home alone
	NoDetach         bool // a keyed run ends when its caller goes
	NoClosedVisit    bool // an upstream may call out after its answer
	NoDrainNews      bool // a drain is neither told nor a reason to refuse
	NoDrainWait      bool // a drain ends calls in flight
	SharedStream     bool // a later attempt sends what an earlier one left of a stream
	NoWitness        bool // no other member is told of calls, as by older builds
	SharedAnswers    bool // a stored answer goes to whoever asks for its URL
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
		PeerCalls:      4096,
		EdgeConns:      10_000,
		PeerInbound:    10_000,
		MaxHeaderBytes: 32 << 10,
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

// Check returns a *SettingsError that lists every wrong setting, or nil.
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
		c.add("platform", strconv.Quote(s.PlatformURL), "empty, where the program has no client for it")
	}
	for _, peer := range s.Peers {
		c.address("peers", peer)
	}
	c.number("slots", s.Slots, 1, 100_000)
	c.number("upstream-conns", s.UpstreamConns, 1, 100_000)
	c.number("peer-conns", s.PeerConns, 1, 100_000)
	c.number("peer-calls", s.PeerCalls, 1, 1_000_000)
	c.number("edge-conns", s.EdgeConns, 1, 1_000_000)
	c.number("peer-inbound", s.PeerInbound, 1, 1_000_000)
	c.number("max-header-bytes", s.MaxHeaderBytes, 4<<10, 1<<20)
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
