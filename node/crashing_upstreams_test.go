package node

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/node/testing/memnet"
	"pollengauge.dev/objects"
)

const (
	// runTime is how long an upstream of these tests works on a request.
	runTime = 60 * time.Millisecond
	// restartTime is how long an upstream that has crashed is down.
	restartTime = 2 * time.Second
	// fatalPart in a request's path makes the upstream that runs the request crash.
	fatalPart = "fatal"
)

// crashingUpstreams are upstreams of one service that crash while they run a marked
// request, and restart later at the same address as another incarnation.
type crashingUpstreams struct {
	*fleet
	nodes []*Node
	// With healed set, upstreams survive marked requests. With unnamed set, they
	// announce no Instance, so that their incarnations can't be told apart.
	healed, unnamed atomic.Bool
	// forwarded makes nodes reach their upstreams through a proxy that accepts
	// connections whether the upstream runs or not.
	forwarded bool
	// away is how long a crashed upstream is down. With lasting set, an upstream also
	// crashes that long after it has begun a marked request.
	away, lasting time.Duration
	// failEvery makes one in failEvery marked requests get an error response; 0 means
	// none.
	failEvery int

	mu sync.Mutex
	// ends holds the times at which upstreams crashed, and arrivals, by path, the
	// times at which a request reached an upstream.
	ends     []time.Time
	arrivals map[string][]time.Time
	// under holds, by path, the times at which upstreams crashed while running it.
	under map[string][]time.Time
	// upstreams holds the upstream beside each node, in the order of nodes.
	upstreams []*crashingUpstream
}

// addCrashingUpstreams starts count nodes of the service desk, each with its upstream.
func (f *fleet) addCrashingUpstreams(count int, adjust ...func(*Settings)) *crashingUpstreams {
	m := f.newCrashingUpstreams()
	m.start(count, adjust...)
	return m
}

// newCrashingUpstreams returns the service without any node or upstream.
func (f *fleet) newCrashingUpstreams() *crashingUpstreams {
	return &crashingUpstreams{fleet: f, arrivals: make(map[string][]time.Time), under: make(map[string][]time.Time), away: restartTime}
}

// start adds count nodes, each with its upstream.
func (m *crashingUpstreams) start(count int, adjust ...func(*Settings)) {
	for i := range count {
		m.nodes = append(m.nodes, m.addCrashingUpstream("desk-"+strconv.Itoa(i), adjust...))
	}
	m.settle()
}

func (m *crashingUpstreams) addCrashingUpstream(name string, adjust ...func(*Settings)) *Node {
	u := &crashingUpstream{crashingUpstreams: m, name: name, host: m.net.Host(name), adjust: adjust}
	m.upstreams = append(m.upstreams, u)
	u.startNode()
	if m.forwarded {
		u.forward()
	}
	u.startIncarnation()
	return u.node
}

// forward starts the proxy in front of the upstream.
func (u *crashingUpstream) forward() {
	listener, err := u.host.Listen("x:7100")
	u.c.Assert(err, qt.IsNil)
	u.t.Cleanup(func() { _ = listener.Close() })
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := u.host.Dial(u.t.Context(), u.name+":7000")
			if err != nil {
				_ = near.Close()
				continue
			}
			go pass(near, far)
			go pass(far, near)
		}
	}()
}

// startNode starts the node beside the upstream.
func (u *crashingUpstream) startNode() {
	settings := DefaultSettings()
	settings.Service = "desk"
	settings.Network = u.host
	settings.Store = u.store
	settings.Peers = u.peers
	settings.GossipInterval = 250 * time.Millisecond
	settings.Edge = ""
	// Fixed ports, so that a restarted node has the same addresses.
	settings.Gossip, settings.Peer, settings.Outbound = "x:7001", "x:7002", "x:7003"
	settings.Dialect = plainDialect{}
	for _, a := range u.adjust {
		a(&settings)
	}
	n, err := New(settings)
	u.c.Assert(err, qt.IsNil)
	u.c.Assert(n.Start(u.t.Context()), qt.IsNil)
	u.fleet.nodes[u.name] = n
	if addr := n.Addr("gossip"); !slices.Contains(u.peers, addr) {
		u.peers = append(u.peers, addr)
	}
	set, err := config.Parse([]byte(routedSet), config.YAML)
	u.c.Assert(err, qt.IsNil)
	u.c.Assert(n.OfferConfig(set), qt.IsNil)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.node = n
}

// restartNode kills a node and starts a new one at its place, while its upstream
// keeps running.
func (m *crashingUpstreams) restartNode(i int) {
	u := m.upstreams[i]
	m.at(i).Close()
	u.startNode()
	m.mu.Lock()
	m.nodes[i] = u.node
	m.mu.Unlock()
	u.announce()
}

// at returns the node at index i, modulo the number of nodes.
func (m *crashingUpstreams) at(i int) *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[i%len(m.nodes)]
}

// name returns the host of a node.
func (m *crashingUpstreams) name(i int) string { return m.upstreams[i].name }

// crashingUpstream is one upstream across all its incarnations.
type crashingUpstream struct {
	*crashingUpstreams
	name   string
	host   *memnet.Host
	adjust []func(*Settings)
	// node is the node beside the upstream, life counts the upstream's incarnations,
	// and end crashes the current one. mu guards these fields.
	node *Node
	life int
	end  func()
}

// startIncarnation starts a new incarnation of the upstream.
func (u *crashingUpstream) startIncarnation() {
	listener, err := u.host.Listen("x:7000")
	u.c.Assert(err, qt.IsNil)
	server := &http.Server{}
	var once sync.Once
	end := func(path string) {
		once.Do(func() {
			_ = server.Close()
			u.mu.Lock()
			u.ends = append(u.ends, time.Now())
			if path != "" {
				u.under[path] = append(u.under[path], time.Now())
			}
			u.mu.Unlock()
			go func() {
				if objects.Pause(u.t.Context(), u.away) {
					u.startIncarnation()
				}
			}()
		})
	}
	u.mu.Lock()
	u.life++
	u.end = func() { end("") }
	u.mu.Unlock()
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.arrived(r.URL.Path)
		fatal := strings.Contains(r.URL.Path, fatalPart) && !u.healed.Load()
		if fatal && u.lasting > 0 {
			time.AfterFunc(u.lasting, func() { end(r.URL.Path) })
		}
		if !objects.Pause(r.Context(), runTime) {
			return
		}
		if fatal && u.failEvery > 0 && u.arrivalCount(r.URL.Path)%u.failEvery == 0 {
			w.Header().Set("X-Echo", r.Header.Get("X-Id"))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if fatal {
			end(r.URL.Path)
			panic(http.ErrAbortHandler)
		}
		echo(w, r, nil)
	})
	go func() { _ = server.Serve(listener) }()
	u.t.Cleanup(func() { _ = server.Close() })
	u.announce()
}

// announce announces the upstream to its node.
func (u *crashingUpstream) announce() {
	u.mu.Lock()
	a := Announcement{Service: "desk", Addr: u.name + ":7000", Slots: 50}
	if u.forwarded {
		a.Addr = u.name + ":7100"
	}
	if !u.unnamed.Load() {
		a.Instance, a.Sequence = "life-"+strconv.Itoa(u.life)+"-"+u.name, 1
	}
	n := u.node
	u.mu.Unlock()
	u.c.Assert(n.Announce(a), qt.IsNil)
}

func (m *crashingUpstreams) arrived(path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals[path] = append(m.arrivals[path], time.Now())
}

// crashUpstream crashes the upstream beside a node.
func (m *crashingUpstreams) crashUpstream(n *Node) {
	m.mu.Lock()
	end := func() {}
	for _, u := range m.upstreams {
		if u.node == n {
			end = u.end
		}
	}
	m.mu.Unlock()
	end()
}

// crashesDuring returns when upstreams crashed while running a path, in seconds since the
// first of these crashes.
func (m *crashingUpstreams) crashesDuring(path string) []float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var after []float64
	for _, at := range m.under[path] {
		after = append(after, at.Sub(m.under[path][0]).Seconds())
	}
	return after
}

// crashesAfterThird counts the upstreams that crashed while running a path more than
// span after the third such crash.
func (m *crashingUpstreams) crashesAfterThird(path string, span time.Duration) int {
	late := 0
	after := m.crashesDuring(path)
	for _, at := range after {
		if at > after[min(2, len(after)-1)]+span.Seconds() {
			late++
		}
	}
	return late
}

// crashCount returns how many upstreams have crashed.
func (m *crashingUpstreams) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ends)
}

// arrivalCount returns how often a path has arrived at an upstream.
func (m *crashingUpstreams) arrivalCount(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.arrivals[path])
}

// arrivalsAfter counts the arrivals of a path more than span after the count-th crash
// of any upstream.
func (m *crashingUpstreams) arrivalsAfter(path string, count int, span time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ends) < count {
		return 0
	}
	from, late := m.ends[count-1].Add(span), 0
	for _, at := range m.arrivals[path] {
		if at.After(from) {
			late++
		}
	}
	return late
}

// callers send requests to all nodes in turn, at a constant rate, until stop is
// called. They count the requests that were served and those that were refused as
// quarantined.
type callers struct {
	sent, served, held atomic.Int64
	stop               func()
}

func (m *crashingUpstreams) call(every time.Duration, path func(i int) string) *callers {
	c := &callers{}
	stopped := make(chan struct{})
	var asked sync.WaitGroup
	var ended sync.WaitGroup
	ended.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-tick.C:
			}
			asked.Go(func() {
				c.sent.Add(1)
				got := m.askRouted(m.at(i), path(i), path(i)+"-"+strconv.Itoa(i))
				switch {
				case got.status == http.StatusOK:
					c.served.Add(1)
				case got.reason == string(call.ReasonHeld):
					c.held.Add(1)
				}
			})
		}
	})
	c.stop = func() {
		close(stopped)
		ended.Wait()
		asked.Wait()
	}
	return c
}

// share returns the share of the sent requests that were served.
func (c *callers) share() float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }
