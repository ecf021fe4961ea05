package proof

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"pollengauge.dev/node/testing/memnet"
	"pollengauge.dev/objects"
)

// Upstream is the test server beside a node. It executes calls of operations as
// its current Behavior configures.
type Upstream struct {
	net        *memnet.Network
	host       string
	service    string
	ledger     *Ledger
	out        *http.Transport
	addr       string
	background sync.WaitGroup

	mu       sync.Mutex
	behavior Behavior
	// lasting is the last behavior without a Count; it follows one with a Count.
	lasting Behavior
	// server is the HTTP server of the current incarnation, nil while the upstream
	// is down. crashes counts the crashes, and closed is set once the upstream must
	// not restart.
	server  *http.Server
	crashes int
	closed  bool
}

// startUpstream starts an upstream on a host; outbound is the address of its
// node's listener for outbound calls.
func startUpstream(network *memnet.Network, name, service string, ledger *Ledger, outbound string) (*Upstream, error) {
	host := network.Host(name)
	listener, err := host.Listen("x:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{net: network, host: name, service: service, ledger: ledger, addr: listener.Addr().String()}
	u.out = &http.Transport{
		// A transport that reuses connections may resend a request by itself,
		// which would count as a second call by this upstream.
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return host.Dial(ctx, outbound) },
	}
	u.serve(listener)
	return u, nil
}

// serve starts an incarnation of the upstream.
func (u *Upstream) serve(listener net.Listener) {
	server := &http.Server{Handler: u}
	u.mu.Lock()
	u.server = server
	u.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

func (u *Upstream) close() {
	u.mu.Lock()
	u.closed = true
	server := u.server
	u.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	u.background.Wait()
	u.out.CloseIdleConnections()
}

// crashDowntime is the downtime of an upstream after a crash.
const crashDowntime = 2 * time.Second

// crash crashes the upstream during a call. All its connections break, and nothing
// listens on its address until it restarts after crashDowntime.
func (u *Upstream) crash() {
	u.mu.Lock()
	server := u.server
	u.server = nil
	if server != nil {
		u.crashes++
	}
	u.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	u.background.Go(func() {
		time.Sleep(crashDowntime)
		u.mu.Lock()
		closed := u.closed
		u.mu.Unlock()
		if closed {
			return
		}
		_, port, _ := net.SplitHostPort(u.addr)
		listener, err := u.net.Host(u.host).Listen("x:" + port)
		if err != nil {
			u.ledger.Report(&Violation{Promise: UpstreamsOutlast, Subject: u.host, Detail: "upstream did not restart: " + err.Error()})
			return
		}
		u.serve(listener)
	})
}

// Crashes returns how often the upstream has crashed during a call.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// Behave sets the behavior for the following calls. After a behavior with a Count
// is used up, the last behavior without a Count applies again.
func (u *Upstream) Behave(b Behavior) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behavior = b
	if b.Count == 0 {
		u.lasting = b
	}
}

// next returns the behavior for one call and counts the call.
func (u *Upstream) next(path string) Behavior {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := u.behavior
	if b.Path != "" && b.Path != path {
		return Behavior{}
	}
	if b.Count > 0 {
		u.behavior.Count--
		if u.behavior.Count == 0 {
			u.behavior = u.lasting
		}
	}
	return b
}

// work is one call that the upstream is handling.
type work struct {
	*Upstream
	operation *Operation
	step      string
	call      Call
	behavior  Behavior
	number    int
	w         http.ResponseWriter
	r         *http.Request
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o := u.ledger.operation(r.Header.Get(headerOperation))
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	step := r.Header.Get(headerStep)
	c, planned := o.at(step)
	if !planned {
		c = Call{Service: u.service, Method: r.Method, Path: r.URL.Path}
	}
	k := &work{Upstream: u, operation: o, step: step, call: c, behavior: u.next(r.URL.Path), w: w, r: r}
	u.ledger.checkDrain(u.host)
	k.number = u.ledger.recordArrival(Arrival{Operation: o.ID, Presentation: r.Header.Get(headerPresentation), Step: step, Host: u.host})
	k.checkRequest(planned)
	k.run()
}

// checkRequest reads the request body. A truncated body, or the body of another
// request, must not reach an upstream as if it were complete.
func (k *work) checkRequest(planned bool) {
	body, err := io.ReadAll(k.r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if want := k.operation.request(k.call, k.step); planned && string(body) != want {
		k.ledger.Report(&Violation{
			Promise: OwnWholeAnswer,
			Subject: k.operation.ID + " step " + k.step,
			Detail:  "upstream got the request " + brief(string(body)) + ", want " + brief(want),
		})
	}
}

func (k *work) run() {
	switch k.behavior.Mode {
	case ShedFirst:
		k.w.WriteHeader(ShedStatus)
		return
	case CrashFirst:
		panic(http.ErrAbortHandler)
	case ShedLateCall:
		k.w.WriteHeader(ShedStatus)
		k.callLater()
		return
	case OrphanCall:
		k.callOut(k.r.Context(), k.call, "x", false)
		k.w.WriteHeader(ShedStatus)
		return
	case Switch:
		k.w.Header().Set("Upgrade", "other")
		k.w.WriteHeader(http.StatusSwitchingProtocols)
		return
	}
	downstream, failed := k.callDownstream()
	if failed != nil {
		k.respondFailure(failed)
		return
	}
	if k.behavior.Mode == ShedAfterCalls {
		k.w.WriteHeader(ShedStatus)
		return
	}
	k.ledger.recordRun(k.number)
	k.pause(k.behavior.Work)
	k.answer(downstream)
}

// pause simulates work for a duration, or until the caller has disconnected.
func (k *work) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	objects.Pause(k.r.Context(), d)
	k.net.AwaitThaw(k.host)
}

func (k *work) answer(downstream []string) {
	body := k.operation.answer(k.call, k.step, downstream)
	if k.call.Trailer {
		k.w.Header().Set("Trailer", "X-End")
		defer func() { k.w.Header().Set("X-End", k.call.trailer(k.operation.ID)) }()
	}
	switch k.behavior.Mode {
	case Crash:
		k.crash()
		panic(http.ErrAbortHandler)
	case CrashAfter:
		panic(http.ErrAbortHandler)
	case Truncate:
		k.write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case Trickle:
		k.trickle(body)
		return
	}
	k.write(body)
	if k.behavior.Mode == LateCall {
		k.callLater()
	}
}

func (k *work) write(body string) {
	_, _ = io.WriteString(k.w, body)
	_ = http.NewResponseController(k.w).Flush()
}

const (
	tricklePieces = 4
	tricklePause  = 60 * time.Millisecond
)

func (k *work) trickle(body string) {
	size := len(body)/tricklePieces + 1
	for len(body) > 0 {
		piece := body[:min(size, len(body))]
		body = body[len(piece):]
		k.write(piece)
		k.pause(tricklePause)
	}
}
