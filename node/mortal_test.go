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
	// restartTime is how long one that has ended is away.
	restartTime = 2 * time.Second
	// fatalPart in a path makes the upstream that runs the request end.
	fatalPart = "fatal"
)

// mortals are upstreams of one service that end while they run a marked request,
// and are back later, at the same address, as another incarnation.
type mortals struct {
	*fleet
	nodes []*Node
	// healed upstreams survive the marked requests, and unnamed ones do not tell one
	// incarnation from the next.
	healed, unnamed atomic.Bool
	// forwarded upstreams are reached through something that accepts connections
	// whether they are there or not.
	forwarded bool
	// away is how long one that has ended is away, and lasting how long after the run
	// of a marked request has ended it ends itself.
	away, lasting time.Duration
	// failEvery has one marked request of so many answered with an error, 0 for none.
	failEvery int

	mu sync.Mutex
	// ends are the times at which upstreams ended, and arrivals those at which a
	// path reached one.
	ends     []time.Time
	arrivals map[string][]time.Time
	// under has the times at which upstreams ended while they ran a path.
	under map[string][]time.Time
	// upstreams are those beside the nodes, in their order.
	upstreams []*mortal
}

// addMortals starts as many nodes of the service desk, each with its upstream.
func (f *fleet) addMortals(count int, adjust ...func(*Settings)) *mortals {
	m := f.mortals()
	m.start(count, adjust...)
	return m
}

// mortals makes the service without upstreams.
func (f *fleet) mortals() *mortals {
	return &mortals{fleet: f, arrivals: make(map[string][]time.Time), under: make(map[string][]time.Time), away: restartTime}
}

// start starts as many nodes, each with its upstream.
func (m *mortals) start(count int, adjust ...func(*Settings)) {
	for i := range count {
		m.nodes = append(m.nodes, m.addMortal("desk-"+strconv.Itoa(i), adjust...))
	}
	m.settle()
}

func (m *mortals) addMortal(name string, adjust ...func(*Settings)) *Node {
	u := &mortal{mortals: m, name: name, host: m.net.Host(name), adjust: adjust}
	m.upstreams = append(m.upstreams, u)
	u.startNode()
	if m.forwarded {
		u.forward()
	}
	u.live()
	return u.node
}

// forward passes connections on to the upstream.
func (u *mortal) forward() {
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
func (u *mortal) startNode() {
	settings := DefaultSettings()
	settings.Service = "desk"
	settings.Network = u.host
	settings.Store = u.store
	settings.Peers = u.peers
	settings.GossipInterval = 250 * time.Millisecond
	settings.Edge = ""
	// A node that is restarted is found where it was.
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

// restartNode kills a node and starts it anew; its upstream goes on.
func (m *mortals) restartNode(i int) {
	u := m.upstreams[i]
	m.at(i).Close()
	u.startNode()
	m.mu.Lock()
	m.nodes[i] = u.node
	m.mu.Unlock()
	u.announce()
}

// at returns the node of a place.
func (m *mortals) at(i int) *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[i%len(m.nodes)]
}

// name returns the host of a node.
func (m *mortals) name(i int) string { return m.upstreams[i].name }

// mortal is one upstream in the course of its lives.
type mortal struct {
	*mortals
	name   string
	host   *memnet.Host
	adjust []func(*Settings)
	// node is the one beside it, life counts its incarnations and end ends the
	// present one; mu guards them.
	node *Node
	life int
	end  func()
}

// live starts the upstream anew.
func (u *mortal) live() {
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
					u.live()
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
		if fatal && u.failEvery > 0 && u.reached(r.URL.Path)%u.failEvery == 0 {
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

// announce makes the upstream known to its node.
func (u *mortal) announce() {
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

func (m *mortals) arrived(path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals[path] = append(m.arrivals[path], time.Now())
}

// killOne ends the upstream beside a node.
func (m *mortals) killOne(n *Node) {
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

// endsUnder returns when upstreams ended while they ran a path, as seconds after the
// first of them.
func (m *mortals) endsUnder(path string) []float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var after []float64
	for _, at := range m.under[path] {
		after = append(after, at.Sub(m.under[path][0]).Seconds())
	}
	return after
}

// endedAfterThird counts the upstreams that ended under a path later than a span after
// the third.
func (m *mortals) endedAfterThird(path string, span time.Duration) int {
	late := 0
	after := m.endsUnder(path)
	for _, at := range after {
		if at > after[min(2, len(after)-1)]+span.Seconds() {
			late++
		}
	}
	return late
}

// ended returns how many upstreams have ended.
func (m *mortals) ended() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ends)
}

// reached returns how often a path has come to an upstream.
func (m *mortals) reached(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.arrivals[path])
}

// reachedAfter counts the arrivals of a path later than a span after the upstream
// that ended as the count-th.
func (m *mortals) reachedAfter(path string, count int, span time.Duration) int {
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

// callers send requests at an even pace to all nodes in turn, until stop is called. It counts those that were served, and those that were
// refused as held.
type callers struct {
	sent, served, held atomic.Int64
	stop               func()
}

func (m *mortals) call(every time.Duration, path func(i int) string) *callers {
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

// share returns the share of the requests sent that were served.
func (c *callers) share() float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }
