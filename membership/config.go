package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Delegate connects the owner's configuration, which gossip distributes, to the protocol.
// Its methods are called without locks held and may be called concurrently; a slow Offer
// delays only the next payload.
type Delegate interface {
	// LocalVersion returns the configuration version in force in this process. It is
	// called for each message.
	LocalVersion() uint64
	// Payload returns the version in force and its encoding.
	Payload() (version uint64, data []byte)
	// Offer delivers the payload of a peer that announced a higher version. The delegate
	// validates it. If LocalVersion is higher afterwards, the payload was accepted.
	Offer(from string, version uint64, data []byte)
	// NewestVersion returns the highest version that is known to exist, whether or not it
	// is in force here, and the time since its existence was last confirmed. It is called
	// for each message.
	NewestVersion() (version uint64, age time.Duration)
	// ObserveVersion reports a version that some member knew to exist at the given age.
	ObserveVersion(version uint64, age time.Duration)
	// Places returns the number of fleet places that this process has seen itself, where
	// a place is a gossip address at which a member runs or ran; 0 leaves the count out
	// of messages. It is called for each message.
	Places() int
	// ObservePlaces reports the number of places that another member has seen.
	ObservePlaces(count int)
}

// Config configures a Gossip. Zero fields take the defaults.
type Config struct {
	// Self describes this process. ID, Service, Addr, GossipAddr, Zone and Region are
	// required and stay fixed.
	Self Member

	// Listener accepts exchanges from peers; it may be a TLS listener. With a nil
	// Listener the owner calls Handle itself.
	Listener net.Listener
	// Dial opens a connection to a peer; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Transport replaces net/rpc over Dial, for example in tests.
	Transport Transport

	// Interval is the time between two probes sent by one member. All neighbours together
	// probe each member about once per Interval. Halving it halves the first part of the
	// detection time, which ends with a failed probe, and doubles the steady traffic.
	// Default 1 s.
	Interval time.Duration
	// ProbeTimeout bounds a direct probe, and each leg of an indirect one. While members
	// answer late, the bound grows up to four times. ProbeTimeout must be well above the
	// round-trip time between regions. Default 500 ms.
	ProbeTimeout time.Duration
	// SuspicionMult scales the time that a suspect has to refute the suspicion:
	// SuspicionMult * Interval * log10(members), with log10 at least 2. A lower value
	// detects failures sooner, and declares more paused or slow members dead. Default 1.
	SuspicionMult float64
	// Neighbors is the number of members that each member probes in turn, which is also
	// the number of persistent connections in each direction. More neighbours spread
	// updates sooner and use more memory. Default 8.
	Neighbors int
	// Fanout is the number of peers that receive one round of rumors. Default 3.
	Fanout int
	// RumorInterval is the minimum time between two rounds of rumors. A longer interval
	// batches more updates into one message and spreads them later. Default 100 ms.
	RumorInterval time.Duration
	// SyncInterval is the time between two table comparisons with a random member. It
	// bounds the time until a missed rumor is repaired. Default 10 s.
	SyncInterval time.Duration
	// HealInterval is the time between two attempts to reach a dead member. It bounds the
	// time until a network partition merges, and the traffic sent to VMs that are gone
	// for good. Default 10 s.
	HealInterval time.Duration
	// ProbeLeft includes members that left in the attempts to reach dead members. It is
	// meant for a VM that restarts at its old address while its seeds can't be read, so
	// that only other members can find it. Without ProbeLeft, a member that left is
	// considered gone for good.
	ProbeLeft bool
	// DeadRetention is the time for which dead members are remembered and probed; a
	// partition that lasts longer merges through the seeds. Default 30 min.
	DeadRetention time.Duration

	// MaxMessageBytes bounds a message in either direction, excluding the payload that a
	// reply may carry. Default 2 MiB.
	MaxMessageBytes int
	// MaxPayloadBytes bounds the configuration payload. Default 1 MiB.
	MaxPayloadBytes int
	// RumorBytes bounds the rumors in one message. It thereby bounds the traffic of a
	// burst of changes to Fanout * RumorBytes per RumorInterval. Default 4 KiB.
	RumorBytes int
	// MaxMembers bounds the table, including remembered dead members. Default 4096.
	MaxMembers int
	// MaxClients bounds the open connections to peers. Default 3 * Neighbors.
	MaxClients int
	// MaxInbound bounds the open connections from peers. Default 256.
	MaxInbound int

	// Seeds returns gossip addresses to join through. It is called at the start.
	// Afterwards, a node that lost members recently, or that doesn't know or can't reach
	// all seeds, calls it again after half a second per member that it knows: a small
	// group calls it often, and the rate of the whole fleet does not grow with the size
	// of the fleet. The wait doubles while all seeds are known.
	Seeds func(ctx context.Context) ([]string, error)
	// SeedBackoff is the first wait between two calls of Seeds on a node that knows no
	// other member. It doubles up to MinSeedWait. Default 1 s.
	SeedBackoff time.Duration
	// MinSeedWait is the shortest wait between two calls of Seeds on a node that knows
	// other members. It bounds the time until a small group finds the rest of the fleet
	// once it can be reached. Default 10 s.
	MinSeedWait time.Duration
	// MaxSeedWait is the longest wait between two calls of Seeds. Default 5 min.
	MaxSeedWait time.Duration

	// Rand is the source of random choices; nil is seeded at random. It is used under a
	// lock of the Gossip, so it must not be shared.
	Rand *rand.Rand
	// Clock returns the current time; nil means time.Now. A jump of the clock is treated
	// as a pause of the process.
	Clock func() time.Time
	// Delegate supplies and accepts configuration; nil disables its distribution.
	Delegate Delegate
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// withDefaults returns c with defaults in its zero fields, or an error if a field is
// invalid.
func (c Config) withDefaults() (Config, error) {
	setDefault(&c.Interval, time.Second)
	setDefault(&c.ProbeTimeout, 500*time.Millisecond)
	setDefault(&c.SuspicionMult, 1)
	setDefault(&c.Neighbors, 8)
	setDefault(&c.Fanout, 3)
	setDefault(&c.RumorInterval, 100*time.Millisecond)
	setDefault(&c.SyncInterval, 10*time.Second)
	setDefault(&c.HealInterval, 10*time.Second)
	setDefault(&c.DeadRetention, 30*time.Minute)
	setDefault(&c.MaxMessageBytes, 2<<20)
	setDefault(&c.MaxPayloadBytes, 1<<20)
	setDefault(&c.RumorBytes, 4<<10)
	setDefault(&c.MaxMembers, 4096)
	setDefault(&c.MaxClients, 3*c.Neighbors)
	setDefault(&c.MaxInbound, 256)
	setDefault(&c.SeedBackoff, time.Second)
	setDefault(&c.MinSeedWait, 10*time.Second)
	setDefault(&c.MaxSeedWait, 5*time.Minute)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Delegate == nil {
		c.Delegate = noDelegate{}
	}
	return c, c.check()
}

func (c *Config) check() error {
	if _, ok := parseID(c.Self.ID); !ok {
		return &ConfigError{Field: "Self.ID", Want: "32 hexadecimal digits"}
	}
	if err := validIdentity(c.Self.Service, c.Self.Addr, c.Self.GossipAddr, c.Self.Zone, c.Self.Region); err != nil {
		return err
	}
	if err := checkMutable(&c.Self); err != nil {
		return err
	}
	if err := c.checkDurations(); err != nil {
		return err
	}
	if err := c.checkCounts(); err != nil {
		return err
	}
	if c.SuspicionMult <= 0 {
		return &ConfigError{Field: "SuspicionMult", Want: "more than 0"}
	}
	if c.MaxMessageBytes < minMessageBytes {
		return &ConfigError{Field: "MaxMessageBytes", Want: "at least 64 KiB"}
	}
	return nil
}

func (c *Config) checkDurations() error {
	durations := [...]struct {
		field string
		value time.Duration
	}{
		{"Interval", c.Interval}, {"ProbeTimeout", c.ProbeTimeout}, {"RumorInterval", c.RumorInterval},
		{"SyncInterval", c.SyncInterval}, {"HealInterval", c.HealInterval}, {"DeadRetention", c.DeadRetention},
		{"SeedBackoff", c.SeedBackoff}, {"MinSeedWait", c.MinSeedWait}, {"MaxSeedWait", c.MaxSeedWait},
	}
	for _, d := range durations {
		if d.value < time.Millisecond {
			return &ConfigError{Field: d.field, Want: "at least 1 ms"}
		}
	}
	return nil
}

func (c *Config) checkCounts() error {
	counts := [...]struct {
		field string
		value int
	}{
		{"Neighbors", c.Neighbors}, {"Fanout", c.Fanout}, {"MaxMembers", c.MaxMembers}, {"MaxClients", c.MaxClients},
		{"MaxInbound", c.MaxInbound}, {"RumorBytes", c.RumorBytes}, {"MaxPayloadBytes", c.MaxPayloadBytes},
	}
	for _, n := range counts {
		if n.value < 1 {
			return &ConfigError{Field: n.field, Want: "at least 1"}
		}
	}
	return nil
}

// minMessageBytes is large enough for a full round of rumors.
const minMessageBytes = 64 << 10

// maxReplyBytes returns the maximum length of the answer to a request.
func (c *Config) maxReplyBytes() int { return c.MaxMessageBytes + c.MaxPayloadBytes }

// checkMutable checks the fields that Update may change.
func checkMutable(m *Member) error {
	if m.Slots < 0 || m.Slots > maxSlots {
		return &ConfigError{Field: "Slots", Want: "0 to 2^20"}
	}
	if len(m.Inherits) > maxInherits {
		return &ConfigError{Field: "Inherits", Want: "at most 32 incarnations"}
	}
	if len(m.WorkTimes) > maxWorkTimes {
		return &ConfigError{Field: "WorkTimes", Want: "at most 4"}
	}
	if len(m.Held) > maxHeld {
		return &ConfigError{Field: "Held", Want: "at most 16"}
	}
	for _, id := range m.Inherits {
		if _, ok := parseID(id); !ok {
			return &ConfigError{Field: "Inherits", Want: "32 hexadecimal digits each"}
		}
	}
	return nil
}

// noDelegate is the Delegate of a process without configuration.
type noDelegate struct{}

func (noDelegate) LocalVersion() uint64                   { return 0 }
func (noDelegate) Payload() (uint64, []byte)              { return 0, nil }
func (noDelegate) Offer(string, uint64, []byte)           {}
func (noDelegate) NewestVersion() (uint64, time.Duration) { return 0, 0 }
func (noDelegate) ObserveVersion(uint64, time.Duration)   {}
func (noDelegate) Places() int                            { return 0 }
func (noDelegate) ObservePlaces(int)                      {}
