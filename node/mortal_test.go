package node

import (
	"net/http"
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
	// kill ends the upstream beside each node, whatever it is running.
	kill map[*Node]func()
}

// addMortals starts as many nodes of the service desk, each with its upstream.
func (f *fleet) addMortals(count int, adjust ...func(*Settings)) *mortals {
	m := f.mortals()
	m.start(count, adjust...)
	return m
}

// mortals makes the service without upstreams.
func (f *fleet) mortals() *mortals {
	return &mortals{fleet: f, arrivals: make(map[string][]time.Time), kill: make(map[*Node]func()), away: restartTime}
}

// start starts as many nodes, each with its upstream.
func (m *mortals) start(count int, adjust ...func(*Settings)) {
	for i := range count {
		m.nodes = append(m.nodes, m.addMortal("desk-"+strconv.Itoa(i), adjust...))
	}
	m.settle()
}

func (m *mortals) addMortal(name string, adjust ...func(*Settings)) *Node {
	host := m.net.Host(name)
	settings := DefaultSettings()
	settings.Service = "desk"
	settings.Network = host
	settings.Store = m.store
	settings.Peers = m.peers
	settings.GossipInterval = 100 * time.Millisecond
	settings.Edge = ""
	settings.Dialect = plainDialect{}
	for _, a := range adjust {
		a(&settings)
	}
	n, err := New(settings)
	m.c.Assert(err, qt.IsNil)
	m.c.Assert(n.Start(m.t.Context()), qt.IsNil)
	m.fleet.nodes[name] = n
	m.peers = append(m.peers, n.Addr("gossip"))
	set, err := config.Parse([]byte(routedSet), config.YAML)
	m.c.Assert(err, qt.IsNil)
	m.c.Assert(n.OfferConfig(set), qt.IsNil)
	(&mortal{mortals: m, node: n, name: name, host: host}).live(1)
	return n
}

// mortal is one upstream in the course of its lives.
type mortal struct {
	*mortals
	node *Node
	name string
	host *memnet.Host
}

// live starts the upstream anew.
func (u *mortal) live(life int) {
	addr := u.name + ":7000"
	listener, err := u.host.Listen(addr)
	u.c.Assert(err, qt.IsNil)
	server := &http.Server{}
	var once sync.Once
	end := func() {
		once.Do(func() {
			_ = server.Close()
			u.mu.Lock()
			u.ends = append(u.ends, time.Now())
			u.mu.Unlock()
			go func() {
				if objects.Pause(u.t.Context(), u.away) {
					u.live(life + 1)
				}
			}()
		})
	}
	u.mu.Lock()
	u.kill[u.node] = end
	u.mu.Unlock()
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.arrived(r.URL.Path)
		fatal := strings.Contains(r.URL.Path, fatalPart) && !u.healed.Load()
		if fatal && u.lasting > 0 {
			time.AfterFunc(u.lasting, end)
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
			end()
			panic(http.ErrAbortHandler)
		}
		echo(w, r, nil)
	})
	go func() { _ = server.Serve(listener) }()
	u.t.Cleanup(func() { _ = server.Close() })
	a := Announcement{Service: "desk", Addr: addr, Slots: 50}
	if !u.unnamed.Load() {
		a.Instance, a.Sequence = "life-"+strconv.Itoa(life)+"-"+u.name, 1
	}
	u.c.Assert(u.node.Announce(a), qt.IsNil)
}

func (m *mortals) arrived(path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals[path] = append(m.arrivals[path], time.Now())
}

// killOne ends the upstream beside a node.
func (m *mortals) killOne(n *Node) {
	m.mu.Lock()
	kill := m.kill[n]
	m.mu.Unlock()
	kill()
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
				got := m.askRouted(m.nodes[i%len(m.nodes)], path(i), path(i)+"-"+strconv.Itoa(i))
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
