package upstream

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"pollengauge.dev/call"
	"pollengauge.dev/objects"
)

// WorkPath is the path that returns the time each request takes. A PUT changes it
// by its query: /standin/work?value=200ms.
const WorkPath = "/standin/work"

// shedStatus is the status of a request that was rejected before any work for it.
const shedStatus = http.StatusServiceUnavailable

// Upstream is one running stand-in.
type Upstream struct {
	settings Settings
	addr     string
	client   *http.Client
	slots    *semaphore.Weighted
	work     atomic.Int64
	inFlight atomic.Int64

	mu sync.Mutex
	// server is the current incarnation, crashed the last one that a request has
	// crashed. closed is set by Shutdown and Close, and prevents a restart. mu
	// guards all three.
	server, crashed *http.Server
	closed          bool
}

const headerTimeout = 10 * time.Second

// crashDowntime is how long the stand-in does not listen after a crash.
const crashDowntime = 2 * time.Second

// Start checks the settings and serves until Shutdown or Close.
func Start(settings Settings) (*Upstream, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Addr)
	if err != nil {
		return nil, &ListenError{Addr: settings.Addr, Cause: err}
	}
	u := &Upstream{
		settings: settings,
		addr:     listener.Addr().String(),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Slots, DisableCompression: true}},
		slots:    semaphore.NewWeighted(int64(settings.Slots)),
	}
	u.work.Store(int64(settings.Work))
	u.serveOn(listener)
	return u, nil
}

// serveOn serves on listener until Shutdown, Close or a request that crashes the
// stand-in. It closes listener if the stand-in is already closed.
func (u *Upstream) serveOn(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(WorkPath, u.serveWork)
	mux.HandleFunc("/", u.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		_ = listener.Close()
		return
	}
	u.server = server
	go func() { _ = server.Serve(listener) }() // Serve returns once the server is closed
}

// Addr returns the address it listens on, host:port.
func (u *Upstream) Addr() string { return u.addr }

// Shutdown stops listening and waits for the requests in flight.
func (u *Upstream) Shutdown(ctx context.Context) error {
	defer u.client.CloseIdleConnections()
	return u.stopRestarts().Shutdown(ctx)
}

// Close stops immediately and breaks the connections in use.
func (u *Upstream) Close() {
	_ = u.stopRestarts().Close()
	u.client.CloseIdleConnections()
}

// stopRestarts returns the current server and prevents that another is started.
func (u *Upstream) stopRestarts() *http.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	return u.server
}

// crash simulates a crash: it breaks all connections, and listens again after
// crashDowntime. Of several requests that crash the same incarnation, only the first
// has an effect.
func (u *Upstream) crash() {
	u.mu.Lock()
	server := u.server
	again := u.crashed == server
	u.crashed = server
	u.mu.Unlock()
	if again {
		return
	}
	_ = server.Close()
	time.AfterFunc(crashDowntime, func() {
		listener, err := net.Listen("tcp", u.addr)
		if err != nil {
			log.Printf("stand-in upstream could not listen again after its simulated crash and stays down: %v", err)
			return
		}
		u.serveOn(listener)
	})
}

// serveWork returns or changes the time that each request takes.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		work, err := time.ParseDuration(r.URL.Query().Get("value"))
		if err != nil || work < 0 || work > maxWork {
			http.Error(w, "want value=0s to "+maxWork.String(), http.StatusBadRequest)
			return
		}
		u.work.Store(int64(work))
	}
	_, _ = fmt.Fprintln(w, time.Duration(u.work.Load()))
}

// serve makes the configured calls, does the work and responds. The calls come
// first: until one of them has run, a refusal by a downstream service can be passed
// on as not-run.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	if err := u.slots.Acquire(r.Context(), 1); err != nil {
		return // the caller has disconnected
	}
	defer u.slots.Release(1)
	for i, c := range u.settings.Calls {
		if !u.call(w, r, c, i == 0) {
			return
		}
	}
	if !objects.Pause(r.Context(), time.Duration(u.work.Load())) {
		return
	}
	if u.settings.CrashPath != "" && r.URL.Path == u.settings.CrashPath {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s answers %s %s\n", u.settings.Service, r.Method, r.URL.Path)
}

// call makes one call and reports whether its response is complete. If it is not,
// call responds to r itself: with not-run only if the call was not run and was the
// first for r, otherwise with unknown.
func (u *Upstream) call(w http.ResponseWriter, r *http.Request, c Call, first bool) bool {
	resp, err := u.send(r, c)
	if err != nil {
		w.Header().Set(call.HeaderOutcome, call.Unknown.String())
		w.WriteHeader(http.StatusBadGateway)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	outcome, parseErr := call.ParseOutcome(resp.Header.Get(call.HeaderOutcome))
	if err == nil && parseErr == nil && outcome == call.Complete {
		return true
	}
	status := http.StatusBadGateway
	if outcome != call.NotRun || !first {
		outcome = call.Unknown
	} else {
		status = shedStatus
	}
	w.Header().Set(call.HeaderOutcome, outcome.String())
	for _, name := range []string{call.HeaderReason, call.HeaderHop} {
		if value := resp.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(status)
	return false
}

// send makes one call through the node, with the propagated headers of r so that the
// node attributes the call to the request being served.
func (u *Upstream) send(r *http.Request, c Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(r.Context(), c.Method, "http://"+u.settings.NodeOutbound+c.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Host = c.Service
	for _, name := range call.PropagatedHeaders {
		if value := r.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	return u.client.Do(req)
}
