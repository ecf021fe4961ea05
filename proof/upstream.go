package proof

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/node/testing/memnet"
	"pollengauge.dev/objects"
)

// Upstream is the back end beside a node. It runs operations as its current
// Behavior says.
type Upstream struct {
	net     *memnet.Network
	host    string
	service string
	ledger  *Ledger
	server  *http.Server
	out     *http.Transport
	addr    string
	late    sync.WaitGroup

	mu       sync.Mutex
	behavior Behavior
	usual    Behavior
}

// startUpstream serves on a host; outbound is the listener of its node.
func startUpstream(network *memnet.Network, name, service string, ledger *Ledger, outbound string) (*Upstream, error) {
	host := network.Host(name)
	listener, err := host.Listen("x:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{net: network, host: name, service: service, ledger: ledger, addr: listener.Addr().String()}
	u.out = &http.Transport{
		// A transport that keeps connections may resend a call on its own,
		// which would be a second call of this upstream.
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return host.Dial(ctx, outbound) },
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *Upstream) close() {
	_ = u.server.Close()
	u.late.Wait()
	u.out.CloseIdleConnections()
}

// Behave sets what the upstream does from now on. A behavior with a Count is
// followed by the one before.
func (u *Upstream) Behave(b Behavior) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behavior = b
	if b.Count == 0 {
		u.usual = b
	}
}

// next returns the behavior for one call.
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
			u.behavior = u.usual
		}
	}
	return b
}

// work is one call at the upstream.
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
	u.ledger.newWork(u.host)
	k.number = u.ledger.arrived(Arrival{Operation: o.ID, Presentation: r.Header.Get(headerPresentation), Step: step, Host: u.host})
	k.checkRequest(planned)
	k.run()
}

// checkRequest reads the request's body. One that is not whole, or another's,
// must not reach an upstream as if it were.
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
	below, failed := k.callBelow()
	if failed != nil {
		k.giveUp(failed)
		return
	}
	if k.behavior.Mode == ShedAfterCalls {
		k.w.WriteHeader(ShedStatus)
		return
	}
	k.ledger.ran(k.number)
	k.pause(k.behavior.Work)
	k.answer(below)
}

// pause works for a while, or until the caller is gone.
func (k *work) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	objects.Pause(k.r.Context(), d)
	k.net.AwaitThaw(k.host)
}

func (k *work) answer(below []string) {
	body := k.operation.answer(k.call, k.step, below)
	if k.call.Trailer {
		k.w.Header().Set("Trailer", "X-End")
		defer func() { k.w.Header().Set("X-End", k.call.trailer(k.operation.ID)) }()
	}
	switch k.behavior.Mode {
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

// failure is what a call below came back with instead of an answer.
type failure struct {
	outcome, reason, hop string
}

// callBelow makes the calls below and returns their answers, or the first
// failure.
func (k *work) callBelow() ([]string, *failure) {
	answers := make([]string, len(k.call.Below))
	failures := make([]*failure, len(k.call.Below))
	var parallel sync.WaitGroup
	for i, child := range k.call.Below {
		one := func() {
			answers[i], failures[i] = k.callOut(k.r.Context(), child, childStep(k.step, i), true)
		}
		if k.call.Parallel {
			parallel.Go(one)
			continue
		}
		if one(); failures[i] != nil {
			break
		}
	}
	parallel.Wait()
	for _, failed := range failures {
		if failed != nil {
			return nil, failed
		}
	}
	return answers, nil
}

// giveUp passes on why a call below failed, as the contract for upstreams asks.
func (k *work) giveUp(f *failure) {
	h := k.w.Header()
	h.Set(call.HeaderOutcome, f.outcome)
	if f.reason != "" {
		h.Set(call.HeaderReason, f.reason)
	}
	if f.hop != "" {
		h.Set(call.HeaderHop, f.hop)
	}
	k.w.WriteHeader(http.StatusServiceUnavailable)
}

var lost = &failure{outcome: call.Unknown.String(), reason: string(call.ReasonLost)}

// callOut makes one call through the own node.
func (k *work) callOut(ctx context.Context, c Call, step string, named bool) (string, *failure) {
	body := strings.NewReader(k.operation.request(c, step))
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Service+c.Path, body)
	if err != nil {
		return "", lost
	}
	req.Header.Set(headerOperation, k.operation.ID)
	req.Header.Set(headerPresentation, k.r.Header.Get(headerPresentation))
	req.Header.Set(headerStep, step)
	if c.OwnKey != "" {
		req.Header.Set(call.HeaderIdempotencyKey, c.OwnKey)
	}
	if named {
		for _, name := range call.PropagatedHeaders {
			req.Header.Set(name, k.r.Header.Get(name))
		}
	}
	resp, err := k.out.RoundTrip(req)
	if err != nil {
		return "", lost
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", lost
	}
	if resp.Header.Get(call.HeaderOutcome) != call.Complete.String() {
		h := resp.Header
		return "", &failure{outcome: h.Get(call.HeaderOutcome), reason: h.Get(call.HeaderReason), hop: h.Get(call.HeaderHop)}
	}
	return string(answer), nil
}

const lateAfter = 50 * time.Millisecond

// callLater calls out for a request that will have been answered by then.
func (k *work) callLater() {
	service := k.service
	if len(k.call.Below) > 0 {
		service = k.call.Below[0].Service
	}
	_ = http.NewResponseController(k.w).Flush()
	late := Call{Service: service, Method: http.MethodPost, Path: "/late"}
	k.late.Go(func() {
		time.Sleep(lateAfter)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(k.r.Context()), time.Second)
		defer cancel()
		k.callOut(ctx, late, k.step+".late", true)
	})
}
