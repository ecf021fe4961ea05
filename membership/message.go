package membership

import (
	"net"
	"strconv"

	"pollengauge.dev/call"
)

// Kind says what a message asks for.
type Kind uint8

const (
	// KindPing asks for a sign of life and carries rumors.
	KindPing Kind = iota
	// KindRelay asks the receiver to ping Target on the sender's behalf.
	KindRelay
	// KindSync compares the digests of two tables.
	KindSync
	// KindPull asks for the configuration payload.
	KindPull
	kindCount
)

// Bounds on what a peer may send. A message over one of them is refused whole.
const (
	maxName     = 63
	maxAddr     = 64
	maxInherits = 32
	// maxWorkTimes bounds Member.WorkTimes, which each change of one sends to all.
	maxWorkTimes = 4
	// maxHeld bounds Member.Held, for the same reason.
	maxHeld  = 16
	maxSlots = 1 << 20
	// maxEntries bounds one message. A sync of a larger table takes several.
	maxEntries = 2048
	// maxSeqAhead bounds how far a claim may jump. Without it one corrupt Seq
	// would make every true announcement of that member look old for ever.
	maxSeqAhead = 1 << 16
	// maxSeq bounds the Seq and the Epoch of members not yet known; it holds
	// the milliseconds of the wall clock.
	maxSeq = 1 << 48
	// bucketCount is the number of digests into which a table is split, so
	// that one difference costs the entries of one bucket.
	bucketCount = 64
	bucketBytes = 4
)

// Entry is one claim about a member, in the form that travels. Suspect, Dead
// and Left need only ID, State and Seq; so does a refutation, with the Revision
// of the description that still holds.
type Entry struct {
	// ID is the incarnation in its 16 byte form.
	ID         string
	State      State
	Seq        uint64
	Revision   uint64
	Epoch      uint64
	Service    string
	Addr       string
	GossipAddr string
	Zone       string
	Region     string
	Slots      uint32
	Draining   bool
	Inherits   []string
	WorkTimes  []WorkTime
	Held       []HeldRequest
}

// Message is a request or a reply. Fields that are not set cost nothing.
type Message struct {
	Kind Kind
	// From is the sender's incarnation, FromSeq the highest Seq it announced.
	From    string
	FromSeq uint64
	// Target is the incarnation that a ping or a relay is meant for.
	Target  string
	Entries []Entry
	// Known is, in a reply, one bit for each entry of the request: the
	// replier knew it already.
	Known []byte
	// Wanted is, in a reply, one bit for each entry of the request that was
	// too short: the replier lacks the description.
	Wanted []byte
	// Buckets are the digests of the sender's table, and Size the number of
	// members in it that are not gone (sync only).
	Buckets []byte
	Size    uint32
	// Reached is, in the reply to a relay, whether Target answered.
	Reached bool
	// Stranger is set in a reply to a sender that the replier doesn't know.
	Stranger bool
	// Version is the sender's configuration version, Data its payload (pull only).
	Version uint64
	Data    []byte
	// Packed tells in a request that the sender can unpack Data, and in a reply
	// that Data is packed.
	Packed bool
	// Newest is the highest version that the sender knows of, set where it is
	// above Version: the sender has refused it, or not got it yet. NewestAge is how
	// long ago it was last known, in milliseconds.
	Newest    uint64
	NewestAge uint64
	// Places is how many places of the fleet the sender has seen itself, 0 if it does
	// not tell.
	Places uint32
}

// validate refuses a message with any malformed field.
func (m *Message) validate(cfg *Config) error {
	switch {
	case m == nil:
		return &InvalidError{Field: "message", Want: "a message"}
	case m.Kind >= kindCount:
		return &InvalidError{Field: "kind", Value: strconv.Itoa(int(m.Kind)), Want: "a known kind"}
	case !validRawID(m.From):
		return &InvalidError{Field: "from", Value: m.From, Want: "16 bytes"}
	case m.Target != "" && !validRawID(m.Target):
		return &InvalidError{Field: "target", Value: m.Target, Want: "16 bytes"}
	case m.FromSeq > maxSeq:
		return &InvalidError{Field: "from seq", Value: strconv.FormatUint(m.FromSeq, 10), Want: "a smaller number"}
	case len(m.Entries) > maxEntries:
		return &InvalidError{Field: "entries", Value: strconv.Itoa(len(m.Entries)), Want: "at most " + strconv.Itoa(maxEntries)}
	case len(m.Known) > maxEntries/8:
		return &InvalidError{Field: "known", Value: strconv.Itoa(len(m.Known)), Want: "a bit for each entry"}
	case len(m.Wanted) > maxEntries/8:
		return &InvalidError{Field: "wanted", Value: strconv.Itoa(len(m.Wanted)), Want: "a bit for each entry"}
	case len(m.Buckets) != 0 && len(m.Buckets) != bucketCount*bucketBytes:
		return &InvalidError{Field: "buckets", Value: strconv.Itoa(len(m.Buckets)), Want: strconv.Itoa(bucketCount * bucketBytes)}
	case len(m.Data) > cfg.MaxPayloadBytes:
		return &InvalidError{Field: "data", Value: strconv.Itoa(len(m.Data)), Want: "at most " + strconv.Itoa(cfg.MaxPayloadBytes)}
	}
	for i := range m.Entries {
		if err := m.Entries[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) validate() error {
	switch {
	case !validRawID(e.ID):
		return &InvalidError{Field: "entry id", Value: e.ID, Want: "16 bytes"}
	case e.State > Left:
		return &InvalidError{Field: "state", Value: strconv.Itoa(int(e.State)), Want: "a known state"}
	case e.Seq == 0 || e.Seq > maxSeq:
		return &InvalidError{Field: "seq", Value: strconv.FormatUint(e.Seq, 10), Want: "1 to 2^48"}
	case e.Revision > e.Seq || (e.State == Alive && e.Revision == 0):
		return &InvalidError{Field: "revision", Value: strconv.FormatUint(e.Revision, 10), Want: "1 to the seq"}
	case e.Epoch > maxSeq:
		return &InvalidError{Field: "epoch", Value: strconv.FormatUint(e.Epoch, 10), Want: "at most 2^48"}
	case e.Slots > maxSlots:
		return &InvalidError{Field: "slots", Value: strconv.Itoa(int(e.Slots)), Want: "at most " + strconv.Itoa(maxSlots)}
	case len(e.WorkTimes) > maxWorkTimes:
		return &InvalidError{Field: "work times", Value: strconv.Itoa(len(e.WorkTimes)), Want: "at most " + strconv.Itoa(maxWorkTimes)}
	case len(e.Held) > maxHeld:
		return &InvalidError{Field: "held requests", Value: strconv.Itoa(len(e.Held)), Want: "at most " + strconv.Itoa(maxHeld)}
	case len(e.Inherits) > maxInherits:
		return &InvalidError{Field: "inherits", Value: strconv.Itoa(len(e.Inherits)), Want: "at most " + strconv.Itoa(maxInherits)}
	}
	for _, id := range e.Inherits {
		if !validRawID(id) {
			return &InvalidError{Field: "inherits", Value: id, Want: "16 bytes"}
		}
	}
	if e.full() {
		return validIdentity(e.Service, e.Addr, e.GossipAddr, e.Zone, e.Region)
	}
	return nil
}

// full reports whether the entry describes the member, not only its state.
func (e *Entry) full() bool { return e.GossipAddr != "" }

func validIdentity(service, addr, gossipAddr, zone, region string) error {
	names := [...]struct{ field, value string }{{"service", service}, {"zone", zone}, {"region", region}}
	for _, n := range names {
		if !call.ValidToken(n.value, maxName) {
			return &InvalidError{Field: n.field, Value: n.value, Want: "1 to " + strconv.Itoa(maxName) + " visible ASCII characters"}
		}
	}
	addrs := [...]struct{ field, value string }{{"address", addr}, {"gossip address", gossipAddr}}
	for _, a := range addrs {
		if !validAddr(a.value) {
			return &InvalidError{Field: a.field, Value: a.value, Want: "host:port"}
		}
	}
	return nil
}

func validAddr(addr string) bool {
	if !call.ValidToken(addr, maxAddr) {
		return false
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func validRawID(s string) bool { return len(s) == len(memberID{}) && s != string(make([]byte, len(s))) }

func rawID(s string) memberID {
	var id memberID
	copy(id[:], s)
	return id
}

// fullEntry is the claim that describes m as it is known.
func fullEntry(id memberID, m *Member) Entry {
	e := Entry{
		ID: string(id[:]), State: m.State, Seq: m.Seq, Revision: m.Revision, Epoch: m.Epoch,
		Service: m.Service, Addr: m.Addr, GossipAddr: m.GossipAddr,
		Zone: m.Zone, Region: m.Region, Slots: uint32(m.Slots), Draining: m.Draining,
		WorkTimes: m.WorkTimes, Held: m.Held,
	}
	for _, s := range m.Inherits {
		if heir, ok := parseID(s); ok {
			e.Inherits = append(e.Inherits, string(heir[:]))
		}
	}
	return e
}

// stateEntry is the short claim for a member that the receiver likely knows.
func stateEntry(id memberID, m *Member) Entry {
	e := Entry{ID: string(id[:]), State: m.State, Seq: m.Seq}
	if m.State == Alive {
		e.Revision = m.Revision
	}
	return e
}

// member is the inverse of fullEntry.
func (e *Entry) member() Member {
	m := Member{
		ID: rawID(e.ID).hex(), Service: e.Service, Addr: e.Addr, GossipAddr: e.GossipAddr,
		Zone: e.Zone, Region: e.Region, Slots: int(e.Slots), Draining: e.Draining,
		State: e.State, Seq: e.Seq, Revision: e.Revision, Epoch: e.Epoch,
		WorkTimes: e.WorkTimes, Held: e.Held,
	}
	for _, s := range e.Inherits {
		m.Inherits = append(m.Inherits, rawID(s).hex())
	}
	return m
}

// entryOverhead is the length of a short claim in the codec, about.
const entryOverhead = 26

// workTimeSize is the length of a WorkTime in the codec, about.
const workTimeSize = 12

// heldSize is the length of a HeldRequest in the codec, about.
const heldSize = 16

// size estimates the encoded length.
func (e *Entry) size() int {
	n := entryOverhead + len(e.Inherits)*(len(memberID{})+1) + len(e.WorkTimes)*workTimeSize + len(e.Held)*heldSize
	if e.full() {
		n += 20 + len(e.Service) + len(e.Addr) + len(e.GossipAddr) + len(e.Zone) + len(e.Region)
	}
	return n
}
