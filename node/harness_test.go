package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/node/testing/memnet"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// fleet is a set of real nodes with upstreams on an in-memory network.
type fleet struct {
	t     *testing.T
	c     *qt.C
	net   *memnet.Network
	store objects.Store
	nodes map[string]*Node
	peers []string
	runs  *runCounter
}

// runCounter counts how often each service ran each operation.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) add(service, operation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[service+" "+operation]++
}

func (r *runCounter) of(service, operation string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[service+" "+operation]
}

// inFleet runs a test in virtual time.
func inFleet(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t:     t,
			c:     qt.New(t),
			net:   memnet.New(),
			store: standin.NewMemory(),
			nodes: make(map[string]*Node),
			runs:  &runCounter{runs: make(map[string]int)},
		}
		test(f)
		for _, n := range f.nodes {
			n.Close()
		}
		synctest.Wait()
	})
}

// handler is the behaviour of a test's upstream.
type handler func(w http.ResponseWriter, r *http.Request, call func(service, method, path string) (*http.Response, error))

func answerOK(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Operation"))
}

// add starts a node and its upstream, both on a new host.
func (f *fleet) add(name, service string, slots int, h handler, adjust ...func(*Settings)) *Node {
	host := f.net.Host(name)
	settings := DefaultSettings()
	settings.Service = service
	settings.Network = host
	settings.Store = f.store
	settings.Peers = f.peers
	settings.GossipInterval = 100 * time.Millisecond
	for _, a := range adjust {
		a(&settings)
	}
	n, err := New(settings)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(n.Start(f.t.Context()), qt.IsNil)
	f.nodes[name] = n
	f.peers = append(f.peers, n.Addr("gossip"))
	f.startUpstream(host, n, service, slots, h)
	return n
}

func (f *fleet) startUpstream(host *memnet.Host, n *Node, service string, slots int, h handler) {
	listener, err := host.Listen("x:0")
	f.c.Assert(err, qt.IsNil)
	out := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return host.Dial(ctx, n.Addr("outbound"))
	}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.add(service, r.Header.Get("X-Operation"))
		h(w, r, func(service, method, path string) (*http.Response, error) {
			req, err := http.NewRequestWithContext(r.Context(), method, "http://"+service+path, nil)
			if err != nil {
				return nil, err
			}
			for _, name := range append([]string{"X-Operation"}, call.PropagatedHeaders...) {
				req.Header.Set(name, r.Header.Get(name))
			}
			return out.RoundTrip(req)
		})
	})}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() {
		_ = server.Close()
		out.CloseIdleConnections()
	})
	f.c.Assert(n.Announce(Announcement{Service: service, Addr: listener.Addr().String(), Slots: slots}), qt.IsNil)
}

// settle waits until membership and configuration have spread.
func (f *fleet) settle() { time.Sleep(3 * time.Second) }

// apply stores a configuration in the platform, which puts it in force.
func (f *fleet) apply(text string) {
	set, err := config.Parse([]byte(text), config.YAML)
	f.c.Assert(err, qt.IsNil)
	_, err = config.Apply(f.t.Context(), f.store, set, config.ApplyOptions{Author: "test"})
	f.c.Assert(err, qt.IsNil)
}

// reply is a complete answer as a caller sees it.
type reply struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
	trailer http.Header
	err     error
}

// ask sends one request from outside on a new connection.
func (f *fleet) ask(to *Node, method, path string, header ...string) reply {
	host := f.net.Host("client")
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return host.Dial(ctx, addr) },
	}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+to.Addr("edge")+path, strings.NewReader(""))
	f.c.Assert(err, qt.IsNil)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status:  resp.StatusCode,
		outcome: resp.Header.Get(call.HeaderOutcome),
		reason:  resp.Header.Get(call.HeaderReason),
		body:    string(body),
		header:  resp.Header,
		trailer: resp.Trailer,
		err:     err,
	}
}
