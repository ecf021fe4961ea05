package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	lru "github.com/hashicorp/golang-lru/v2"
)

// network is an in-memory transport in virtual time for a cluster of members.
type network struct {
	c       *qt.C
	ctx     context.Context
	nodes   []*testNode
	mu      sync.Mutex
	byAddr  map[string]*testNode
	rng     *rand.Rand
	loss    float64
	blocked func(from, to *testNode) bool // reports whether messages are lost in this direction
	meter   *meter
}

// testNode is one process. A paused process blocks when it next reads the clock.
type testNode struct {
	*Gossip
	net    *network
	addr   string
	region string
	mu     sync.Mutex
	paused chan struct{}
	down   bool
	config *testConfig
}

// testConfig is a Delegate that accepts every higher version.
type testConfig struct {
	mu      sync.Mutex
	version uint64
	data    []byte
	newest  uint64
}

func (d *testConfig) LocalVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

func (d *testConfig) Payload() (uint64, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.data
}

func (d *testConfig) Offer(_ string, version uint64, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > d.version {
		d.version, d.data = version, data
	}
}

func (*testConfig) Places() int { return 0 }

func (*testConfig) ObservePlaces(int) {}

func (d *testConfig) NewestVersion() (uint64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.version, d.newest), 0
}

func (d *testConfig) ObserveVersion(version uint64, _ time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newest = max(d.newest, version)
}

var errLost = fmt.Errorf("lost")

// Exchange delivers the message to the peer after the link's latency, or waits for ctx if
// it is lost in either direction.
func (n *testNode) Exchange(ctx context.Context, addr string, m *Message) (*Message, error) {
	n.net.mu.Lock()
	to := n.net.byAddr[addr]
	meter := n.net.meter
	n.net.mu.Unlock()
	for _, leg := range [][2]*testNode{{n, to}, {to, n}} {
		if !n.net.passes(leg[0], leg[1]) {
			<-ctx.Done()
			return nil, errLost
		}
		time.Sleep(latency(leg[0], leg[1]))
		if leg[0] != n {
			break
		}
		meter.count(n, to, m, false)
		reply, err := to.Handle(ctx, m)
		if err != nil {
			return nil, err
		}
		m = reply
	}
	meter.count(n, to, m, true)
	return m, ctx.Err()
}

// latency returns the latency of a link between availability zones or between regions.
func latency(from, to *testNode) time.Duration {
	if from.region != to.region {
		return 40 * time.Millisecond
	}
	return time.Millisecond
}

func (n *testNode) Close() error { return nil }

func (w *network) passes(from, to *testNode) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return from != nil && to != nil && !from.down && !to.down && w.rng.Float64() >= w.loss && (w.blocked == nil || !w.blocked(from, to))
}

func (w *network) block(fn func(from, to *testNode) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked = fn
}

func (w *network) lose(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = share
}

func (w *network) metered() *meter {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.meter = &meter{conns: map[*testNode]*lru.Cache[*testNode, *meteredConn]{}}
	return w.meter
}

func (n *testNode) crash() {
	n.setDown(true)
	n.Gossip.Close()
}

// setDown disconnects the node in both directions, or reconnects it.
func (n *testNode) setDown(down bool) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.down = down
}

// now returns the time of the node's clock. It blocks while the process is paused.
func (n *testNode) now() time.Time {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return time.Now()
}

func (n *testNode) pause() (resume func()) {
	ch := make(chan struct{})
	n.mu.Lock()
	n.paused = ch
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		n.paused = nil
		n.mu.Unlock()
		close(ch)
	}
}

// start runs a process at the address of slot i, which joins through three other nodes.
func (w *network) start(i int, change ...func(*Config)) *testNode {
	n := w.add(i, change...)
	w.c.Assert(n.Start(w.ctx), qt.IsNil)
	return n
}

// add creates a process at the address of slot i without starting it.
func (w *network) add(i int, change ...func(*Config)) *testNode {
	n := &testNode{net: w, addr: fmt.Sprintf("10.%d.%d.%d:7946", i%2, i/250, i%250+1), config: &testConfig{}}
	n.region = []string{"hu-central", "us-northeast"}[i%2]
	w.mu.Lock()
	seed := w.rng.Uint64()
	w.mu.Unlock()
	rng := rand.New(rand.NewPCG(uint64(i), seed))
	var id memberID
	for b := range id {
		id[b] = byte(rng.Uint32())
	}
	cfg := Config{
		Self: Member{ID: id.hex(), Service: fmt.Sprintf("service-%02d", i%25), Addr: n.addr[:len(n.addr)-4] + "7000",
			GossipAddr: n.addr, Zone: fmt.Sprintf("%s-%d", n.region, i/2%3), Region: n.region, Slots: 300},
		Transport: n, Delegate: n.config, Clock: n.now,
		Rand: rng,
		Seeds: func(context.Context) ([]string, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return []string{w.nodes[0].addr, w.nodes[min(1, len(w.nodes)-1)].addr, w.nodes[min(2, len(w.nodes)-1)].addr}, nil
		},
	}
	for _, fn := range change {
		fn(&cfg)
	}
	g, err := New(cfg)
	w.c.Assert(err, qt.IsNil)
	n.Gossip = g
	w.mu.Lock()
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.byAddr[n.addr] = n
	w.mu.Unlock()
	return n
}

// newNetwork returns a network without nodes. All nodes stop at the end of the test.
func newNetwork(t *testing.T, seed int) *network {
	ctx, cancel := context.WithCancel(t.Context())
	w := &network{c: qt.New(t), ctx: ctx, byAddr: map[string]*testNode{}, rng: rand.New(rand.NewPCG(uint64(seed), 7))}
	t.Cleanup(func() {
		cancel()
		for _, n := range w.nodes {
			n.Gossip.Close()
		}
	})
	return w
}

// cluster runs body with size members that know each other, in virtual time.
func cluster(t *testing.T, size int, body func(w *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, size)
		for i := range size {
			w.add(i)
		}
		for _, n := range w.nodes {
			for _, other := range w.nodes {
				e := fullEntry(other.table.self.id, &other.table.self.m)
				n.table.apply(&e, time.Now())
			}
			w.c.Assert(n.Start(w.ctx), qt.IsNil)
		}
		time.Sleep(20 * time.Second)
		w.within(0, func(n *testNode) bool { return n.countState(Alive) == size && n.countState(Dead) == 0 })
		body(w)
	})
}

// within waits until ok holds at every running node, and returns the time that took.
func (w *network) within(limit time.Duration, ok func(n *testNode) bool) time.Duration {
	w.c.Helper()
	start := time.Now()
	for {
		failing := 0
		var last *testNode
		for _, n := range w.nodes {
			if !n.down && !ok(n) {
				failing++
				last = n
			}
		}
		if failing == 0 {
			return time.Since(start)
		}
		if time.Since(start) >= limit {
			w.c.Fatalf("after %v, %d nodes don't meet the condition yet; %s: %+v", limit, failing, last.addr, last.Stats())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *network) sum(field func(Stats) uint64) (total uint64) {
	for _, n := range w.nodes {
		total += field(n.Stats())
	}
	return total
}

func (n *testNode) state(id string) State {
	_, s, ok := n.Lookup(id)
	if !ok {
		return Left + 1
	}
	return s
}
