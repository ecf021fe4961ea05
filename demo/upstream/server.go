package upstream

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Settings describe one upstream.
type Settings struct {
	Service string
	// Replica is the number of the upstream within its service, from 0.
	Replica int
	// Workers is the number of requests that are processed at once. A request
	// occupies its worker while it waits for the calls that it makes.
	Workers int
	// Connections is the maximum number of accepted connections, which also
	// limits the queue in front of the workers. Further connections wait to be
	// accepted.
	Connections int
	// Graph is the call graph of the deployment. The upstream serves the
	// routes of its own service.
	Graph  Graph
	Ledger *Ledger
	// Seed is the random seed of the service times.
	Seed uint64
	// Network replaces TCP on loopback, for runs in virtual time. Nil means
	// TCP.
	Network Network
}

// Network opens the listeners and connections of an upstream.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// listen opens the upstream's port.
func (s Settings) listen() (net.Listener, error) {
	const anyPort = "127.0.0.1:0"
	if s.Network != nil {
		return s.Network.Listen(anyPort)
	}
	return net.Listen("tcp", anyPort)
}

// ShedStatus is the status of a rejected request. An upstream sends it only if
// it has not begun any work of its own for the request.
const ShedStatus = http.StatusServiceUnavailable

// Server is one upstream. Create it with New, and call SetOutbound before it
// receives the first request.
type Server struct {
	settings Settings
	listener net.Listener
	http     *http.Server
	client   *http.Client
	outbound atomic.Pointer[string]
	workers  *semaphore.Weighted
	busy     atomic.Int64
	queued   atomic.Int64
	// arrived is the time of the last arrival in Unix nanoseconds; 0 if none.
	arrived atomic.Int64
	faults  faults
	reports reports

	randomMu sync.Mutex
	random   *rand.Rand
}

// New opens a loopback port and serves on it until Close.
func New(s Settings) (*Server, error) {
	listener, err := s.listen()
	if err != nil {
		return nil, &ListenError{Service: s.Service, Replica: s.Replica, Err: err}
	}
	u := &Server{
		settings: s,
		listener: newBoundedListener(listener, s.Connections),
		workers:  semaphore.NewWeighted(int64(s.Workers)),
		random:   rand.New(rand.NewPCG(s.Seed, uint64(s.Replica))),
		client:   newClient(s),
	}
	u.faults.setSlow(1)
	u.http = &http.Server{Handler: u.handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = u.http.Serve(u.listener) }()
	return u, nil
}

const headerTimeout = 10 * time.Second

// newClient returns the HTTP client for calls through the upstream's own node.
// It never requests compression, so that answers arrive exactly as sent.
func newClient(s Settings) *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: s.Connections,
		DisableCompression:  true,
	}
	if s.Network != nil {
		transport.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.Network.Dial(ctx, addr)
		}
	}
	return &http.Client{Transport: transport}
}

func (u *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(healthPath, u.serveHealth)
	mux.HandleFunc(loadPath, u.serveLoad)
	for name, route := range u.settings.Graph[u.settings.Service] {
		mux.HandleFunc(route.Method()+" /"+name, func(w http.ResponseWriter, r *http.Request) {
			u.serve(w, r, name, route)
		})
	}
	return mux
}

// Addr returns host:port.
func (u *Server) Addr() string { return u.listener.Addr().String() }

// Service returns the service's name.
func (u *Server) Service() string { return u.settings.Service }

// Replica returns the replica's number.
func (u *Server) Replica() int { return u.settings.Replica }

// Workers returns the number of workers.
func (u *Server) Workers() int { return u.settings.Workers }

// Connections returns the maximum number of accepted connections.
func (u *Server) Connections() int { return u.settings.Connections }

// SetOutbound sets the address (host:port) of the node through which this
// upstream sends its calls.
func (u *Server) SetOutbound(addr string) { u.outbound.Store(&addr) }

// InFlight returns the number of requests in progress or queued.
func (u *Server) InFlight() int { return int(u.busy.Load() + u.queued.Load()) }

// LastArrival returns the time at which the last request arrived, or the zero
// time if none did.
func (u *Server) LastArrival() time.Time {
	nanos := u.arrived.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Close closes all connections at once, as the loss of the VM would. For a
// graceful shutdown, its node must drain the upstream first.
func (u *Server) Close() {
	_ = u.http.Close()
	u.client.CloseIdleConnections()
}
