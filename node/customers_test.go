package node

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
)

// withCustomers returns the configuration in text, such as routedSet, with two customers
// added, of which the second has the higher priority.
func withCustomers(c *qt.C, text string, version uint64) config.Set {
	set, err := config.Parse([]byte(text), config.YAML)
	c.Assert(err, qt.IsNil)
	set.Version = version
	set.Customers = []customer.Customer{
		{Name: "ház & kert", Keys: []customer.Digest{customer.DigestOf("key-one"), customer.DigestOf("key-two")}},
		{Name: "city", Priority: 1, Keys: []customer.Digest{customer.DigestOf("key-city")}},
	}
	return set
}

// echoCustomer answers with the customer and the key that the upstream received.
func echoCustomer(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
	w.Header().Set("X-Echo", r.Header.Get("X-Id"))
	_, _ = io.WriteString(w, r.Header.Get("X-Customer")+"|"+r.Header.Get("X-Key")+r.Trailer.Get("X-Key"))
}

// Guards against requests that run for the wrong customer or without one, and against
// API keys that are forwarded to the upstream.
func TestRequestsRunForTheOwnerOfTheirAPIKey(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		desk := f.addRouted("desk", "desk", 10, echoCustomer)
		f.settle()
		f.c.Check(f.askRouted(front, "/browse/x", "before", "X-Customer", "city").body, qt.Equals, "|", qt.Commentf("no customer has a key yet"))
		for _, n := range []*Node{front, desk} {
			f.c.Assert(n.OfferConfig(withCustomers(f.c, routedSet, 2)), qt.IsNil)
		}
		for key, want := range map[string]string{"key-one": "ház & kert|", "key-two": "ház & kert|", "key-city": "city|"} {
			got := f.askRouted(front, "/browse/x", "id-"+key, "X-Key", key, "X-Customer", "somebody")
			f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s %s", key, got.reason))
			f.c.Check(got.body, qt.Equals, want)
		}
		for _, key := range []string{"", "key-on", "key-one ", "KEY-ONE", "key-one\x00"} {
			got := f.askRouted(front, "/browse/x", "bad", "X-Key", strings.TrimSuffix(key, "\x00"), "X-Customer", "city")
			if key == "key-one " || key == "key-one\x00" {
				continue // net/http trims the space and can't send a NUL byte
			}
			f.c.Check(got.status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%q", key))
			f.c.Check(got.reason, qt.Equals, string(call.ReasonUnauthorized))
		}
		f.c.Check(f.askRouted(front, "/browse/x", "none").status, qt.Equals, http.StatusUnauthorized)
		f.c.Check(f.askRouted(front, "/browse/x", "gone/1").status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the id belongs to a call of a run that this node does not know"))
		f.c.Check(f.askRouted(front, "/browse/x", "gone/1", "X-Key", "nobody's").status, qt.Equals, http.StatusUnauthorized)
		two := f.askTwoKeys(front)
		f.c.Check(two, qt.Equals, http.StatusUnauthorized)
	})
}

// askTwoKeys sends one request with two API keys.
func (f *fleet) askTwoKeys(to *Node) int {
	text := "GET /browse/x HTTP/1.1\r\nHost: desk.example\r\nX-Id: two\r\nX-Key: key-one\r\nX-Key: key-city\r\nConnection: close\r\n\r\n"
	return f.raw(to, OutboundListener, text).StatusCode
}

// A key that no customer has is refused permanently only if no later configuration is
// known, because a later one may contain the key.
func TestUnknownAPIKeysMayBelongToALaterConfiguration(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "desk", 10, echoCustomer)
		f.c.Assert(front.OfferConfig(withCustomers(f.c, routedSet, 2)), qt.IsNil)
		ask := func() int { return f.askRouted(front, "/browse/x", "id", "X-Key", "key-new").status }
		f.c.Check(ask(), qt.Equals, http.StatusUnauthorized)
		front.config.RecordVersionNotice(9, front.now(), front.now())
		f.c.Check(ask(), qt.Equals, http.StatusServiceUnavailable)
		set := withCustomers(f.c, routedSet, 9)
		set.CustomersUnreadable = true
		f.c.Assert(front.OfferConfig(set), qt.IsNil)
		f.c.Check(ask(), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the configuration says that a customer is missing"))
		f.c.Check(f.askRouted(front, "/browse/x", "id", "X-Key", "key-one").status, qt.Equals, http.StatusOK)
	})
}

// Guards against a retry of a request whose API key was revoked after the first attempt.
func TestNoRetryAfterTheAPIKeyIsRevoked(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		runs := 0
		failing := func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			runs++
			if runs == 1 {
				set := withCustomers(f.c, routedSet, 3)
				set.Customers = set.Customers[1:]
				f.c.Check(front.OfferConfig(set), qt.IsNil)
			}
			w.Header().Set("X-Echo", r.Header.Get("X-Id"))
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		f.addRouted("one", "desk", 10, failing)
		f.addRouted("two", "desk", 10, failing)
		f.settle()
		f.c.Assert(front.OfferConfig(withCustomers(f.c, routedSet, 2)), qt.IsNil)
		for range 100 {
			front.retriesOf("desk").bound.OnFirst(front.now())
		}
		got := f.askRouted(front, "/browse/x", "id", "X-Key", "key-one")
		f.c.Check(got.status, qt.Equals, http.StatusUnauthorized)
		f.c.Check(runs, qt.Equals, 1)
	})
}

// The upstream's calls for a request that it serves have no API key of their own and
// must not need one.
func TestUpstreamCallsNeedNoAPIKey(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var front *Node
		calls := func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			downstream := f.askRouted(front, "/browse/x", r.Header.Get("X-Id")+"/1")
			w.Header().Set("X-Echo", r.Header.Get("X-Id"))
			w.WriteHeader(downstream.status)
			_, _ = io.WriteString(w, downstream.body)
		}
		front = f.addRouted("front", "front", 10, calls)
		f.addRouted("desk", "desk", 10, echoCustomer)
		f.settle()
		text := strings.Replace(routedSet, "shares: [{service: desk, weight: 1}]}\n  - {name: file", "shares: [{service: desk, weight: 1}]}\n  - {name: start, host: desk.example, pathPrefix: /start/, profile: read, shares: [{service: front, weight: 1}]}\n  - {name: file", 1)
		for _, n := range f.nodes {
			f.c.Assert(n.OfferConfig(withCustomers(f.c, text, 2)), qt.IsNil)
		}
		got := f.askRouted(front, "/start/x", "root", "X-Key", "key-city")
		f.c.Check(got.status, qt.Equals, http.StatusOK)
		f.c.Check(got.body, qt.Equals, "|", qt.Commentf("a call of an upstream has no customer"))
		time.Sleep(time.Second)
		f.c.Check(f.askRouted(front, "/browse/x", "root/2").status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the run has ended"))
	})
}

// A customer's priority takes precedence over the profile's.
func TestCustomerPriorityPrecedesProfilePriority(t *testing.T) {
	c := qt.New(t)
	compiled, err := config.Compile(withCustomers(c, routedSet, 2))
	c.Assert(err, qt.IsNil)
	one, city := compiled.Customers().ByName("ház & kert"), compiled.Customers().ByName("city")
	order := []call.Priority{
		compiled.PriorityFor(one, compiled.Profile("default")),
		compiled.PriorityFor(one, compiled.Profile("read")),
		compiled.PriorityFor(one, compiled.Profile("write")),
		compiled.PriorityFor(city, compiled.Profile("default")),
		compiled.PriorityFor(city, compiled.Profile("read")),
		compiled.PriorityFor(city, compiled.Profile("write")),
	}
	for i := 1; i < len(order); i++ {
		c.Check(order[i] > order[i-1], qt.IsTrue, qt.Commentf("%v", order))
	}
	c.Check(compiled.PriorityFor(nil, compiled.Profile("write")), qt.Equals, order[2])
}

// With the project's own interface API keys work the same way, with the project's header
// names.
func TestKeysOfTheOwnInterface(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.add("n", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			_, _ = io.WriteString(w, r.Header.Get(call.HeaderCustomer)+"|"+r.Header.Get(call.HeaderAPIKey))
		})
		f.settle()
		f.c.Check(f.ask(n, http.MethodGet, "/x", call.HeaderAPIKey, "its own").body, qt.Equals, "|its own", qt.Commentf("without customers the header must reach the upstream"))
		set := withCustomers(f.c, "profiles:\n  - {name: default, priority: 3}\n  - {name: open, priority: 2, public: true}\nassignments:\n  - {service: desk, pathPrefix: /open, profile: open}\n", 2)
		f.c.Assert(n.OfferConfig(set), qt.IsNil)
		f.c.Check(f.ask(n, http.MethodGet, "/x", call.HeaderAPIKey, "key-city", call.HeaderCustomer, "other").body, qt.Equals, "city|")
		f.c.Check(f.ask(n, http.MethodGet, "/x", call.HeaderAPIKey, "nobody's").status, qt.Equals, http.StatusUnauthorized)
		f.c.Check(f.ask(n, http.MethodGet, "/x").status, qt.Equals, http.StatusUnauthorized)
		f.c.Check(f.ask(n, http.MethodGet, "/open/x").body, qt.Equals, "|")
	})
}

// Guards against a filing that runs twice: a customer over its limit presents an
// idempotency key whose filing has already run. If the refusal said not-run, the
// customer would file again under another key.
func TestOverLimitRefusalOfAKeyedRequestIsUnknown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.add("n", "filing", 10, answerOK)
		f.settle()
		set := withCustomers(f.c, "profiles:\n  - {name: default, priority: 3, unrepeatable: true}\n", 2)
		set.Customers[0].Rate, set.Customers[0].Burst = 0.1, 1
		f.c.Assert(n.OfferConfig(set), qt.IsNil)
		file := func(key string) reply {
			return f.ask(n, http.MethodPost, "/x", call.HeaderAPIKey, "key-one", call.HeaderIdempotencyKey, key)
		}
		over := reply{}
		for i := 0; i < 20 && over.status != http.StatusTooManyRequests; i++ {
			over = file("k" + strconv.Itoa(i))
		}
		f.c.Check(over.status, qt.Equals, http.StatusTooManyRequests)
		f.c.Check(over.outcome, qt.Equals, call.Unknown.String())
		over = f.ask(n, http.MethodGet, "/x", call.HeaderAPIKey, "key-one")
		f.c.Check(over.outcome, qt.Equals, call.NotRun.String(), qt.Commentf("without an idempotency key the outcome must be not-run: status %d", over.status))
	})
}

// An API key in a trailer must not be forwarded either.
func TestAPIKeysInTrailersAreNotForwarded(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.add("n", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, r.Header.Get(call.HeaderCustomer)+"|"+r.Trailer.Get(call.HeaderAPIKey))
		})
		f.settle()
		f.c.Assert(n.OfferConfig(withCustomers(f.c, "profiles:\n  - {name: default, priority: 3}\n", 2)), qt.IsNil)
		resp := f.raw(n, EdgeListener, "POST /x HTTP/1.1\r\nHost: x\r\nX-Api-Key: key-city\r\nTransfer-Encoding: chunked\r\nTrailer: X-Api-Key\r\nConnection: close\r\n\r\n1\r\na\r\n0\r\nX-Api-Key: key-one\r\n\r\n")
		body, err := io.ReadAll(resp.Body)
		f.c.Assert(err, qt.IsNil)
		f.c.Check(string(body), qt.Equals, "city|")
	})
}
