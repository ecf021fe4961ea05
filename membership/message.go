package membership

import (
	"net"
	"strconv"

	"pollengauge.dev/call"
)

// Kind is the type of a request.
type Kind uint8

const (
	// KindPing is a probe that also carries rumors.
	KindPing Kind = iota
	// KindRelay asks the receiver to ping Target on the sender's behalf.
	KindRelay
	// KindSync compares the digests of two tables.
	KindSync
	// KindPull requests the configuration payload.
	KindPull
	kindCount
)

// Bounds on a peer's message. A message that exceeds one of them is rejected as a whole.
const (
	maxName     = 63
	maxAddr     = 64
	maxInherits = 32
	// maxWorkTimes bounds Member.WorkTimes. All of them are sent to all members whenever
	// one changes.
	maxWorkTimes = 4
	// maxHeld bounds Member.Held, for the same reason.
	maxHeld  = 16
	maxSlots = 1 << 20
	// maxEntries bounds the entries of one message. The sync of a larger table takes
	// several messages.
	maxEntries = 2048
	// maxSeqAhead bounds how far a claim may be above the known Seq. Without it one
	// corrupt Seq would make every true announcement of that member look outdated for
	// ever.
	maxSeqAhead = 1 << 16
	// maxSeq bounds the Seq and the Epoch of members that are not yet known. It is large
	// enough for the wall clock in milliseconds.
	maxSeq = 1 << 48
	// bucketCount is the number of buckets into which a table is split, each with its own
	// digest, so that one difference costs only the entries of one bucket.
	bucketCount = 64
	bucketBytes = 4
)

// Entry is the wire form of one claim about a member. Suspect, Dead and Left claims need
// only ID, State and Seq. A refutation needs these and the Revision of the description
// that still applies.
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

// Message is a request or a reply. Fields that are not set take no space on the wire.
type Message struct {
	Kind Kind
	// From is the sender's incarnation, FromSeq the highest Seq that it has announced.
	From    string
	FromSeq uint64
	// Target is the incarnation that a ping or a relay addresses.
	Target  string
	Entries []Entry
	// Known has, in a reply, one bit for each entry of the request, set if the replier
	// knew the entry already.
	Known []byte
	// Wanted has, in a reply, one bit for each entry of the request, set if the entry was
	// short and the replier lacks the description.
	Wanted []byte
	// Buckets are the digests of the sender's table, and Size is the number of members in
	// it that are not gone (sync only).
	Buckets []byte
	Size    uint32
	// Reached reports, in the reply to a relay, whether Target answered.
	Reached bool
	// Stranger is set in a reply to a sender that the replier doesn't know.
	Stranger bool
	// Version is the sender's configuration version, Data its payload (pull only).
	Version uint64
	Data    []byte
	// Packed means, in a request, that the sender can unpack a compressed Data, and in a
	// reply that Data is compressed.
	Packed bool
	// Newest is the highest version that the sender knows to exist. It is set only if it
	// is above Version: the sender has rejected that version, or not received it yet.
	// NewestAge is the time in milliseconds since its existence was last confirmed.
	Newest    uint64
	NewestAge uint64
	// Places is the number of fleet places that the sender has seen itself, 0 if it does
	// not report the number; see Delegate.Places.
	Places uint32
}

// validate returns an *InvalidError if any field is malformed.
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
	if e.hasDescription() {
		return validIdentity(e.Service, e.Addr, e.GossipAddr, e.Zone, e.Region)
	}
	return nil
}

// hasDescription reports whether the entry contains the member's description, not only
// its state.
func (e *Entry) hasDescription() bool { return e.GossipAddr != "" }

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

// fullEntry returns a claim that includes the description of m.
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

// stateEntry returns the short claim, without a description, for receivers that likely
// know the member.
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

// entryOverhead is the approximate encoded length of a short claim in bytes.
const entryOverhead = 26

// workTimeSize is the approximate encoded length of a WorkTime in bytes.
const workTimeSize = 12

// heldSize is the approximate encoded length of a HeldRequest in bytes.
const heldSize = 16

// size estimates the encoded length in bytes.
func (e *Entry) size() int {
	n := entryOverhead + len(e.Inherits)*(len(memberID{})+1) + len(e.WorkTimes)*workTimeSize + len(e.Held)*heldSize
	if e.hasDescription() {
		n += 20 + len(e.Service) + len(e.Addr) + len(e.GossipAddr) + len(e.Zone) + len(e.Region)
	}
	return n
}
