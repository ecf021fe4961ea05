package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// chainSet has a route to each service of a chain.
const chainSet = `
version: 2
profiles:
  - {name: default, priority: 0}
  - {name: browse, priority: 13, deadline: 2s, target: 1s, maxWait: 500ms, credit: 1}
  - {name: lookup, priority: 15, deadline: 2s, target: 1s, maxWait: 500ms, credit: 1}
  - {name: index, priority: 15, deadline: 2s, target: 1s, maxWait: 500ms, credit: 1}
routes:
  - {name: browse, host: desk.example, pathPrefix: /browse/, profile: browse, shares: [{service: desk, weight: 1}]}
  - {name: lookup, host: lookup.example, pathPrefix: /, profile: lookup, shares: [{service: lookup, weight: 1}]}
  - {name: index, host: index.example, pathPrefix: /, profile: index, shares: [{service: index, weight: 1}]}
`

// chain is a fleet whose services call each other: desk calls lookup once, and lookup
// calls index several times in sequence.
type chain struct {
	*fleet
	// calls is how often one run of lookup calls index.
	calls int
	// lost is the fraction of lookup's runs whose answer is lost after lookup made its
	// calls. refused is the fraction of arrivals that index refuses although it has
	// free slots.
	lost, refused float64

	mu     sync.Mutex
	random *rand.Rand
	next   int
	// seen counts arrivals by service and id. repeat reports, by id, whether a call
	// was made by a run that was itself a repeat.
	seen   map[string]map[string]int
	repeat map[string]bool
}

func newChain(f *fleet, calls int) *chain {
	return &chain{
		fleet: f, calls: calls, random: rand.New(rand.NewPCG(5, 5)),
		seen:   map[string]map[string]int{"desk": {}, "lookup": {}, "index": {}},
		repeat: make(map[string]bool),
	}
}

// arrive records an arrival and reports whether it is a repeat.
func (c *chain) arrive(service, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[service][id]++
	return c.seen[service][id] > 1 || c.repeat[id]
}

func (c *chain) chance(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < share
}

// childID returns a new id for a call made by a run.
func (c *chain) childID(parent string, repeat bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	id := parent + "/" + strconv.Itoa(c.next)
	c.repeat[id] = repeat
	return id
}

// repeats returns how many arrivals at a service are repeats, and how many are not.
func (c *chain) repeats(service string) (repeats, firsts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, times := range c.seen[service] {
		switch {
		case c.repeat[id]:
			repeats += times
		default:
			firsts++
			repeats += times - 1
		}
	}
	return repeats, firsts
}

// start adds the given number of nodes for each service and returns those of desk.
func (c *chain) start(each int, adjust ...func(*Settings)) []*Node {
	var desks []*Node
	for i := range each {
		desks = append(desks, c.addLink(fmt.Sprint("desk-", i), "desk", "lookup.example", 1, adjust))
		c.addLink(fmt.Sprint("lookup-", i), "lookup", "index.example", c.calls, adjust)
		c.addLink(fmt.Sprint("index-", i), "index", "", 0, adjust)
	}
	c.settle()
	return desks
}

// addLink adds a node whose upstream makes its calls one after another and fails when
// one of them fails.
func (c *chain) addLink(name, service, downstream string, calls int, adjust []func(*Settings)) *Node {
	var n *Node
	host := c.net.Host(name)
	out := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return host.Dial(ctx, n.Addr(OutboundListener))
	}}
	c.t.Cleanup(out.CloseIdleConnections)
	run := func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
		id := r.Header.Get("X-Id")
		repeat := c.arrive(service, id)
		w.Header().Set("X-Echo", id)
		if service == "index" && c.chance(c.refused) {
			w.Header().Set("X-Not-Run", "busy")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for range calls {
			time.Sleep(5 * time.Millisecond)
			if !callDownstream(r.Context(), out, downstream, c.childID(id, repeat)) {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
		}
		if service == "lookup" && c.chance(c.lost) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "answer to "+id)
	}
	n = c.addRouted(name, service, 100, run, append([]func(*Settings){func(s *Settings) { s.RetryRatio = 0.2 }}, adjust...)...)
	set, err := config.Parse([]byte(chainSet), config.YAML)
	c.c.Assert(err, qt.IsNil)
	c.c.Assert(n.OfferConfig(set), qt.IsNil)
	return n
}

// callDownstream makes one call and reports whether it succeeded.
func callDownstream(ctx context.Context, out *http.Transport, host, id string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/x", nil)
	if err != nil {
		return false
	}
	req.Header.Set("X-Id", id)
	resp, err := out.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// browse sends requests at a fixed interval and returns how many were served.
func (c *chain) browse(desks []*Node, count int, every time.Duration) (served int) {
	answers := make(chan reply, count)
	for i := range count {
		go func() { answers <- c.askRouted(desks[i%len(desks)], "/browse/x", "r"+strconv.Itoa(i)) }()
		time.Sleep(every)
	}
	for range count {
		if got := <-answers; got.err == nil && got.status == http.StatusOK {
			served++
		}
	}
	return served
}

// A service in the middle of the chain loses half of its answers, so its runs are
// repeated, and each repeated run calls the last service again. The last service
// refuses 30% of all arrivals, and those calls are repeated as well. At each service
// both kinds of repeats together must stay within the ratio that operators set for the
// whole fleet. Otherwise the last service would get that ratio of repeats once for
// each hop above it.
func TestRetriesStayWithinTheRatioAtEveryDepth(t *testing.T) {
	inFleet(t, func(f *fleet) {
		c := newChain(f, 2)
		c.lost, c.refused = 0.5, 0.3
		const each = 3
		desks := c.start(each)
		c.browse(desks, 1500, 8*time.Millisecond)
		for _, service := range []string{"lookup", "index"} {
			repeats, firsts := c.repeats(service)
			t.Logf("%s: %d repeats for %d first arrivals", service, repeats, firsts)
			f.c.Check(float64(repeats) <= 0.2*float64(firsts)+each, qt.IsTrue, qt.Commentf("%s", service))
			f.c.Check(float64(repeats) >= 0.1*float64(firsts), qt.IsTrue, qt.Commentf("%s gets too few repeats", service))
		}
	})
	inFleet(t, func(f *fleet) {
		c := newChain(f, 2)
		c.lost, c.refused = 0.5, 0.3
		desks := c.start(3, func(s *Settings) { s.Ablate.RepeatsEarn = true })
		c.browse(desks, 1500, 8*time.Millisecond)
		repeats, firsts := c.repeats("index")
		t.Logf("index, with calls of repeated runs counted as first calls: %d repeats for %d first arrivals", repeats, firsts)
		f.c.Check(float64(repeats) > 0.2*float64(firsts)+3, qt.IsTrue)
	})
}

// All servers of the last service refuse more than half of all arrivals although they
// have free slots. When these refusals were taken for overload, no call was repeated,
// and one in thirty of the requests with four such calls was served. A call refused
// for another reason than load is as likely to be accepted by the next server as by
// any.
func TestRefusalsWithFreeSlotsAreRetried(t *testing.T) {
	c := qt.New(t)
	none := serveRefused(t, 3, 4, 0.55, func(s *Settings) { s.RetryRatio = 0 })
	first := serveRefused(t, 3, 4, 0.55, func(s *Settings) { s.Ablate.NoRation = true })
	chosen := serveRefused(t, 3, 4, 0.55, func(*Settings) {})
	t.Logf("of 1500 served: %d without retries, %d with retries in order of arrival, %d with rationed retries", none, first, chosen)
	c.Check(chosen > 2*none, qt.IsTrue)
	c.Check(chosen > first, qt.IsTrue)
}

// The same as above with fewer refusals, more calls and a larger fleet, in which each
// node makes few of the calls. One call in five is refused, and one in five may be
// repeated, so most requests with eight calls must be served. Without repeats it was
// one in six.
func TestRefusalsOfALongerChainAreRetried(t *testing.T) {
	c := qt.New(t)
	none := serveRefused(t, 8, 8, 0.2, func(s *Settings) { s.RetryRatio = 0 })
	chosen := serveRefused(t, 8, 8, 0.2, func(*Settings) {})
	t.Logf("of 1500 served: %d without retries, %d with them", none, chosen)
	c.Check(chosen > 2*none, qt.IsTrue)
}

// serveRefused returns how many of 1,500 requests are served by a chain that has the
// given number of nodes for each service and whose last service refuses a fraction of
// its arrivals.
func serveRefused(t *testing.T, each, calls int, refused float64, adjust func(*Settings)) (served int) {
	inFleet(t, func(f *fleet) {
		c := newChain(f, calls)
		c.refused = refused
		desks := c.start(each, adjust)
		served = c.browse(desks, 1500, 5*time.Millisecond)
	})
	return served
}
