package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "desk.example"

// Path prefixes of the fleet's routes.
const (
	pathBrowse = "/browse/"
	pathFile   = "/file/"
	pathLook   = "/look/"
	pathProbe  = "/probe/"
	// pathAdded starts the prefix of every route that a configuration growth adds.
	pathAdded = "/added/"
)

var services = []string{"web", "filing", "stock"}

// fleet is one deployment on this machine.
type fleet struct {
	folder    string
	record    *record
	terms     terms
	vms       []*vm
	client    *http.Client
	store     *os.Process
	storeAddr string
	operator  *operator

	mu     sync.Mutex
	failed error
	done   sync.WaitGroup
	stop   context.CancelFunc
}

// fail stores the first failure of the test harness itself, as opposed to a
// violation found in the programs.
func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = err
	}
}

// network returns the first three bytes of the fleet's addresses. The second and
// third are random, so that two soaks on one machine don't collide.
func network() string { return fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)) }

// newFleet starts the store and all VMs, and waits until each serves.
func newFleet(ctx context.Context, folder string, size int, t terms) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{folder: folder, record: &record{}, terms: t, client: &http.Client{Timeout: 5 * time.Second}, stop: stop}
	base := network()
	f.storeAddr = base + ".250:8309"
	var err error
	if f.store, err = startProgram(f.logPath("store"), "standin", "platform", "--addr", f.storeAddr); err != nil {
		return f, err
	}
	if err := await(ctx, func() bool { return f.faults("{}") == nil }); err != nil {
		return f, err
	}
	f.operator = newOperator(f)
	f.operator.change(ctx)
	for i := range size {
		v := &vm{fleet: f, number: i, ip: fmt.Sprintf("%s.%d", base, i+1), zone: fmt.Sprintf("zone-%d", i/len(services)%2)}
		v.settings, v.log = f.logPath(fmt.Sprintf("settings-%d", i)), f.logPath(fmt.Sprintf("vm-%d", i))
		v.upstream = f.newUpstream(v, services[i%len(services)])
		f.vms = append(f.vms, v)
		if err := f.bringUp(ctx, v); err != nil {
			return f, err
		}
	}
	return f, await(ctx, f.allReady)
}

func (f *fleet) newUpstream(v *vm, service string) *upstream {
	u := &upstream{
		record: f.record, vm: v.number, service: service, zone: v.zone, addr: v.at(portUpstream),
		outbound: v.at(portOutbound), control: v.at(portControl),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: upstreamSlots, DisableCompression: true}},
	}
	switch service {
	case "web":
		u.calls = []plannedCall{{pathLook, 1}}
	case "filing":
		u.calls = []plannedCall{{pathLook, 2}}
	}
	u.odds.Store(&odds{})
	u.stated.Store(&stated{})
	u.work.Store(int64(usualWork))
	return u
}

func (f *fleet) bringUp(ctx context.Context, v *vm) error {
	if err := v.prepare(); err != nil {
		return err
	}
	if err := v.upstream.start(); err != nil {
		return err
	}
	f.done.Go(func() { v.upstream.sendHeartbeats(ctx) })
	return v.start()
}

func (f *fleet) allReady() bool {
	for _, v := range f.vms {
		if !v.ready(f.client) {
			return false
		}
	}
	return true
}

// awaitTimeout bounds each wait for an eventual condition.
const awaitTimeout = 60 * time.Second

// timeoutError reports that a condition was not met within awaitTimeout.
type timeoutError struct{}

func (timeoutError) Error() string { return "condition not met within " + awaitTimeout.String() }

func await(ctx context.Context, met func() bool) error {
	for until := time.Now().Add(awaitTimeout); !met(); {
		if ctx.Err() != nil || time.Now().After(until) {
			return timeoutError{}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// faults sets the faults that the store injects, given as JSON.
func (f *fleet) faults(text string) error {
	resp, err := f.client.Post("http://"+f.storeAddr+"/faults", "application/json", strings.NewReader(text))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// close stops everything that the fleet started.
func (f *fleet) close() {
	f.stop()
	var ends sync.WaitGroup
	for _, v := range f.vms {
		ends.Go(v.stop)
	}
	ends.Wait()
	f.done.Wait()
	if f.store != nil {
		_ = f.store.Signal(syscall.SIGCONT)
		_ = f.store.Kill()
		_, _ = f.store.Wait()
	}
}

// logs returns the data races, panics and fatal errors found in the processes' logs.
func (f *fleet) logs() []violation {
	var found []violation
	for _, v := range f.vms {
		data, err := os.ReadFile(v.log)
		if err != nil {
			found = append(found, violation{"log", err.Error()})
		}
		for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			if bytes.Contains(data, []byte(sign)) {
				found = append(found, violation{"log", fmt.Sprintf("VM %d: %s", v.number, sign)})
			}
		}
	}
	return found
}

// Settings of the routes.
const (
	routeTimeout  = 2 * time.Second
	routeAttempts = 2
)

func fleetTerms(timed bool, vms int) terms {
	return terms{
		vms: vms,
		allowed: map[string][]string{
			pathBrowse: {"web"}, pathFile: {"filing"}, pathLook: {"stock"}, pathProbe: {"web", "filing"}, pathAdded: {"stock"},
		},
		attempts: routeAttempts, timeout: routeTimeout, grace: usualGrace, drain: 2 * time.Second,
		retryRatio: 0.2, retrySlack: 20, retryWindow: 10 * time.Second, maxLateShare: 0.25, learning: 5 * time.Second, timed: timed,
	}
}

// prefixOf returns the route prefix of a path.
func prefixOf(path string) string {
	if i := strings.IndexByte(path[1:], '/'); i >= 0 {
		return path[:i+2]
	}
	return path
}

// directClient returns a customer's client, which keeps its connection open
// between requests.
func directClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}}
}
