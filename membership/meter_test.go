package membership

import (
	"encoding/gob"
	"net/rpc"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bytes on the wire in addition to the codec's: Ethernet, IP and TCP headers of a
// segment, with three segments per exchange (request, reply, acknowledgement), and seven
// to open and close a connection.
const (
	segmentHeader     = 66
	exchangeSegments  = 3
	handshakeSegments = 7
	segmentPayload    = 1448
)

// meter counts the bytes that the rpc transport would transfer, with the real codec, on
// connections that stay open as long as they stay in the real connection cache.
type meter struct {
	mu    sync.Mutex
	bytes int
	dials int
	calls int
	// byNode counts both directions of each node. byKind counts the requests of each
	// kind, followed by the replies of each kind.
	byNode map[string]int
	byKind [2 * kindCount]int
	// crossZone counts the bytes between availability zones.
	crossZone int
	conns     map[*testNode]*lru.Cache[*testNode, *meteredConn]
}

type meteredConn struct {
	count             counter
	request, response *gob.Encoder
	seq               uint64
}

// counter is a writer that only counts.
type counter int

func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes, m.dials, m.calls = 0, 0, 0
	m.byNode, m.byKind, m.crossZone = nil, [2 * kindCount]int{}, 0
}

func (m *meter) count(from, to *testNode, message *Message, isReply bool) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cache := m.conns[from]
	if cache == nil {
		cache, _ = lru.New[*testNode, *meteredConn](from.cfg.MaxClients)
		m.conns[from] = cache
	}
	before := m.bytes
	conn, ok := cache.Get(to)
	if !ok {
		conn = &meteredConn{}
		conn.request, conn.response = gob.NewEncoder(&conn.count), gob.NewEncoder(&conn.count)
		cache.Add(to, conn)
		m.bytes += handshakeSegments * segmentHeader
		m.dials++
	}
	conn.count = 0
	if isReply {
		conn.response.Encode(&rpc.Response{ServiceMethod: rpcMethod, Seq: conn.seq})
		conn.response.Encode(message)
	} else {
		conn.seq++
		m.calls++
		m.bytes += exchangeSegments * segmentHeader
		conn.request.Encode(&rpc.Request{ServiceMethod: rpcMethod, Seq: conn.seq})
		conn.request.Encode(message)
	}
	m.bytes += int(conn.count) + int(conn.count)/segmentPayload*segmentHeader
	m.note(from, to, message.Kind, isReply, m.bytes-before)
}

func (m *meter) note(from, to *testNode, kind Kind, isReply bool, bytes int) {
	if m.byNode == nil {
		m.byNode = map[string]int{}
	}
	m.byNode[from.addr] += bytes
	m.byNode[to.addr] += bytes
	if from.cfg.Self.Zone != to.cfg.Self.Zone {
		m.crossZone += bytes
	}
	if isReply {
		kind += kindCount
	}
	m.byKind[kind] += 2 * bytes
}

// perKind returns each node's average share of byKind.
func (m *meter) perKind(size int) (kinds [2 * kindCount]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, bytes := range m.byKind {
		kinds[i] = bytes / size
	}
	return kinds
}

// most returns the bytes of the busiest of the given nodes.
func (m *meter) most(nodes []*testNode) (most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range nodes {
		most = max(most, m.byNode[n.addr])
	}
	return most
}

// dialsPerNode returns each node's average share of the opened connections.
func (m *meter) dialsPerNode(size int) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.dials) / float64(size)
}

func (m *meter) perNode(size int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 2 * m.bytes / size
}
