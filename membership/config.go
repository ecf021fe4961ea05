package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Delegate lets configuration versions travel with gossip. Its methods are
// called without locks held and may be called concurrently; a slow Offer
// delays only the next payload.
type Delegate interface {
	// LocalVersion returns the version in force here. It is called for each message.
	LocalVersion() uint64
	// Payload returns the version in force and its encoding.
	Payload() (version uint64, data []byte)
	// Offer hands over the payload of a peer that showed a higher version.
	// The delegate validates it; a rise of LocalVersion tells that it was taken.
	Offer(from string, version uint64, data []byte)
	// NewestVersion returns the highest version that is known to exist, in force
	// here or not, and how long ago that was last known. It is called for each message.
	NewestVersion() (version uint64, age time.Duration)
	// Hear tells of a version that some member knew of so long ago.
	Hear(version uint64, age time.Duration)
	// Places is how many places of the fleet this process has seen itself, 0 not to
	// tell. It is asked for each message.
	Places() int
	// HearPlaces takes in what another member told of that.
	HearPlaces(count int)
}

// Config is the set of choices of one Gossip. Zero fields take the defaults.
type Config struct {
	// Self describes this process. ID, Service, Addr, GossipAddr, Zone and
	// Region are needed and stay fixed.
	Self Member

	// Listener takes exchanges of peers. TLS can be put under it. With a nil
	// Listener the owner calls Handle itself.
	Listener net.Listener
	// Dial opens a connection to a peer; nil is plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Transport replaces net/rpc over Dial, in tests say.
	Transport Transport

	// Interval is the time between two probes by one member. Each member is
	// probed about once an interval by its neighbours together. Half the
	// interval halves the first part of the detection time and doubles the
	// steady traffic. Default 1 s.
	Interval time.Duration
	// ProbeTimeout bounds a direct probe, and each leg of an indirect one, up to
	// four times longer while members answer late. It must be well above the
	// round trip between regions. Default 500 ms.
	ProbeTimeout time.Duration
	// SuspicionMult scales the time that a suspect has to refute:
	// SuspicionMult * Interval * log10(members), with log10 at least 2. Lower
	// detects sooner, and takes more paused or slow members for dead. Default 1.
	SuspicionMult float64
	// Neighbors is the number of members that each member probes in turn, and
	// so of connections that stay open in each direction. More spread the
	// news sooner and cost memory. Default 8.
	Neighbors int
	// Fanout is the number of peers told in one round of rumors. Default 3.
	Fanout int
	// RumorInterval is the least time between two rounds of rumors. Longer
	// puts more news into one message and spreads it later. Default 100 ms.
	RumorInterval time.Duration
	// SyncInterval is the time between two comparisons with a random member.
	// It bounds how long a missed rumor stays missed. Default 10 s.
	SyncInterval time.Duration
	// HealInterval is the time between two attempts to reach a dead member.
	// It bounds how soon a cut heals, and the traffic towards VMs that are
	// gone for good. Default 10 s.
	HealInterval time.Duration
	// TryLeft has members that left tried like dead ones. A VM is restarted at
	// its old address while its seeds can't be read; then only the others can
	// find it. Off, one that left is believed to be gone for good.
	TryLeft bool
	// DeadRetention is how long dead members are remembered and tried; a cut
	// that lasts longer heals through the seeds. Default 30 min.
	DeadRetention time.Duration

	// MaxMessageBytes bounds a message in either direction, without the payload
	// that a reply may carry. Default 2 MiB.
	MaxMessageBytes int
	// MaxPayloadBytes bounds the configuration payload. Default 1 MiB.
	MaxPayloadBytes int
	// RumorBytes bounds the rumors in one message, and so the traffic of a
	// storm: Fanout * RumorBytes each RumorInterval at most. Default 4 KiB.
	RumorBytes int
	// MaxMembers bounds the table, remembered dead included. Default 4096.
	MaxMembers int
	// MaxClients bounds open connections to peers. Default 3 * Neighbors.
	MaxClients int
	// MaxInbound bounds open connections from peers. Default 256.
	MaxInbound int

	// Seeds returns gossip addresses to join through. It is asked at the start.
	// After that, a node that lost members lately, or that doesn't know or
	// can't reach all seeds, asks after half a second for each member that it
	// knows: a small group asks often, and a fleet as a whole no more the
	// larger it is. The wait doubles while all seeds are known.
	Seeds func(ctx context.Context) ([]string, error)
	// SeedBackoff is the first wait of a node that knows nobody. It doubles
	// up to MinSeedWait. Default 1 s.
	SeedBackoff time.Duration
	// MinSeedWait is the shortest wait otherwise. It bounds how soon a small
	// group finds the rest once it can be reached. Default 10 s.
	MinSeedWait time.Duration
	// MaxSeedWait is the longest wait. Default 5 min.
	MaxSeedWait time.Duration

	// Rand is the source of choices; nil is seeded at random. It is used under
	// a lock of the Gossip, so it must not be shared.
	Rand *rand.Rand
	// Clock is the time; nil is time.Now. A jump tells of a pause.
	Clock func() time.Time
	// Delegate carries configuration; nil carries none.
	Delegate Delegate
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// withDefaults fills in zero fields and checks the rest.
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

// minMessageBytes has room for a full round of rumors.
const minMessageBytes = 64 << 10

// maxReplyBytes bounds the answer to a request.
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

// noDelegate stands for a process without configuration.
type noDelegate struct{}

func (noDelegate) LocalVersion() uint64                   { return 0 }
func (noDelegate) Payload() (uint64, []byte)              { return 0, nil }
func (noDelegate) Offer(string, uint64, []byte)           {}
func (noDelegate) NewestVersion() (uint64, time.Duration) { return 0, 0 }
func (noDelegate) Hear(uint64, time.Duration)             {}
func (noDelegate) Places() int                            { return 0 }
func (noDelegate) HearPlaces(int)                         {}
