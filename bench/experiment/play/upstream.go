package play

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"pollengauge.dev/bench/experiment/workload"
	"pollengauge.dev/call"
	"pollengauge.dev/demo/upstream"
	"pollengauge.dev/objects"
)

// maxIdleConns lets a burst of calls use its connections again.
const maxIdleConns = 1024

// server is one upstream.
type server struct {
	workload *workload.Workload
	service  *workload.Service
	meter    *meter
	slots    *semaphore.Weighted
	listener net.Listener
	http     *http.Server
	// out carries the upstream's calls to its node.
	out *http.Transport

	mu     sync.Mutex
	random *rand.Rand
	// speed divides work, slow multiplies it.
	speed, slow float64
	// notice is what the upstream states in its answers.
	notice call.UpstreamNotice
}

// serverSettings are what a server needs to know.
type serverSettings struct {
	workload *workload.Workload
	service  *workload.Service
	replica  int
	seed     uint64
	meter    *meter
	listener net.Listener
}

func newServer(s serverSettings) *server {
	u := &server{
		workload: s.workload,
		service:  s.service,
		meter:    s.meter,
		slots:    semaphore.NewWeighted(int64(s.service.Slots)),
		listener: s.listener,
		random:   rand.New(rand.NewPCG(s.seed, uint64(s.replica))),
		speed:    s.service.Speed(s.replica),
		slow:     1,
	}
	u.http = &http.Server{Handler: u, ReadHeaderTimeout: headTimeout}
	go func() { _ = u.http.Serve(u.listener) }()
	return u
}

// headTimeout bounds the reading of one head.
const headTimeout = 10 * time.Second

// callThrough has the calls of this upstream go to an address.
func (u *server) callThrough(dial func(ctx context.Context, network, addr string) (net.Conn, error), addr string) {
	u.out = newTransport(dial, addr)
}

// newTransport connects to one address, whatever a request's host is.
func newTransport(dial func(ctx context.Context, network, addr string) (net.Conn, error), addr string) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dial(ctx, network, addr)
		},
	}
}

func (u *server) close() {
	_ = u.http.Close()
	if u.out != nil {
		u.out.CloseIdleConnections()
	}
}

// setSlow makes work from now on so many times longer; 1 is as usual.
func (u *server) setSlow(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = factor
}

// nameLimit has the upstream name a limit from now on, or no longer.
func (u *server) nameLimit(perSecond float64, named bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notice.Limit, u.notice.Limited = perSecond, named
}

// leave has the upstream state from now on that it leaves.
func (u *server) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notice.Leaving = true
}

func (u *server) writeNotice(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notice.Limited {
		h.Set(headerLimit, strconv.FormatFloat(u.notice.Limit, 'f', -1, 64))
	}
	if u.notice.Leaving {
		h.Set(headerLeaving, "1")
	}
}

// draw returns how long one piece of work takes.
func (u *server) draw(w workload.Work) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	took := upstream.Distribution{Median: w.Median, Sigma: w.Sigma}.Draw(u.random)
	return time.Duration(float64(took) * u.slow / u.speed)
}

// ServeHTTP runs one request.
func (u *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerEcho, id)
	u.writeNotice(w.Header())
	route := u.routeOf(r.URL.Path)
	if route == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if u.slots.Acquire(r.Context(), 1) != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	start := time.Now()
	x := &execution{server: u, id: id}
	ok := x.run(r.Context(), route)
	u.slots.Release(1)
	u.meter.held(u.service.Name, start)
	if x.begun && route.Unrepeatable && !strings.Contains(id, idSeparator) {
		u.meter.ran(operationOf(id))
	}
	switch {
	case ok:
		_, _ = w.Write([]byte("answer to " + id))
	case !x.begun:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// routeOf finds the route of a path, nil if there is none.
func (u *server) routeOf(path string) *workload.Route {
	if name, ok := strings.CutPrefix(path, routePrefix); ok {
		return u.workload.Route(strings.TrimSuffix(name, "/"))
	}
	name := strings.TrimPrefix(path, kindPrefix)
	if k := u.workload.Kind(strings.TrimSuffix(name, "/")); k != nil {
		return u.workload.Route(k.Route)
	}
	return nil
}

// execution is one request being run.
type execution struct {
	server *server
	id     string

	mu sync.Mutex
	// begun tells that something was done, here or further down.
	begun bool
	// calls counts the calls made.
	calls int
}

// run does the steps and reports whether all were done.
func (x *execution) run(ctx context.Context, route *workload.Route) bool {
	for i := range route.Steps {
		if !x.step(ctx, &route.Steps[i]) {
			return false
		}
	}
	return true
}

func (x *execution) step(ctx context.Context, s *workload.Step) bool {
	for _, name := range s.InTurn {
		if !x.call(ctx, name) {
			return false
		}
	}
	if len(s.Together) > 0 {
		return x.together(ctx, s.Together)
	}
	if s.Work.Median > 0 {
		x.begin()
		return objects.Pause(ctx, x.server.draw(s.Work))
	}
	return true
}

// together makes calls at once. When one fails the others are ended: the request
// can't be completed any more.
func (x *execution) together(ctx context.Context, names []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, name := range names {
		group.Go(func() {
			if !x.call(ctx, name) {
				cancel()
			}
		})
	}
	group.Wait()
	return ctx.Err() == nil
}

// begin notes that something was done.
func (x *execution) begin() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.begun = true
}

// nextID names the next call.
func (x *execution) nextID() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls++
	return x.id + idSeparator + strconv.Itoa(x.calls)
}

// call makes one call and reports whether it has the whole answer.
func (x *execution) call(ctx context.Context, name string) bool {
	route := x.server.workload.Route(name)
	status, _ := ask(ctx, x.server.out, request{path: routePrefix + name + "/", id: x.nextID(), unrepeatable: route.Unrepeatable})
	if status != http.StatusServiceUnavailable {
		x.begin()
	}
	return status == http.StatusOK
}
