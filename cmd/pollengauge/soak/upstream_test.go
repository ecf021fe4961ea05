package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers between customers, nodes and upstreams.
const (
	headerID        = "Pollengauge-Request-Id"
	headerTimeout   = "Pollengauge-Timeout-Remaining"
	headerSignature = "Pollengauge-Server-Signature"
	headerExpected  = "Pollengauge-Expected-Instance"
	headerNotRun    = "Pollengauge-Not-Executed"
	headerOrigin    = "Pollengauge-Caller-Service"
	headerInstance  = "Pollengauge-Instance-Id"
)

// Sizes and times of an upstream.
const (
	upstreamSlots  = 24
	heartbeatEvery = 500 * time.Millisecond
	heartbeatWait  = time.Second
	usualWork      = 10 * time.Millisecond
)

// odds are the probabilities of each kind of misbehaviour of an upstream: closing the
// connection without a response, a truncated body, an extra response, a response without
// a length, refusing the request, a malformed response, and a part of a response to an upload
// that is not read, before a reset.
type odds struct{ lose, truncate, extra, unframed, shed, malformed, reset float64 }

// upstream simulates one server as a sequence of incarnations at one address.
type upstream struct {
	record  *record
	vm      int
	service string
	zone    string
	addr    string
	// outbound and control are the addresses of its node.
	outbound, control string
	calls             []plannedCall
	client            *http.Client

	odds   atomic.Pointer[odds]
	stated atomic.Pointer[stated]
	work   atomic.Int64
	count  atomic.Uint64

	mu       sync.Mutex
	instance string
	state    string
	sequence int
	// silent is set once the incarnation sends no more heartbeats.
	silent bool
	server *http.Server
	slots  chan struct{}
	starts int
	// born is when the incarnation started. sameID is true if it has the same
	// instance id as the previous one.
	born   time.Time
	sameID bool
}

// plannedCall is a call that each visit at an upstream makes.
type plannedCall struct {
	path  string
	times int
}

// start starts the next incarnation under a new instance id.
func (u *upstream) start() error { return u.startAs(false) }

// startAs starts the next incarnation, under the previous instance id if sameID is set.
// It does nothing if an incarnation is running, because overlapping faults may each end
// with a start.
func (u *upstream) startAs(sameID bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		return nil
	}
	listener, err := listenAgain(u.addr)
	if err != nil {
		return err
	}
	u.starts++
	if !sameID {
		u.instance = fmt.Sprintf("i-%d-%d", u.vm, u.starts)
	}
	u.sameID, u.born = sameID, time.Now()
	u.state = "ready"
	u.silent = false
	u.sequence = 0
	u.slots = make(chan struct{}, upstreamSlots)
	handler := &incarnation{upstream: u, instance: u.instance, number: u.starts, slots: u.slots}
	u.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(listener) }(u.server)
	return nil
}

// listenAgain listens on an address, and retries while the previous incarnation may
// still be bound to it.
func listenAgain(addr string) (listener net.Listener, err error) {
	for range 100 {
		if listener, err = net.Listen("tcp", addr); err == nil {
			return listener, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// crash stops the incarnation and closes all its connections at once.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		_ = u.server.Close()
		u.server = nil
	}
}

// replace drains the incarnation, stops it and starts another under a new instance id.
func (u *upstream) replace(ctx context.Context, drain time.Duration) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(drain + time.Second):
	}
	u.crash()
	_ = u.start()
}

// incarnation is the HTTP handler of one incarnation of an upstream.
type incarnation struct {
	*upstream
	instance string
	number   int
	slots    chan struct{}
}

func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength >= smallestUpload && rand.Float64() < i.odds.Load().reset {
		resetUpload(w, r.Header.Get(headerID))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x := run{
		id: r.Header.Get(headerID), at: time.Now(), vm: i.vm, service: i.service, instance: i.instance, incarnation: i.number,
		method: r.Method, path: r.URL.RequestURI(), body: digest(string(body)), origin: r.Header.Get(headerOrigin),
		tenant: r.Header.Get(headerTenant), keyed: len(r.Header[headerKey]) > 0,
	}
	w.Header().Set(headerInstance, i.instance)
	x.stated = i.statement()
	if expected := r.Header.Get(headerExpected); expected != "" && expected != i.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.stated.write(w.Header())
	ctx, cancel := context.WithTimeout(r.Context(), timeoutOf(r.Header))
	defer cancel()
	misbehaves := i.odds.Load()
	if rand.Float64() < misbehaves.shed || !i.acquireSlot(ctx) {
		x.status = http.StatusServiceUnavailable
		add(i.record, &i.record.runs, x)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-i.slots }()
	x.executed = true
	if isFatal(x.path) {
		add(i.record, &i.record.runs, x)
		i.crashTemporarily()
		panic(http.ErrAbortHandler)
	}
	x.status = i.execute(ctx, x.id, x.path)
	x.signature = signature(x.id, i.instance, i.count.Add(1))
	x.answer = strings.Repeat(x.signature, 1+rand.IntN(answerUnits(x.path)))
	// The run is recorded before the response is sent, so that no response is
	// recorded without its run.
	add(i.record, &i.record.runs, x)
	i.respond(w, x, misbehaves)
}

// acquireSlot waits for a slot until ctx, which carries the request's remaining time, ends.
// It reports whether it got one.
func (i *incarnation) acquireSlot(ctx context.Context) bool {
	select {
	case i.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute simulates the work, makes the planned calls and returns the status.
func (i *incarnation) execute(ctx context.Context, id, path string) int {
	select {
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	case <-time.After(workOf(path, time.Duration(i.work.Load()))):
	}
	for _, c := range i.calls {
		for range c.times {
			if !i.callOut(ctx, id, c.path) {
				return http.StatusInternalServerError
			}
		}
	}
	return http.StatusOK
}

func (i *incarnation) callOut(ctx context.Context, parent, path string) bool {
	id := parent + "." + newID()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.outbound+path+id, nil)
	req.Host = host
	req.Header.Set(headerID, id)
	left := time.Second
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	req.Header.Set(headerTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	add(i.record, &i.record.sent, sent{id: id, vm: i.vm, at: time.Now(), path: path + id, method: http.MethodGet, origin: i.service})
	a := sendRequest(i.client, req, id, i.vm)
	add(i.record, &i.record.answers, a)
	return a.success()
}

func timeoutOf(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

func signature(id, instance string, n uint64) string {
	sum := sha256.Sum256([]byte(id + instance + strconv.FormatUint(n, 10)))
	return hex.EncodeToString(sum[:8])
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// sendRequest sends a request and returns its response, or the failure to get one.
func sendRequest(client *http.Client, req *http.Request, id string, vm int) answered {
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return answered{id: id, vm: vm, at: time.Now(), took: time.Since(start), failure: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return newAnswered(id, vm, start, resp, body, err)
}

// newAnswered returns the record of a response, where err is the error from reading its
// body.
func newAnswered(id string, vm int, start time.Time, resp *http.Response, body []byte, err error) answered {
	a := answered{
		id: id, vm: vm, at: time.Now(), took: time.Since(start), status: resp.StatusCode, closes: resp.Close,
		signature: resp.Header.Get(headerSignature), echo: resp.Header.Get(headerID), body: string(body), complete: err == nil,
	}
	if err != nil {
		a.failure = err.Error()
	}
	return a
}
